#include "UnitTests/harness/fakestore.h"

#include <algorithm>

namespace ibismast::harness
{

namespace
{

bool inRange(const std::string &key, const std::string &begin, const std::string &end)
{
    return end.empty() ? key == begin : key >= begin && key < end;
}

} // namespace

FakeStore::FakeStore(const FakeStoreSettings &settings) : m_settings(settings) { }

void FakeStore::answerAt(TimePoint time, StoreCallId id, StoreOutcome outcome)
{
    m_answers.emplace(time, StoreAnswer {id, std::move(outcome)});
}

bool FakeStore::withinLimit(bool write, TimePoint now)
{
    Usage &usage = write ? m_writeUsage : m_readUsage;
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    if (usage.second != second) {
        usage = {second, 0.0};
    }
    usage.calls += 1.0;
    (write ? m_writes : m_reads) += 1;
    return usage.calls <= (write ? m_settings.writesPerSecond : m_settings.readsPerSecond);
}

void FakeStore::submit(const StoreCall &call, TimePoint now)
{
    const bool write = isWrite(call.operation);
    if (m_down) {
        answerAt(now + m_settings.oneWay, call.id, StoreFailure {"connection refused", false});
        return;
    }
    if (!withinLimit(write, now)) {
        m_refusals += 1;
        answerAt(now + m_settings.oneWay, call.id, StoreFailure {"too many requests", false});
        return;
    }
    Effect effect {call, true, false};
    TimePoint time = now + m_settings.oneWay + m_slowness;
    if (write && m_effectDelay) {
        time += *m_effectDelay;
        m_effectDelay.reset();
        effect.answered = false;
        answerAt(now + m_settings.oneWay, call.id, StoreFailure {"connection lost", true});
    } else if (write && m_lostAnswers > 0) {
        m_lostAnswers -= 1;
        effect.loseAnswer = true;
    }
    m_effects.emplace(time, std::move(effect));
}

StoreAnswers FakeStore::takeAnswers(TimePoint now)
{
    while (!m_effects.empty() && m_effects.begin()->first <= now) {
        const auto node = m_effects.extract(m_effects.begin());
        m_now = std::max(m_now, node.key());
        expireLeases(m_now);
        apply(node.mapped(), m_now);
    }
    m_now = std::max(m_now, now);
    expireLeases(m_now);
    StoreAnswers answers;
    const auto end = m_answers.upper_bound(now);
    for (auto answer = m_answers.begin(); answer != end; ++answer) {
        answers.push_back(std::move(answer->second));
    }
    m_answers.erase(m_answers.begin(), end);
    return answers;
}

std::optional<TimePoint> FakeStore::nextEvent() const
{
    std::optional<TimePoint> next;
    if (!m_effects.empty()) {
        next = m_effects.begin()->first;
    }
    if (!m_answers.empty()) {
        next = next ? std::min(*next, m_answers.begin()->first) : m_answers.begin()->first;
    }
    return next;
}

void FakeStore::apply(const Effect &effect, TimePoint now)
{
    const StoreCall &call = effect.call;
    const TimePoint answerTime = now + m_settings.oneWay + m_slowness;
    if (m_down) {
        if (effect.answered) {
            answerAt(answerTime, call.id, StoreFailure {"connection lost", true});
        }
        return;
    }
    if (const auto *watch = std::get_if<StoreWatch>(&call.operation)) {
        startWatch(call, *watch, now);
        return;
    }
    if (const auto *cancel = std::get_if<StoreWatchCancel>(&call.operation)) {
        std::erase_if(m_watches, [cancel](const Watch &watch) {
            return watch.id == cancel->watch;
        });
        return;
    }
    StoreOutcome outcome = perform(call.operation, now);
    if (effect.loseAnswer) {
        outcome = StoreFailure {"connection lost", true};
    }
    if (effect.answered) {
        answerAt(answerTime, call.id, std::move(outcome));
    }
}

StoreOutcome FakeStore::perform(const StoreOperation &operation, TimePoint now)
{
    if (const auto *read = std::get_if<StoreRead>(&operation)) {
        return StoreReadResult {range(read->key, read->rangeEnd, read->limit), m_revision};
    }
    if (const auto *call = std::get_if<StoreTransactionCall>(&operation)) {
        for (const StorePut &put : call->puts) {
            if (put.value.size() > m_settings.largestValue) {
                return StoreFailure {"value too large", false};
            }
            if (put.lease != StoreLeaseId() && !m_leases.contains(put.lease)) {
                return StoreFailure {"lease not found", false};
            }
        }
        return transact(*call);
    }
    if (const auto *grant = std::get_if<StoreLeaseGrant>(&operation)) {
        const StoreLeaseId lease(++m_lastLease);
        m_leases[lease] = {grant->timeToLive, now + grant->timeToLive};
        return StoreLeaseResult {lease, grant->timeToLive};
    }
    if (const auto *keep = std::get_if<StoreLeaseKeepAlive>(&operation)) {
        const auto lease = m_leases.find(keep->lease);
        if (lease == m_leases.end()) {
            return StoreLeaseResult {keep->lease, Duration::zero()};
        }
        lease->second.end = now + lease->second.timeToLive;
        return StoreLeaseResult {keep->lease, lease->second.timeToLive};
    }
    if (const auto *revoke = std::get_if<StoreLeaseRevoke>(&operation)) {
        lapseLease(revoke->lease);
        return StoreLeaseResult {revoke->lease, Duration::zero()};
    }
    return StoreFailure {"unknown operation", false};
}

StoreTransactionResult FakeStore::transact(const StoreTransactionCall &call)
{
    const bool holds = std::ranges::all_of(call.compares, [this](const StoreCompare &compare) {
        const auto entry = m_entries.find(compare.key);
        return (entry == m_entries.end() ? StoreRevision() : entry->second.modRevision) == compare.modRevision;
    });
    StoreTransactionResult result {holds, m_revision, {}};
    if (!holds) {
        for (const std::string &key : call.readOnFailure) {
            std::ranges::move(range(key, {}, 1), std::back_inserter(result.entries));
        }
        return result;
    }
    if (call.puts.empty() && call.deletes.empty()) {
        return result;
    }
    m_revision += StoreRevision(1);
    std::vector<StoreEntry> puts;
    std::vector<StoreEntry> deletes;
    for (const StorePut &put : call.puts) {
        m_largestValueWritten = std::max(m_largestValueWritten, put.value.size());
        m_entries[put.key] = {put.key, put.value, m_revision, put.lease};
        puts.push_back(m_entries[put.key]);
    }
    for (const std::string &key : call.deletes) {
        if (m_entries.erase(key) > 0) {
            deletes.push_back({key, {}, m_revision, {}});
        }
    }
    notify(puts, deletes, m_now);
    result.revision = m_revision;
    return result;
}

std::vector<StoreEntry> FakeStore::range(const std::string &key, const std::string &end, std::int64_t limit) const
{
    std::vector<StoreEntry> found;
    for (auto entry = m_entries.lower_bound(key); entry != m_entries.end() && inRange(entry->first, key, end);
         ++entry) {
        if (limit > 0 && static_cast<std::int64_t>(found.size()) >= limit) {
            break;
        }
        found.push_back(entry->second);
    }
    return found;
}

void FakeStore::startWatch(const StoreCall &call, const StoreWatch &watch, TimePoint now)
{
    m_watches.push_back({call.id, watch.key, watch.rangeEnd});
    StoreWatchEvents missed;
    for (const StoreEntry &entry : range(watch.key, watch.rangeEnd, 0)) {
        if (entry.modRevision >= watch.fromRevision) {
            missed.puts.push_back(entry);
        }
    }
    missed.revision = m_revision;
    if (!missed.puts.empty()) {
        answerAt(now + m_settings.oneWay + m_slowness, call.id, std::move(missed));
    }
}

void FakeStore::notify(const std::vector<StoreEntry> &puts, const std::vector<StoreEntry> &deletes, TimePoint now)
{
    for (const Watch &watch : m_watches) {
        StoreWatchEvents events;
        for (const StoreEntry &entry : puts) {
            if (inRange(entry.key, watch.key, watch.rangeEnd)) {
                events.puts.push_back(entry);
            }
        }
        for (const StoreEntry &entry : deletes) {
            if (inRange(entry.key, watch.key, watch.rangeEnd)) {
                events.deletes.push_back(entry);
            }
        }
        if (events.puts.empty() && events.deletes.empty()) {
            continue;
        }
        if (m_droppedEvents > 0) {
            m_droppedEvents -= 1;
            continue;
        }
        events.revision = m_revision;
        answerAt(now + m_settings.oneWay + m_slowness, watch.id, std::move(events));
    }
}

void FakeStore::expireLeases(TimePoint now)
{
    std::vector<StoreLeaseId> ended;
    for (const auto &[id, lease] : m_leases) {
        if (lease.end <= now) {
            ended.push_back(id);
        }
    }
    std::ranges::for_each(ended, [this](StoreLeaseId lease) {
        lapseLease(lease);
    });
}

void FakeStore::lapseLease(StoreLeaseId lease)
{
    if (m_leases.erase(lease) == 0) {
        return;
    }
    StoreTransactionCall removal;
    for (const auto &[key, entry] : m_entries) {
        if (entry.lease == lease) {
            removal.deletes.push_back(key);
        }
    }
    transact(removal);
}

void FakeStore::setDown(bool down)
{
    if (down && !m_down) {
        for (const Watch &watch : m_watches) {
            answerAt(m_now + m_settings.oneWay, watch.id, StoreFailure {"connection lost", false});
        }
        m_watches.clear();
    }
    m_down = down;
}

void FakeStore::setSlowness(Duration delay)
{
    m_slowness = delay;
}

void FakeStore::loseAnswersAfterEffect(int count)
{
    m_lostAnswers = count;
}

void FakeStore::delayNextEffect(Duration delay)
{
    m_effectDelay = delay;
}

void FakeStore::dropWatchEvents(int count)
{
    m_droppedEvents = count;
}

const std::map<std::string, StoreEntry> &FakeStore::entries() const
{
    return m_entries;
}

std::int64_t FakeStore::reads() const
{
    return m_reads;
}

std::int64_t FakeStore::writes() const
{
    return m_writes;
}

std::int64_t FakeStore::refusals() const
{
    return m_refusals;
}

std::size_t FakeStore::largestValueWritten() const
{
    return m_largestValueWritten;
}

} // namespace ibismast::harness
