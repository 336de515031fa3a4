#include "ibismast/relay/upstreampace.h"

#include <algorithm>
#include <cmath>

namespace ibismast
{

UpstreamPace::UpstreamPace(const UpstreamPaceSettings &settings) : m_settings(settings) { }

UpstreamPace::Upstream *UpstreamPace::find(UpstreamRunKey key)
{
    const auto found = m_upstreams.find(key);
    return found == m_upstreams.end() ? nullptr : &found->second;
}

bool UpstreamPace::begin(UpstreamRunKey upstream, TimePoint now)
{
    if (!m_settings.enabled || m_upstreams.contains(upstream) || m_upstreams.size() >= m_settings.maxUpstreams) {
        return false;
    }
    Upstream &state = m_upstreams[upstream];
    state.share = m_settings.firstShare;
    state.reportedShare = state.share;
    state.changedAt = now;
    state.lastEvent = now;
    return true;
}

double UpstreamPace::share(UpstreamRunKey upstream) const
{
    const auto found = m_upstreams.find(upstream);
    return found == m_upstreams.end() ? 1.0 : found->second.share;
}

double UpstreamPace::slowness(UpstreamRunKey upstream, TimePoint now) const
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end()) {
        return 1.0;
    }
    const double idle = toSeconds(std::max(now - found->second.lastEvent, Duration::zero()));
    return 1.0 + (found->second.slowness - 1.0) * std::exp2(-idle / toSeconds(m_settings.slownessHalfLife));
}

bool UpstreamPace::reported(Upstream &upstream) const
{
    const bool changed = std::abs(upstream.share - upstream.reportedShare) >= m_settings.reportedChange
        || (upstream.share == 1.0 && upstream.reportedShare < 1.0);
    if (changed) {
        upstream.reportedShare = upstream.share;
    }
    return changed;
}

bool UpstreamPace::grow(Upstream &upstream, TimePoint now) const
{
    upstream.lastEvent = now;
    const double share =
        upstream.growsFast ? upstream.share * m_settings.growthFactor : upstream.share + m_settings.growthStep;
    upstream.share = std::min(1.0, share);
    upstream.changedAt = now;
    return reported(upstream);
}

bool UpstreamPace::shrink(Upstream &upstream, TimePoint now) const
{
    upstream.lastEvent = now;
    if (upstream.shrunkAt != TimePoint::min() && now - upstream.shrunkAt < m_settings.shrinkInterval) {
        return false;
    }
    upstream.growsFast = false;
    upstream.share = std::max(m_settings.minShare, upstream.share * m_settings.shrinkFactor);
    upstream.shrunkAt = now;
    upstream.changedAt = now;
    return reported(upstream);
}

bool UpstreamPace::judge(Upstream &upstream, Duration expected, Duration observed, TimePoint now) const
{
    const double limit = toSeconds(expected) * m_settings.toleranceFactor + toSeconds(m_settings.toleranceTime);
    const bool kept = toSeconds(observed) <= limit;
    // A short time that is kept says nothing of the slowness.
    const double ratio = kept ? 1.0 : toSeconds(observed) / std::max(toSeconds(expected), 0.001);
    upstream.slowness += m_settings.averageWeight * (std::min(ratio, m_settings.maxSlowness) - upstream.slowness);
    return kept ? grow(upstream, now) : shrink(upstream, now);
}

bool UpstreamPace::noteFirstEvent(UpstreamRunKey upstream, Duration predicted, Duration observed, TimePoint now)
{
    Upstream *state = find(upstream);
    return state != nullptr && judge(*state, predicted, observed, now);
}

bool UpstreamPace::noteResponse(UpstreamRunKey upstream, const ServiceName &service, Duration observed, TimePoint now)
{
    if (!m_settings.enabled) {
        return false;
    }
    Upstream *state = find(upstream);
    const auto usual = m_usualTimes.find(service);
    if (state != nullptr) {
        return usual != m_usualTimes.end() && judge(*state, fromSeconds(usual->second), observed, now);
    }
    // The usual time is that of the upstreams that are not paced.
    double &average = m_usualTimes.try_emplace(service, toSeconds(observed)).first->second;
    average += m_settings.averageWeight * (toSeconds(observed) - average);
    return false;
}

bool UpstreamPace::noteDeclined(UpstreamRunKey upstream, TimePoint now)
{
    Upstream *state = find(upstream);
    return state != nullptr && shrink(*state, now);
}

bool UpstreamPace::noteFailure(UpstreamRunKey upstream, TimePoint now)
{
    Upstream *state = find(upstream);
    if (state == nullptr) {
        return false;
    }
    state->share = std::min(state->share, m_settings.firstShare / m_settings.shrinkFactor);
    return shrink(*state, now);
}

void UpstreamPace::apply(const std::vector<UpstreamPaceReport> &reports, TimePoint now)
{
    for (const UpstreamPaceReport &report : reports) {
        const TimePoint changedAt = now - report.age;
        (void)begin(report.upstream, changedAt);
        Upstream *state = find(report.upstream);
        if (state == nullptr || changedAt < state->changedAt) {
            continue;
        }
        state->growsFast = state->growsFast && report.share >= state->share;
        state->share = std::clamp(report.share, m_settings.minShare, 1.0);
        state->reportedShare = state->share;
        state->changedAt = changedAt;
        state->lastEvent = std::max(state->lastEvent, changedAt);
    }
}

std::optional<UpstreamPaceReport> UpstreamPace::report(UpstreamRunKey upstream, TimePoint now) const
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end()) {
        return std::nullopt;
    }
    return UpstreamPaceReport {upstream, found->second.share, now - found->second.changedAt};
}

void UpstreamPace::expire(TimePoint now)
{
    std::erase_if(m_upstreams, [this, now](const auto &item) {
        return now - item.second.lastEvent > m_settings.retention;
    });
}

std::size_t UpstreamPace::size() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_upstreams, [](const auto &item) {
        return item.second.share < 1.0;
    }));
}

} // namespace ibismast
