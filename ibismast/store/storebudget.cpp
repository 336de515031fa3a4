#include "ibismast/store/storebudget.h"

#include <algorithm>

namespace ibismast
{

Result<Success> StoreBudgetSettings::validate() const
{
    const auto invalid = [](const std::string &field) {
        return Error {ResultCode::SettingsInvalid, "StoreBudgetSettings::" + field, std::nullopt};
    };
    if (readsPerSecond <= 0.0) {
        return invalid("readsPerSecond must be positive");
    }
    if (writesPerSecond <= 0.0) {
        return invalid("writesPerSecond must be positive");
    }
    if (readBurst < 1.0) {
        return invalid("readBurst must be at least 1");
    }
    if (writeBurst < 1.0) {
        return invalid("writeBurst must be at least 1");
    }
    if (firstPause <= Duration::zero()) {
        return invalid("firstPause must be positive");
    }
    if (longestPause < firstPause) {
        return invalid("longestPause must be at least firstPause");
    }
    return Success();
}

StoreBudget::StoreBudget(const StoreBudgetSettings &settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
    , m_buckets {Bucket {settings.readsPerSecond, settings.readBurst, settings.readBurst, {}},
                 Bucket {settings.writesPerSecond, settings.writeBurst, settings.writeBurst, {}}}
{
}

StoreBudget::Bucket &StoreBudget::refill(StoreCallKind kind, TimePoint now)
{
    Bucket &bucket = m_buckets[static_cast<std::size_t>(kind)];
    if (now > bucket.lastRefill) {
        bucket.tokens = std::min(bucket.burst, bucket.tokens + bucket.rate * toSeconds(now - bucket.lastRefill));
        bucket.lastRefill = now;
    }
    return bucket;
}

bool StoreBudget::take(StoreCallKind kind, TimePoint now)
{
    Bucket &bucket = refill(kind, now);
    if (now < m_pausedUntil || bucket.tokens < 1.0) {
        return false;
    }
    bucket.tokens -= 1.0;
    if (suspectsOutage()) {
        // Sends one probe at a time: the next call must wait until the probe is answered or m_pause has elapsed.
        m_pausedUntil = now + m_pause;
        m_probing = true;
    }
    return true;
}

TimePoint StoreBudget::readyAt(StoreCallKind kind, TimePoint now)
{
    const Bucket &bucket = refill(kind, now);
    TimePoint ready = std::max(now, m_pausedUntil);
    if (bucket.tokens < 1.0) {
        // The conversion to microseconds rounds towards zero; without the extra one, `take` could fail at that time.
        ready = std::max(ready, now + fromSeconds((1.0 - bucket.tokens) / bucket.rate) + Duration(1));
    }
    return ready;
}

void StoreBudget::callFailed(TimePoint now)
{
    if (suspectsOutage() && !m_probing) {
        // Calls in flight at the start of an outage fail together; only the first failure increases the backoff.
        return;
    }
    m_probing = false;
    m_pause = suspectsOutage() ? std::min(m_pause * 2, m_settings.longestPause) : m_settings.firstPause;
    const auto jittered = fromSeconds(toSeconds(m_pause) * (0.5 + m_random.uniform()));
    m_pausedUntil = now + jittered;
}

void StoreBudget::callAnswered(TimePoint now)
{
    if (!suspectsOutage()) {
        return;
    }
    for (const auto kind : {StoreCallKind::Read, StoreCallKind::Write}) {
        refill(kind, now).tokens = 0.0;
    }
    m_pause = Duration::zero();
    m_pausedUntil = now;
    m_probing = false;
}

bool StoreBudget::suspectsOutage() const
{
    return m_pause > Duration::zero();
}

} // namespace ibismast
