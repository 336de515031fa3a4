#include "wire/relaycodec.h"

#include "relay_types.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>

namespace ibismast
{

namespace
{

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

/// Largest message: the records of a large fleet with a large configuration.
constexpr int LargestMessage = 16 * 1024 * 1024;

/// Ages above this one, an hour, are of no use and could overflow a duration.
constexpr std::int64_t LargestAgeMs = 3'600'000;

/// Limits of the evacuated domains in one message, whose number and names the store's keys limit too.
constexpr std::size_t MaxEvacuatedDomains = 256;
constexpr std::size_t MaxDomainBytes = 200;

/// Limits of a load report; larger values, or a share that is no number, cannot be true.
constexpr double LargestSlotUse = 1e6;
constexpr double LargestRate = 1e9;
constexpr std::int64_t LargestBacklogUs = 3'600'000'000;
/// Limits of a report on customers' work: ten years of engine time, and customers that are used.
constexpr std::int64_t LargestWorkUs = 315'360'000'000'000;
constexpr std::size_t MostCustomers = 64;

template<typename Message> std::string encode(const Message &message)
{
    const auto memory = std::make_shared<TMemoryBuffer>();
    TCompactProtocolT<TMemoryBuffer> protocol(memory);
    message.write(&protocol);
    return memory->getBufferAsString();
}

template<typename Message> Result<Message> decode(std::string_view bytes)
{
    if (bytes.size() > LargestMessage) {
        return Error {ResultCode::ProtocolError,
                      "the message exceeds the limit of " + std::to_string(LargestMessage) + " bytes",
                      std::nullopt};
    }
    std::string copy(bytes);
    const auto memory = std::make_shared<TMemoryBuffer>(reinterpret_cast<std::uint8_t *>(copy.data()),
                                                        static_cast<std::uint32_t>(copy.size()),
                                                        TMemoryBuffer::OBSERVE,
                                                        std::make_shared<TConfiguration>(LargestMessage));
    // Thrift allocates a list before it reads the elements. Each of these takes a byte or more, so a list that claims
    // more elements than the message has bytes is cut off.
    TCompactProtocolT<TMemoryBuffer> protocol(memory, 0, static_cast<std::int32_t>(copy.size()));
    Message message;
    try {
        message.read(&protocol);
    } catch (const std::exception &error) {
        return Error {ResultCode::ProtocolError, std::string("undecodable message: ") + error.what(), std::nullopt};
    }
    return message;
}

wire::relay::RelayPlacement toThrift(const Placement &placement)
{
    wire::relay::RelayPlacement result;
    result.call = static_cast<std::int64_t>(placement.id.call.value());
    result.writer = placement.decodingEngine.value();
    result.pauseTargetUs = placement.pauseTarget.count();
    result.memoryTokens = placement.memory.value();
    result.expectedUs = placement.expected.count();
    for (const PrefillShare &share : placement.prefills) {
        wire::relay::RelayReadShare &read = result.reads.emplace_back();
        read.engine = share.engine.value();
        read.readingUs = share.prefillTime.count();
        if (share.memory.value() > 0) {
            read.__set_memoryTokens(share.memory.value());
        }
    }
    return result;
}

Placement fromThrift(const wire::relay::RelayPlacement &placement, const InstanceId &entry)
{
    Placement result;
    result.id = {entry, CallNumber(static_cast<std::uint64_t>(placement.call))};
    result.decodingEngine = InstanceId(placement.writer);
    result.pauseTarget = Duration(placement.pauseTargetUs);
    result.memory = Tokens(placement.memoryTokens);
    result.expected = Duration(placement.expectedUs);
    for (const wire::relay::RelayReadShare &read : placement.reads) {
        result.prefills.push_back({InstanceId(read.engine), Duration(read.readingUs), Tokens(read.memoryTokens)});
    }
    return result;
}

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// Returns an age that was received; empty if it is out of range.
std::optional<Duration> decodeAge(std::int64_t milliseconds)
{
    if (milliseconds < 0 || milliseconds > LargestAgeMs) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(milliseconds);
}

std::vector<std::int64_t> toThrift(const std::vector<PromptPartId> &parts)
{
    std::vector<std::int64_t> result;
    result.reserve(parts.size());
    for (const PromptPartId part : parts) {
        result.push_back(static_cast<std::int64_t>(part.value()));
    }
    return result;
}

std::vector<PromptPartId> fromThrift(const std::vector<std::int64_t> &parts)
{
    std::vector<PromptPartId> result;
    result.reserve(parts.size());
    for (const std::int64_t part : parts) {
        result.emplace_back(static_cast<std::uint64_t>(part));
    }
    return result;
}

void encodeQuarantine(const QuarantineUpdate &update, wire::relay::RelayNews &message)
{
    if (!update.brokenStarts.empty()) {
        message.__isset.brokenStarts = true;
        for (const BrokenStart &broken : update.brokenStarts) {
            wire::relay::RelayBrokenStart &start = message.brokenStarts.emplace_back();
            start.upstream = static_cast<std::int64_t>(broken.upstream.value());
            start.call = static_cast<std::int64_t>(broken.request.value());
            if (!broken.atFirstEvent) {
                start.__set_begun(false);
            }
            start.parts = toThrift(broken.parts);
            start.ageMs = toMs(broken.age);
        }
    }
    if (!update.quarantined.empty()) {
        message.__isset.quarantines = true;
        for (const QuarantinedParts &quarantined : update.quarantined) {
            wire::relay::RelayQuarantine &quarantine = message.quarantines.emplace_back();
            quarantine.parts = toThrift(quarantined.parts);
            quarantine.ageMs = toMs(quarantined.age);
        }
    }
    if (!update.sound.empty()) {
        message.__isset.soundParts = true;
        for (const SoundPart &sound : update.sound) {
            wire::relay::RelaySoundPart &part = message.soundParts.emplace_back();
            part.part = static_cast<std::int64_t>(sound.part.value());
            part.ageMs = toMs(sound.age);
        }
    }
}

QuarantineUpdate decodeQuarantine(const wire::relay::RelayNews &message)
{
    QuarantineUpdate update;
    for (const wire::relay::RelayBrokenStart &start : message.brokenStarts) {
        const std::optional<Duration> age = decodeAge(start.ageMs);
        if (!age) {
            continue;
        }
        update.brokenStarts.push_back({UpstreamRunKey(static_cast<std::uint64_t>(start.upstream)),
                                       RequestHash(static_cast<std::uint64_t>(start.call)),
                                       fromThrift(start.parts),
                                       *age,
                                       !start.__isset.begun || start.begun});
    }
    for (const wire::relay::RelayQuarantine &quarantine : message.quarantines) {
        const std::optional<Duration> age = decodeAge(quarantine.ageMs);
        if (age && !quarantine.parts.empty()) {
            std::vector<PromptPartId> parts = fromThrift(quarantine.parts);
            std::ranges::sort(parts);
            update.quarantined.push_back({std::move(parts), *age});
        }
    }
    for (const wire::relay::RelaySoundPart &part : message.soundParts) {
        if (const std::optional<Duration> age = decodeAge(part.ageMs)) {
            update.sound.push_back({PromptPartId(static_cast<std::uint64_t>(part.part)), *age});
        }
    }
    return update;
}

void encodeRateLimits(const std::vector<RateLimitReport> &reports, wire::relay::RelayNews &message)
{
    if (reports.empty()) {
        return;
    }
    message.__isset.rateLimits = true;
    for (const RateLimitReport &report : reports) {
        wire::relay::RelayRateLimit &limit = message.rateLimits.emplace_back();
        limit.upstream = static_cast<std::int64_t>(report.upstream.value());
        if (report.limit) {
            limit.__set_perSecond(report.limit->perSecond);
        }
        limit.ageMs = toMs(report.age);
        limit.sent = static_cast<std::int64_t>(report.sent);
    }
}

std::vector<RateLimitReport> decodeRateLimits(const wire::relay::RelayNews &message)
{
    std::vector<RateLimitReport> reports;
    for (const wire::relay::RelayRateLimit &limit : message.rateLimits) {
        const std::optional<Duration> age = decodeAge(limit.ageMs);
        const bool rateInRange = limit.perSecond >= 0.0 && limit.perSecond <= LargestRate;
        if (!age || limit.sent < 0 || (limit.__isset.perSecond && !rateInRange)) {
            continue;
        }
        reports.push_back({UpstreamRunKey(static_cast<std::uint64_t>(limit.upstream)),
                           limit.__isset.perSecond ? std::optional(RequestRate {limit.perSecond}) : std::nullopt,
                           *age,
                           static_cast<std::uint64_t>(limit.sent)});
    }
    return reports;
}

wire::relay::RelayEvacuations toThrift(const EvacuatedDomains &evacuated)
{
    wire::relay::RelayEvacuations result;
    for (const FailureDomain &domain : evacuated.domains) {
        result.domains.push_back(domain.value());
    }
    result.revision = evacuated.revision.number;
    if (evacuated.revision.era > StoreEra()) {
        result.__set_era(evacuated.revision.era.value());
    }
    return result;
}

/// Returns evacuated domains that were received; empty if a value is out of range.
std::optional<EvacuatedDomains> fromThrift(const wire::relay::RelayEvacuations &evacuations)
{
    const std::int64_t era = evacuations.__isset.era ? evacuations.era : 0;
    if (evacuations.revision <= 0 || era < 0 || evacuations.domains.size() > MaxEvacuatedDomains) {
        return std::nullopt;
    }
    EvacuatedDomains result;
    result.revision = {evacuations.revision, StoreEra(era)};
    for (const std::string &domain : evacuations.domains) {
        if (domain.empty() || domain.size() > MaxDomainBytes) {
            return std::nullopt;
        }
        result.domains.emplace(domain);
    }
    return result;
}

void encodeColdUpstreams(const std::vector<ColdUpstreamReport> &reports, wire::relay::RelayNews &message)
{
    if (reports.empty()) {
        return;
    }
    message.__isset.coldUpstreams = true;
    for (const ColdUpstreamReport &report : reports) {
        wire::relay::RelayColdUpstream &cold = message.coldUpstreams.emplace_back();
        cold.upstream = static_cast<std::int64_t>(report.upstream.value());
        cold.remainingMs = toMs(report.remaining);
        cold.sent = static_cast<std::int64_t>(report.sent);
    }
}

std::vector<ColdUpstreamReport> decodeColdUpstreams(const wire::relay::RelayNews &message)
{
    std::vector<ColdUpstreamReport> reports;
    for (const wire::relay::RelayColdUpstream &cold : message.coldUpstreams) {
        const std::optional<Duration> remaining = decodeAge(cold.remainingMs);
        if (remaining && cold.sent >= 0) {
            reports.push_back({UpstreamRunKey(static_cast<std::uint64_t>(cold.upstream)),
                               *remaining,
                               static_cast<std::uint64_t>(cold.sent)});
        }
    }
    return reports;
}

void encodePaces(const std::vector<UpstreamPaceReport> &reports, wire::relay::RelayNews &message)
{
    if (reports.empty()) {
        return;
    }
    message.__isset.paces = true;
    for (const UpstreamPaceReport &report : reports) {
        wire::relay::RelayUpstreamPace &pace = message.paces.emplace_back();
        pace.upstream = static_cast<std::int64_t>(report.upstream.value());
        pace.share = report.share;
        pace.ageMs = toMs(report.age);
    }
}

std::vector<UpstreamPaceReport> decodePaces(const wire::relay::RelayNews &message)
{
    std::vector<UpstreamPaceReport> reports;
    for (const wire::relay::RelayUpstreamPace &pace : message.paces) {
        const std::optional<Duration> age = decodeAge(pace.ageMs);
        if (age && pace.share >= 0.0 && pace.share <= 1.0) {
            reports.push_back({UpstreamRunKey(static_cast<std::uint64_t>(pace.upstream)), pace.share, *age});
        }
    }
    return reports;
}

void encodeCustomerWork(const std::vector<CustomerWork> &report, wire::relay::RelayNews &message)
{
    if (report.empty()) {
        return;
    }
    message.__isset.customerWork = true;
    for (const CustomerWork &customer : report) {
        wire::relay::RelayCustomerWork &work = message.customerWork.emplace_back();
        work.serviceName = customer.service.value();
        work.customer = customer.customer.value();
        work.workUs = customer.sent.count();
        if (customer.waiting > Duration::zero()) {
            work.__set_waitingUs(customer.waiting.count());
        }
    }
}

std::vector<CustomerWork> decodeCustomerWork(const wire::relay::RelayNews &message)
{
    std::vector<CustomerWork> report;
    for (const wire::relay::RelayCustomerWork &work : message.customerWork) {
        const std::int64_t waitingUs = work.__isset.waitingUs ? work.waitingUs : 0;
        if (work.serviceName.empty() || work.workUs < 0 || work.workUs > LargestWorkUs || waitingUs < 0
            || waitingUs > LargestBacklogUs || report.size() >= MostCustomers) {
            continue;
        }
        report.push_back(
            {ServiceName(work.serviceName), CustomerId(work.customer), Duration(work.workUs), Duration(waitingUs)});
    }
    return report;
}

wire::relay::RelayRecord toThrift(const StoredRecord &record)
{
    wire::relay::RelayRecord result;
    result.key = record.key;
    result.value = record.value;
    result.revision = record.revision.number;
    if (record.revision.era > StoreEra()) {
        result.__set_era(record.revision.era.value());
    }
    return result;
}

StoredRecord fromThrift(const wire::relay::RelayRecord &record)
{
    return {record.key, record.value, {record.revision, StoreEra(record.__isset.era ? record.era : 0)}};
}

} // namespace

std::string encodeEntryNews(const EntryNews &news)
{
    wire::relay::RelayNews message;
    message.entry = news.sender.id.value();
    message.incarnation = static_cast<std::int64_t>(news.sender.incarnation.value());
    message.address = news.sender.address;
    const EntryRecordStatus &knowledge = news.knowledge;
    message.configVersion = knowledge.configVersion.value();
    if (!news.sender.domain.empty()) {
        message.__set_domain(news.sender.domain.value());
    }
    if (news.domainLoad) {
        message.__set_domainSlotUse(news.domainLoad->slotUse);
        message.__set_domainBacklogUs(news.domainLoad->backlog.count());
    }
    message.listRevision = news.listRevision;
    message.__set_copyAddress(knowledge.copyAddress);
    if (knowledge.listAge) {
        message.__set_listDigest(static_cast<std::int64_t>(knowledge.listDigest));
        message.__set_listAgeMs(std::chrono::duration_cast<std::chrono::milliseconds>(*knowledge.listAge).count());
    }
    if (knowledge.awaitsConfig) {
        message.__set_awaitsConfig(true);
    }
    if (knowledge.evacuations) {
        message.__set_evacuations(toThrift(*knowledge.evacuations));
    }
    if (!news.heard.empty()) {
        message.__set_heard(news.heard);
    }
    if (!news.load.placed.empty()) {
        message.__isset.placed = true;
        for (const Placement &placement : news.load.placed) {
            message.placed.push_back(toThrift(placement));
        }
    }
    if (!news.load.ended.empty()) {
        message.__isset.ended = true;
        for (const CallNumber &call : news.load.ended) {
            message.ended.push_back(static_cast<std::int64_t>(call.value()));
        }
    }
    if (!news.load.prefillsDone.empty()) {
        message.__isset.readCalls = true;
        for (const CallNumber &call : news.load.prefillsDone) {
            message.readCalls.push_back(static_cast<std::int64_t>(call.value()));
        }
    }
    if (!news.load.refused.empty()) {
        message.__isset.refused = true;
        for (const std::uint64_t fingerprint : news.load.refused) {
            message.refused.push_back(static_cast<std::int64_t>(fingerprint));
        }
    }
    encodeQuarantine(news.quarantine, message);
    encodeRateLimits(news.load.rateLimits, message);
    encodeColdUpstreams(news.load.coldUpstreams, message);
    encodePaces(news.load.paces, message);
    encodeCustomerWork(news.load.customerWork, message);
    return encode(message);
}

Result<EntryNews> decodeEntryNews(std::string_view bytes)
{
    Result<wire::relay::RelayNews> decoded = decode<wire::relay::RelayNews>(bytes);
    if (const Error *error = errorOf(decoded)) {
        return *error;
    }
    const auto &message = std::get<wire::relay::RelayNews>(decoded);
    EntryNews news;
    news.sender = {InstanceId(message.entry),
                   Incarnation(static_cast<std::uint64_t>(message.incarnation)),
                   message.address,
                   FailureDomain(message.__isset.domain ? message.domain : std::string())};
    const bool loadInRange = message.domainSlotUse >= 0.0 && message.domainSlotUse <= LargestSlotUse
        && message.domainBacklogUs >= 0 && message.domainBacklogUs <= LargestBacklogUs;
    if (message.__isset.domainSlotUse && message.__isset.domainBacklogUs && loadInRange) {
        news.domainLoad = DomainLoad {message.domainSlotUse, Duration(message.domainBacklogUs)};
    }
    news.knowledge.copyAddress = message.copyAddress;
    news.heard = message.heard;
    news.knowledge.configVersion = RelayConfigVersion(message.configVersion);
    news.knowledge.awaitsConfig = message.__isset.awaitsConfig && message.awaitsConfig;
    if (message.__isset.listAgeMs && message.listAgeMs >= 0 && message.listAgeMs <= LargestAgeMs) {
        news.knowledge.listDigest = static_cast<std::uint64_t>(message.listDigest);
        news.knowledge.listAge = std::chrono::milliseconds(message.listAgeMs);
    }
    if (message.__isset.evacuations) {
        news.knowledge.evacuations = fromThrift(message.evacuations);
    }
    news.listRevision = message.listRevision;
    for (const wire::relay::RelayPlacement &placement : message.placed) {
        news.load.placed.push_back(fromThrift(placement, news.sender.id));
    }
    for (const std::int64_t call : message.readCalls) {
        news.load.prefillsDone.emplace_back(static_cast<std::uint64_t>(call));
    }
    for (const std::int64_t fingerprint : message.refused) {
        news.load.refused.push_back(static_cast<std::uint64_t>(fingerprint));
    }
    for (const std::int64_t call : message.ended) {
        news.load.ended.emplace_back(static_cast<std::uint64_t>(call));
    }
    news.quarantine = decodeQuarantine(message);
    news.load.rateLimits = decodeRateLimits(message);
    news.load.coldUpstreams = decodeColdUpstreams(message);
    news.load.paces = decodePaces(message);
    news.load.customerWork = decodeCustomerWork(message);
    return news;
}

std::string encodeRecordCopy(const RecordCopy &copy)
{
    wire::relay::RelayCopy message;
    if (copy.config) {
        message.__set_config(toThrift(*copy.config));
    }
    for (const StoredRecord &record : copy.upstreams.records) {
        message.upstreams.push_back(toThrift(record));
    }
    message.listRevision = copy.upstreams.revision.number;
    if (copy.upstreams.revision.era > StoreEra()) {
        message.__set_listEra(copy.upstreams.revision.era.value());
    }
    message.listAgeMs = std::chrono::duration_cast<std::chrono::milliseconds>(copy.age).count();
    if (copy.evacuations) {
        message.__set_evacuations(toThrift(*copy.evacuations));
    }
    return encode(message);
}

Result<RecordCopy> decodeRecordCopy(std::string_view bytes)
{
    Result<wire::relay::RelayCopy> decoded = decode<wire::relay::RelayCopy>(bytes);
    if (const Error *error = errorOf(decoded)) {
        return *error;
    }
    const auto &message = std::get<wire::relay::RelayCopy>(decoded);
    RecordCopy copy;
    if (message.__isset.config) {
        copy.config = fromThrift(message.config);
    }
    for (const wire::relay::RelayRecord &record : message.upstreams) {
        copy.upstreams.records.push_back(fromThrift(record));
    }
    copy.upstreams.revision = {message.listRevision, StoreEra(message.__isset.listEra ? message.listEra : 0)};
    copy.age = std::chrono::milliseconds(message.listAgeMs);
    if (message.__isset.evacuations) {
        copy.evacuations = fromThrift(message.evacuations);
    }
    return copy;
}

} // namespace ibismast
