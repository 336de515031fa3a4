#include "ibismast/relay/upstreamratelimits.h"

#include <algorithm>
#include <cmath>

namespace ibismast
{

UpstreamRateLimits::UpstreamRateLimits(const UpstreamRateLimitsSettings &settings) : m_settings(settings) { }

double UpstreamRateLimits::rate(const Upstream &upstream) const
{
    return std::max(upstream.limit->perSecond, m_settings.minRate.perSecond);
}

double UpstreamRateLimits::burst(const Upstream &upstream) const
{
    return std::max(rate(upstream) * toSeconds(m_settings.burstTime), m_settings.minBurst);
}

double UpstreamRateLimits::tokensAt(const Upstream &upstream, TimePoint now) const
{
    const double refilled = rate(upstream) * toSeconds(std::max(now - upstream.refilledAt, Duration::zero()));
    return std::min(upstream.tokens + refilled, burst(upstream));
}

void UpstreamRateLimits::take(Upstream &upstream, double count, TimePoint now) const
{
    // The debt is bounded, so that a report that is wrong cannot stop all requests for long.
    upstream.tokens = std::max(tokensAt(upstream, now) - count, -2.0 * burst(upstream));
    upstream.refilledAt = std::max(upstream.refilledAt, now);
}

bool UpstreamRateLimits::update(UpstreamRunKey key, std::optional<RequestRate> limit, TimePoint at, TimePoint now)
{
    auto place = m_upstreams.find(key);
    if (place == m_upstreams.end()) {
        if (!limit || m_upstreams.size() >= m_settings.maxUpstreams) {
            return false;
        }
        place = m_upstreams.emplace(key, Upstream()).first;
        place->second.saidAt = at;
    }
    Upstream &upstream = place->second;
    if (at < upstream.saidAt) {
        return false;
    }
    upstream.saidAt = at;
    const std::optional<RequestRate> previous = std::exchange(upstream.limit, limit);
    if (!limit) {
        return previous.has_value();
    }
    if (!previous) {
        upstream.tokens = m_settings.minBurst;
        upstream.refilledAt = now;
        return true;
    }
    return std::abs(limit->perSecond - previous->perSecond) > m_settings.minChange * previous->perSecond;
}

bool UpstreamRateLimits::noteResponse(UpstreamRunKey upstream, std::optional<RequestRate> limit, TimePoint now)
{
    return update(upstream, limit, now, now);
}

std::optional<RequestRate> UpstreamRateLimits::limitOf(UpstreamRunKey upstream) const
{
    const auto found = m_upstreams.find(upstream);
    return found == m_upstreams.end() ? std::nullopt : found->second.limit;
}

std::optional<Duration> UpstreamRateLimits::ageOf(UpstreamRunKey upstream, TimePoint now) const
{
    const auto found = m_upstreams.find(upstream);
    return found == m_upstreams.end() ? std::nullopt : std::optional(now - found->second.saidAt);
}

bool UpstreamRateLimits::allows(UpstreamRunKey upstream, TimePoint now) const
{
    const auto found = m_upstreams.find(upstream);
    return found == m_upstreams.end() || !found->second.limit || tokensAt(found->second, now) >= 1.0;
}

bool UpstreamRateLimits::noteSent(UpstreamRunKey upstream, TimePoint now)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end() || !found->second.limit) {
        return false;
    }
    ++found->second.sent;
    take(found->second, 1.0, now);
    return true;
}

void UpstreamRateLimits::apply(const InstanceId &entry, const std::vector<RateLimitReport> &reports, TimePoint now)
{
    for (const RateLimitReport &report : reports) {
        (void)update(report.upstream, report.limit, now - report.age, now);
        const auto found = m_upstreams.find(report.upstream);
        if (found == m_upstreams.end()) {
            continue;
        }
        std::uint64_t &known = found->second.sentByOthers[entry];
        const std::uint64_t added = report.sent >= known ? report.sent - known : report.sent;
        known = report.sent;
        if (found->second.limit && added > 0) {
            take(found->second, static_cast<double>(added), now);
        }
    }
}

RateLimitReport UpstreamRateLimits::reportOn(UpstreamRunKey key, const Upstream &upstream, TimePoint now)
{
    return {key, upstream.limit, now - upstream.saidAt, upstream.sent};
}

std::optional<RateLimitReport> UpstreamRateLimits::report(UpstreamRunKey upstream, TimePoint now) const
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end()) {
        return std::nullopt;
    }
    return reportOn(upstream, found->second, now);
}

std::vector<RateLimitReport> UpstreamRateLimits::nextReports(std::size_t count, TimePoint now)
{
    std::vector<RateLimitReport> result;
    auto next = m_upstreams.upper_bound(m_lastReported);
    while (result.size() < std::min(count, m_upstreams.size())) {
        if (next == m_upstreams.end()) {
            next = m_upstreams.begin();
        }
        result.push_back(reportOn(next->first, next->second, now));
        m_lastReported = next->first;
        ++next;
    }
    return result;
}

void UpstreamRateLimits::dropEntry(const InstanceId &entry)
{
    for (auto &[key, upstream] : m_upstreams) {
        upstream.sentByOthers.erase(entry);
    }
}

void UpstreamRateLimits::expire(TimePoint now)
{
    std::erase_if(m_upstreams, [this, now](const auto &item) {
        const Upstream &upstream = item.second;
        return now - upstream.saidAt > (upstream.limit ? m_settings.limitRetention : m_settings.endedRetention);
    });
}

} // namespace ibismast
