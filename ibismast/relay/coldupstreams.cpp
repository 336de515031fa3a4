#include "ibismast/relay/coldupstreams.h"

#include "ibismast/core/stablehash.h"

#include <algorithm>
#include <cmath>

namespace ibismast
{

namespace
{

/// Requests of other entries that are kept for an upstream; more than any limit on one second.
constexpr std::size_t MaxArrivals = 1024;

std::size_t countSince(const std::deque<TimePoint> &times, TimePoint start)
{
    return static_cast<std::size_t>(std::ranges::count_if(times, [start](TimePoint time) {
        return time > start;
    }));
}

void dropUntil(std::deque<TimePoint> &times, TimePoint end)
{
    std::erase_if(times, [end](TimePoint time) {
        return time <= end;
    });
}

} // namespace

ColdUpstreams::ColdUpstreams(const ColdUpstreamsSettings &settings, InstanceId self)
    : m_settings(settings), m_self(std::move(self))
{
}

void ColdUpstreams::setServices(const std::map<ServiceName, RelayService> &services, TimePoint now)
{
    m_startedAt = m_startedAt.value_or(now);
    m_services = services;
}

const RelayService *ColdUpstreams::limited(const UpstreamRecord &record) const
{
    if (!m_settings.overrun) {
        return nullptr;
    }
    const auto found = m_services.find(record.service);
    return found == m_services.end() || found->second.coldRate.perSecond <= 0.0 ? nullptr : &found->second;
}

ColdUpstreams::Upstream *ColdUpstreams::stateOf(UpstreamRunKey key)
{
    const auto found = m_upstreams.find(key);
    if (found != m_upstreams.end()) {
        return &found->second;
    }
    return m_upstreams.size() >= m_settings.maxUpstreams ? nullptr : &m_upstreams[key];
}

TimePoint ColdUpstreams::ownColdUntil(const UpstreamDirectory::Member &member, const RelayService &service) const
{
    TimePoint end = TimePoint::min();
    if (member.startedAt) {
        end = *member.startedAt + service.coldTime;
    }
    if (member.record.coldRemaining > Duration::zero()) {
        end = std::max(end, member.reportedAt + std::min(member.record.coldRemaining, m_settings.longestCold));
    }
    const auto found = m_upstreams.find(runKey(member.record));
    return found == m_upstreams.end() ? end : std::max(end, found->second.coldUntil);
}

TimePoint ColdUpstreams::coldUntil(const UpstreamDirectory::Member &member, const RelayService &service) const
{
    const TimePoint end = ownColdUntil(member, service);
    const auto found = m_upstreams.find(runKey(member.record));
    return found == m_upstreams.end() ? end : std::max(end, found->second.reportedUntil);
}

double ColdUpstreams::target(const RelayService &service) const
{
    const double limit = service.coldRate.perSecond * m_settings.overrun.value_or(0.0) + m_settings.slack;
    return std::min(std::max(service.coldRate.perSecond, 1.0), limit);
}

std::size_t ColdUpstreams::share(UpstreamRunKey key, double target, TimePoint now) const
{
    const auto requests = static_cast<std::size_t>(std::floor(target));
    const std::size_t entries = m_entries.size() + 1;
    const bool settled = m_entries.empty() ? !m_settings.hasPeers : now - *m_firstNews >= m_settings.settleTime;
    if (requests >= entries) {
        return settled ? requests / entries : 1;
    }
    // There are too many entries for a request of each, so those that come first in an order that differs between
    // upstreams get one.
    const auto rank = [key](const InstanceId &entry) {
        return combineHashes(stableHash(entry.value()), key.value());
    };
    const auto before = static_cast<std::size_t>(std::ranges::count_if(m_entries, [&](const auto &entry) {
        return rank(entry.first) < rank(m_self);
    }));
    return before < requests ? 1 : 0;
}

std::optional<Duration> ColdUpstreams::remaining(const UpstreamDirectory::Member &member, TimePoint now) const
{
    const RelayService *service = limited(member.record);
    if (service == nullptr) {
        return std::nullopt;
    }
    const TimePoint end = coldUntil(member, *service);
    return now < end ? std::optional(end - now) : std::nullopt;
}

bool ColdUpstreams::allows(const UpstreamDirectory::Member &member, TimePoint now) const
{
    const RelayService *service = limited(member.record);
    if (service == nullptr) {
        return true;
    }
    const UpstreamRunKey key = runKey(member.record);
    const auto found = m_upstreams.find(key);
    const bool maybeCold = found != m_upstreams.end() && now < found->second.maybeColdUntil;
    if (!maybeCold && now >= coldUntil(member, *service)) {
        return true;
    }
    if (now - *m_startedAt < m_settings.window) {
        return false;
    }
    const double requests = target(*service);
    if (found == m_upstreams.end()) {
        return share(key, requests, now) > 0;
    }
    const std::size_t own = countSince(found->second.own, now - m_settings.window);
    const std::size_t all = own + countSince(found->second.others, now - m_settings.window);
    return static_cast<double>(all) + 1.0 <= requests && own < share(key, requests, now);
}

bool ColdUpstreams::noteResponse(const UpstreamRecord &upstream, Duration remaining, TimePoint now)
{
    if (limited(upstream) == nullptr || remaining <= Duration::zero()) {
        return false;
    }
    Upstream *state = stateOf(runKey(upstream));
    if (state == nullptr) {
        return false;
    }
    const bool known = now < std::max(state->coldUntil, state->reportedUntil);
    state->coldUntil = std::max(state->coldUntil, now + std::min(remaining, m_settings.longestCold));
    return !known;
}

void ColdUpstreams::noteFailure(const UpstreamDirectory::Member &member, TimePoint now)
{
    const RelayService *service = limited(member.record);
    if (service == nullptr || service->coldTime <= Duration::zero()) {
        return;
    }
    if (Upstream *state = stateOf(runKey(member.record))) {
        state->maybeColdUntil = std::max(state->maybeColdUntil, now + service->coldTime);
    }
}

ColdUpstreams::Sent ColdUpstreams::noteSent(const UpstreamDirectory::Member &member, TimePoint at, TimePoint now)
{
    const RelayService *service = limited(member.record);
    Upstream *state = service == nullptr ? nullptr : stateOf(runKey(member.record));
    if (state == nullptr) {
        return Sent::ToWarm;
    }
    // Requests to a warm upstream count too, since it may have become cold a moment ago.
    dropUntil(state->own, now - m_settings.window);
    state->own.push_back(at);
    if (now >= coldUntil(member, *service)) {
        state->sent = 0;
        return Sent::ToWarm;
    }
    state->coldUntil = ownColdUntil(member, *service);
    return ++state->sent == 1 ? Sent::FirstToCold : Sent::ToCold;
}

void ColdUpstreams::noteEntry(const InstanceId &entry, TimePoint now)
{
    m_entries[entry] = now;
    m_firstNews = m_firstNews.value_or(now);
}

void ColdUpstreams::apply(const InstanceId &entry, const std::vector<ColdUpstreamReport> &reports, TimePoint now)
{
    for (const ColdUpstreamReport &report : reports) {
        Upstream *state = stateOf(report.upstream);
        if (state == nullptr) {
            continue;
        }
        state->reportedUntil = std::max(state->reportedUntil, now + std::min(report.remaining, m_settings.longestCold));
        std::uint64_t &known = state->sentByOthers[entry];
        const std::uint64_t added = report.sent >= known ? report.sent - known : report.sent;
        known = report.sent;
        dropUntil(state->others, now - m_settings.window);
        const auto room = static_cast<std::uint64_t>(MaxArrivals - std::min(state->others.size(), MaxArrivals));
        state->others.insert(state->others.end(), std::min(added, room), now);
    }
}

std::optional<ColdUpstreamReport> ColdUpstreams::report(UpstreamRunKey upstream, TimePoint now) const
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end() || now >= std::max(found->second.coldUntil, found->second.reportedUntil)) {
        return std::nullopt;
    }
    const TimePoint end = std::max(found->second.coldUntil, now);
    return ColdUpstreamReport {upstream, end - now, found->second.sent};
}

std::vector<ColdUpstreamReport> ColdUpstreams::nextReports(std::size_t count, TimePoint now)
{
    std::vector<ColdUpstreamReport> result;
    auto next = m_upstreams.upper_bound(m_lastReported);
    for (std::size_t index = 0; index < m_upstreams.size() && result.size() < count; ++index) {
        if (next == m_upstreams.end()) {
            next = m_upstreams.begin();
        }
        if (std::optional<ColdUpstreamReport> found = report(next->first, now)) {
            result.push_back(*found);
            m_lastReported = next->first;
        }
        ++next;
    }
    return result;
}

void ColdUpstreams::dropEntry(const InstanceId &entry)
{
    for (auto &[key, upstream] : m_upstreams) {
        upstream.sentByOthers.erase(entry);
    }
}

void ColdUpstreams::expire(TimePoint now)
{
    std::erase_if(m_upstreams, [this, now](const auto &item) {
        const Upstream &upstream = item.second;
        return now >= std::max({upstream.coldUntil, upstream.reportedUntil, upstream.maybeColdUntil})
            && countSince(upstream.own, now - m_settings.window) == 0;
    });
    std::erase_if(m_entries, [this, now](const auto &entry) {
        return now - entry.second > m_settings.entryRetention;
    });
}

std::size_t ColdUpstreams::size(TimePoint now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_upstreams, [now](const auto &item) {
        return now < std::max(item.second.coldUntil, item.second.reportedUntil);
    }));
}

} // namespace ibismast
