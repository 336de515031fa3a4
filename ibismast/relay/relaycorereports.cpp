#include "ibismast/relay/relaycore.h"

#include "ibismast/core/stablehash.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace ibismast
{

namespace
{

std::string toHexText(UpstreamRunKey key)
{
    std::array<char, 16> text {};
    constexpr int Base = 16;
    const auto end = std::to_chars(text.data(), text.data() + text.size(), key.value(), Base).ptr;
    return {text.data(), end};
}

/// Returns @p rate in requests a second for a field of a log event.
std::string rateText(std::optional<RequestRate> rate)
{
    return rate ? std::to_string(rate->perSecond) : std::string("none");
}

std::string secondsText(Duration duration)
{
    return std::to_string(toSeconds(duration));
}

} // namespace

// What entries tell each other about prompts that crash upstreams and about upstreams' rate limits, and the pauses that
// upstreams ask this entry for.

RequestHash RelayCore::requestHash(const IncomingCall &incoming, const CustomerId &customer)
{
    if (incoming.contentHash == 0) {
        return {};
    }
    // The customer may send the request with another of its keys.
    const std::uint64_t caller = combineHashes(stableHash(incoming.host), stableHash(customer.value()));
    return RequestHash(combineHashes(caller, incoming.contentHash));
}

Error RelayCore::quarantineError(const RelayCall &call, const PromptQuarantine::Hit &hit)
{
    const bool request = std::ranges::find(hit.parts, ownPart(call.requestHash)) != hit.parts.end();
    return {ResultCode::PromptQuarantined,
            request ? "the request " + toString(call.requestHash) + " has crashed upstreams"
                    : "the prompt parts " + toText(hit.parts) + " have crashed upstreams",
            hit.left};
}

std::optional<Error> RelayCore::checkQuarantine(RelayCall &call, TimePoint now)
{
    const std::optional<PromptQuarantine::Hit> hit = m_quarantine.find(call.requestHash, call.promptParts, now);
    if (!hit) {
        return std::nullopt;
    }
    if (!m_quarantine.takeTest(call.requestHash, call.promptParts, *hit, now)) {
        return quarantineError(call, *hit);
    }
    m_listener->onEvent(
        "quarantine_tested",
        {{"request", call.requestId}, {"request_hash", toString(call.requestHash)}, {"parts", toText(hit->parts)}});
    call.testsQuarantine = true;
    return std::nullopt;
}

std::optional<Error> RelayCore::checkPrompt(const RelayCall &call, TimePoint now) const
{
    const std::optional<PromptQuarantine::Hit> hit = m_quarantine.find(call.requestHash, call.promptParts, now);
    if (!hit || (call.testsQuarantine && hit->lastBroken < call.arrived)) {
        return std::nullopt;
    }
    return quarantineError(call, *hit);
}

void RelayCore::startBroken(const RelayCall &call, const UpstreamRecord &upstream, bool atFirstEvent, TimePoint now)
{
    m_quarantine.noteBrokenStart(runKey(upstream), call.requestHash, call.promptParts, atFirstEvent, now);
}

void RelayCore::promptAnswered(const RelayCall &call, TimePoint now)
{
    m_quarantine.noteSound(call.requestHash, call.promptParts, now);
}

void RelayCore::applyQuarantineUpdate(const QuarantineUpdate &update, TimePoint now)
{
    m_quarantine.apply(update, now);
}

QuarantineUpdate RelayCore::takeQuarantineUpdate()
{
    return m_quarantine.takeUpdate();
}

QuarantineUpdate RelayCore::quarantineSummary(TimePoint now)
{
    return m_quarantine.summary(now);
}

std::size_t RelayCore::quarantinedParts(TimePoint now) const
{
    return m_quarantine.size(now);
}

void RelayCore::noticeReceived(const UpstreamRecord &upstream, const UpstreamNotice &notice, TimePoint now)
{
    noteRateLimit(upstream, notice.rateLimit, now);
    sideNoticeReceived(upstream, {notice.leaving, std::nullopt, notice.pause, notice.cold}, now);
}

void RelayCore::sideNoticeReceived(const UpstreamRecord &upstream, const UpstreamNotice &notice, TimePoint now)
{
    if (notice.leaving && m_directory.noteLeaving(upstream, now)) {
        m_listener->onEvent(
            "upstream_leaving",
            {{"upstream", upstream.id.value()}, {"run", toHexText(runKey(upstream))}, {"source", "response"}});
    }
    if (notice.rateLimit) {
        noteRateLimit(upstream, notice.rateLimit, now);
    }
    if (notice.pause) {
        notePause(upstream, *notice.pause, now);
    }
    if (notice.cold) {
        noteCold(upstream, *notice.cold, now);
    }
}

void RelayCore::noteRateLimit(const UpstreamRecord &upstream, std::optional<RequestRate> limit, TimePoint now)
{
    const UpstreamRunKey key = runKey(upstream);
    const std::optional<RequestRate> previous = m_rateLimits.limitOf(key);
    if (m_rateLimits.noteResponse(key, limit, now)) {
        m_listener->onEvent("upstream_limited",
                            {{"upstream", upstream.id.value()},
                             {"run", toHexText(key)},
                             {"per_second", rateText(limit)},
                             {"previous", rateText(previous)},
                             {"source", "response"}});
        announceRate(key, true, now);
    }
}

void RelayCore::notePause(const UpstreamRecord &upstream, Duration pause, TimePoint now)
{
    if (m_pauses.begin(runKey(upstream), pause, now)) {
        m_listener->onEvent("upstream_paused", {{"upstream", upstream.id.value()}, {"seconds", secondsText(pause)}});
    }
}

std::optional<TimePoint> RelayCore::pauseEnd(const UpstreamRecord &upstream, TimePoint now) const
{
    return m_pauses.endOf(runKey(upstream), now);
}

bool RelayCore::takeOrder(const UpstreamRecord &upstream, PausedOrder order, TimePoint now)
{
    return m_pauses.takeOrder(runKey(upstream), order, now);
}

std::optional<Duration> RelayCore::retryDelay(const RelayCall &call, TimePoint now) const
{
    if (m_stopEnd) {
        return m_settings.stopRetryAfter;
    }
    const UpstreamDirectory::Candidates candidates = m_directory.candidates(call.service, now);
    std::optional<TimePoint> first;
    for (const auto *upstreams : {&candidates.trusted, &candidates.suspected}) {
        for (const UpstreamDirectory::Member *member : *upstreams) {
            if (m_evacuations.contains(member->record.domain)) {
                continue;
            }
            const std::optional<TimePoint> end = pauseEnd(member->record, now);
            if (!end) {
                return std::nullopt;
            }
            first = first ? std::min(*first, *end) : *end;
        }
    }
    return first ? std::optional(*first - now) : std::nullopt;
}

void RelayCore::announceRate(UpstreamRunKey upstream, bool fleetWide, TimePoint now)
{
    const std::optional<RateLimitReport> report = m_rateLimits.report(upstream, now);
    if (!report) {
        return;
    }
    const auto add = [&report](std::vector<RateLimitReport> &reports) {
        // A report holds a total, so the newest one replaces the others.
        std::erase_if(reports, [&report](const RateLimitReport &other) {
            return other.upstream == report->upstream;
        });
        reports.push_back(*report);
    };
    add(m_pendingUpdate.rateLimits);
    if (fleetWide && m_inCell) {
        add(m_fleetRateReports);
    }
}

void RelayCore::applyRateReports(const InstanceId &entry, const std::vector<RateLimitReport> &reports, TimePoint now)
{
    for (const RateLimitReport &report : reports) {
        const std::optional<RequestRate> previous = m_rateLimits.limitOf(report.upstream);
        m_rateLimits.apply(entry, {report}, now);
        const std::optional<RequestRate> limit = m_rateLimits.limitOf(report.upstream);
        if (limit.has_value() != previous.has_value()) {
            m_listener->onEvent("upstream_limited",
                                {{"run", toHexText(report.upstream)},
                                 {"per_second", rateText(limit)},
                                 {"previous", rateText(previous)},
                                 {"source", entry.value()}});
        }
    }
}

std::vector<RateLimitReport> RelayCore::takeFleetRateReports()
{
    return std::exchange(m_fleetRateReports, {});
}

void RelayCore::noteCold(const UpstreamRecord &upstream, Duration remaining, TimePoint now)
{
    if (!m_cold.noteResponse(upstream, remaining, now)) {
        return;
    }
    m_listener->onEvent("upstream_cold",
                        {{"upstream", upstream.id.value()},
                         {"run", toHexText(runKey(upstream))},
                         {"remaining_s", secondsText(remaining)},
                         {"source", "response"}});
    announceCold(runKey(upstream), now);
}

void RelayCore::noteSentToCold(const UpstreamRecord &upstream, TimePoint at, TimePoint now)
{
    const UpstreamDirectory::Member *member = m_directory.find(upstream.id);
    if (member == nullptr || member->record.incarnation != upstream.incarnation) {
        return;
    }
    const ColdUpstreams::Sent sent = m_cold.noteSent(*member, at, now);
    if (sent == ColdUpstreams::Sent::ToWarm) {
        return;
    }
    if (sent == ColdUpstreams::Sent::FirstToCold) {
        m_listener->onEvent("upstream_cold",
                            {{"upstream", upstream.id.value()},
                             {"run", toHexText(runKey(upstream))},
                             {"remaining_s", secondsText(m_cold.remaining(*member, now).value_or(Duration()))},
                             {"source", "first_request"}});
    }
    announceCold(runKey(upstream), now);
}

void RelayCore::announceCold(UpstreamRunKey upstream, TimePoint now)
{
    const std::optional<ColdUpstreamReport> report = m_cold.report(upstream, now);
    if (!report) {
        return;
    }
    const auto add = [&report](std::vector<ColdUpstreamReport> &reports) {
        // A report holds a total, so the newest one replaces the others.
        std::erase_if(reports, [&report](const ColdUpstreamReport &other) {
            return other.upstream == report->upstream;
        });
        reports.push_back(*report);
    };
    add(m_pendingUpdate.coldUpstreams);
    if (m_inCell) {
        add(m_fleetColdReports);
    }
}

void RelayCore::beginPace(const UpstreamDirectory::Member &member, TimePoint now)
{
    if (!m_settings.pace.enabled) {
        return;
    }
    const bool started = member.startedAt && now - *member.startedAt < m_settings.pace.startTime;
    if (!started && !m_cold.remaining(member, now)) {
        return;
    }
    if (const UpstreamRunKey key = runKey(member.record); m_pace.begin(key, now)) {
        announcePace(member.record.id, key, started ? "started" : "cold", now);
    }
}

void RelayCore::announcePace(const InstanceId &upstream, UpstreamRunKey key, std::string_view reason, TimePoint now)
{
    const std::optional<UpstreamPaceReport> report = m_pace.report(key, now);
    if (!report) {
        return;
    }
    m_listener->onEvent("pace_changed",
                        {{"upstream", upstream.value()},
                         {"run", toHexText(key)},
                         {"share", std::to_string(report->share)},
                         {"slowness", std::to_string(m_pace.slowness(key, now))},
                         {"reason", std::string(reason)}});
    std::erase_if(m_pendingUpdate.paces, [key](const UpstreamPaceReport &other) {
        return other.upstream == key;
    });
    m_pendingUpdate.paces.push_back(*report);
}

std::vector<ColdUpstreamReport> RelayCore::takeFleetColdReports()
{
    return std::exchange(m_fleetColdReports, {});
}

std::vector<ColdUpstreamReport> RelayCore::nextColdReports(std::size_t count, TimePoint now)
{
    return m_cold.nextReports(count, now);
}

std::vector<RateLimitReport> RelayCore::nextRateReports(std::size_t count, TimePoint now)
{
    return m_rateLimits.nextReports(count, now);
}

} // namespace ibismast
