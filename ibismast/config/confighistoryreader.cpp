#include "ibismast/config/confighistoryreader.h"

namespace ibismast
{

namespace
{

// Segments of one answer, as in ConfigLogReader.
constexpr std::int64_t SegmentsPerRead = 8;

} // namespace

ConfigHistoryReader::ConfigHistoryReader(StoreCallIds &ids) : m_ids(&ids) { }

bool ConfigHistoryReader::busy() const
{
    return m_pending != StoreCallId();
}

const std::vector<ConfigRecord> &ConfigHistoryReader::records() const
{
    return m_records;
}

const std::optional<Error> &ConfigHistoryReader::failure() const
{
    return m_failure;
}

void ConfigHistoryReader::start(Revision from, StoreCalls &out)
{
    m_last = from;
    m_head.reset();
    m_records.clear();
    m_failure.reset();
    m_pending = m_ids->next();
    out.push_back({m_pending, StoreRead {std::string(ConfigHeadKey), {}, 1}});
}

bool ConfigHistoryReader::handle(const StoreAnswer &answer, StoreCalls &out)
{
    if (!busy() || answer.id != m_pending) {
        return false;
    }
    m_pending = StoreCallId();
    const auto *result = std::get_if<StoreReadResult>(&answer.outcome);
    if (!result) {
        const auto *failure = std::get_if<StoreFailure>(&answer.outcome);
        m_failure = Error {ResultCode::StoreUnavailable,
                           "the history could not be read: " + (failure ? failure->message : std::string()),
                           std::nullopt};
    } else if (!m_head) {
        handleHead(*result, out);
    } else {
        handleSegments(*result, out);
    }
    return true;
}

void ConfigHistoryReader::handleHead(const StoreReadResult &result, StoreCalls &out)
{
    auto head = result.entries.empty() ? std::optional(ConfigHead()) : decodeHead(result.entries.front().value);
    if (!head) {
        m_failure = Error {ResultCode::InternalError, "the head of the configuration log is malformed", std::nullopt};
        return;
    }
    m_head = std::move(head);
    readSegments(out);
}

void ConfigHistoryReader::readSegments(StoreCalls &out)
{
    if (m_last >= m_head->revision) {
        return;
    }
    const auto segment = m_head->segmentOf(m_last + Revision(1));
    if (!segment) {
        m_failure = Error {ResultCode::RevisionNotFound,
                           "the configuration log no longer holds revision " + std::to_string(m_last.value() + 1),
                           std::nullopt};
        return;
    }
    m_pending = m_ids->next();
    out.push_back({m_pending, StoreRead {configSegmentKey(*segment), std::string(ConfigLogEnd), SegmentsPerRead}});
}

void ConfigHistoryReader::handleSegments(const StoreReadResult &result, StoreCalls &out)
{
    const Revision before = m_last;
    for (const StoreEntry &entry : result.entries) {
        const auto encoded = splitSegment(entry.value);
        for (std::size_t index = 0; encoded && index < encoded->size(); ++index) {
            auto record = decodeRecord((*encoded)[index]);
            if (record && record->revision == m_last + Revision(1)) {
                m_last = record->revision;
                m_records.push_back(std::move(*record));
            }
        }
    }
    if (m_last == before) {
        m_failure = Error {ResultCode::RevisionNotFound,
                           "the configuration log lacks revision " + std::to_string(m_last.value() + 1),
                           std::nullopt};
        return;
    }
    readSegments(out);
}

} // namespace ibismast
