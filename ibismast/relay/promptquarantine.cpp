#include "ibismast/relay/promptquarantine.h"

#include "ibismast/relay/commoncause.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace ibismast
{

namespace
{

bool holdsAll(const std::vector<PromptPartId> &prompt, const std::vector<PromptPartId> &parts)
{
    return std::ranges::all_of(parts, [&prompt](PromptPartId part) {
        return std::ranges::find(prompt, part) != prompt.end();
    });
}

std::vector<PromptPartId> withOwnPart(std::vector<PromptPartId> parts, RequestHash request)
{
    if (request != RequestHash()) {
        parts.push_back(ownPart(request));
    }
    return parts;
}

} // namespace

std::string toText(const std::vector<PromptPartId> &parts)
{
    std::string text;
    for (const PromptPartId part : parts) {
        text += (text.empty() ? "" : ",") + toString(part);
    }
    return text.empty() ? "none" : text;
}

/// Crashes, told apart from connections that break off together.
struct PromptQuarantine::CrashCount
{
    std::size_t crashes = 0;
    std::set<RequestHash> requests;
    std::set<UpstreamRunKey> upstreams;

    /// Adds an attempt. Crashes are at least @p spacing apart. Attempts of one request follow each other, so that
    /// @p repeatSpacing is enough if they break off at different upstreams.
    void add(const Evidence &broken, Duration spacing, Duration repeatSpacing)
    {
        const auto [lastOfRequest, isNew] = m_lastOf.try_emplace(broken.request, broken.at);
        const bool repeated =
            !isNew && !upstreams.contains(broken.upstream) && broken.at - lastOfRequest->second >= repeatSpacing;
        if (crashes == 0 || broken.at - m_last >= spacing || repeated) {
            m_last = broken.at;
            ++crashes;
        }
        lastOfRequest->second = broken.at;
        requests.insert(broken.request);
        upstreams.insert(broken.upstream);
    }

private:
    TimePoint m_last;
    std::map<RequestHash, TimePoint> m_lastOf;
};

/// What speaks against a part.
struct PromptQuarantine::Suspicion : CrashCount
{
    PromptPartId part;
    std::size_t attempts = 0;
    TimePoint lastBroken;
    /// Time of the first broken start at each of the upstreams.
    std::map<UpstreamRunKey, TimePoint> crashTimes;
    /// True if this entry has sent the attempt that broke off last.
    bool lastIsLocal = false;
    /// Parts that all these prompts hold, then those to quarantine.
    PartSet common;
    /// The crashes at which an attempt broke off at its first event.
    CrashCount clear;

    /// True if the part stands for a single request.
    [[nodiscard]] bool isRequest() const
    {
        return requests.size() == 1 && ownPart(*requests.begin()) == part;
    }
    /// Leaves out the crashes after @p end, and counts those that are at least @p spacing apart.
    void keepUntil(TimePoint end, Duration spacing)
    {
        std::vector<TimePoint> times;
        std::erase_if(upstreams, [this, end](UpstreamRunKey upstream) {
            return crashTimes.at(upstream) > end;
        });
        for (const UpstreamRunKey upstream : upstreams) {
            times.push_back(crashTimes.at(upstream));
        }
        std::ranges::sort(times);
        crashes = 0;
        TimePoint last = TimePoint::min();
        for (const TimePoint time : times) {
            if (crashes == 0 || time - last >= spacing) {
                last = time;
                ++crashes;
            }
        }
    }
};

PromptQuarantine::PromptQuarantine(const PromptQuarantineSettings &settings, EventListener &listener)
    : m_settings(settings), m_listener(&listener)
{
}

void PromptQuarantine::noteBrokenStart(UpstreamRunKey upstream,
                                       RequestHash request,
                                       const std::vector<PromptPartId> &parts,
                                       bool atFirstEvent,
                                       TimePoint now)
{
    PartSet held = withOwnPart(parts, request);
    if (held.empty()) {
        return;
    }
    if (held.size() > m_settings.maxParts) {
        held.erase(held.begin(), held.end() - static_cast<std::ptrdiff_t>(m_settings.maxParts));
    }
    if (addEvidence({upstream, request, held, now, atFirstEvent, true})) {
        m_pending.brokenStarts.push_back({upstream, request, std::move(held), {}, atFirstEvent});
        // A request that was the test of a quarantine must not be sent again.
        evaluateSoon(atFirstEvent || find(request, parts, now), now);
    }
}

bool PromptQuarantine::isSuspect(PromptPartId part) const
{
    return std::ranges::any_of(m_evidence,
                               [this, part](const Evidence &evidence) {
                                   return isSuspect(part, evidence);
                               })
        || std::ranges::any_of(m_quarantines, [part](const auto &entry) {
               return holdsAll(entry.first, {part});
           });
}

void PromptQuarantine::noteSound(RequestHash request, const std::vector<PromptPartId> &parts, TimePoint now)
{
    for (const PromptPartId part : parts) {
        const bool suspected = std::ranges::any_of(m_quarantines, [&](const auto &entry) {
            return isInForce(entry.second.lastBroken, now) && holdsAll(entry.first, {part});
        });
        markSound(part, now, now);
        if (suspected) {
            m_pending.sound.push_back({part, {}});
            m_released[part] = now;
        }
    }
    // Most requests are sound and are not sent again, so only those are remembered that something speaks against.
    if (request != RequestHash() && isSuspect(ownPart(request))) {
        markSound(ownPart(request), now, now);
        m_pending.sound.push_back({ownPart(request), {}});
    }
}

void PromptQuarantine::markSound(PromptPartId part, TimePoint at, TimePoint now)
{
    const auto known = m_sound.find(part);
    if (known != m_sound.end()) {
        known->second = std::max(known->second, at);
    } else if (m_sound.size() < m_settings.maxSound) {
        m_sound.emplace(part, at);
    }
    std::vector<std::pair<PartSet, Quarantine>> narrowed;
    const std::size_t released = std::erase_if(m_quarantines, [&](const auto &entry) {
        const auto &[parts, quarantine] = entry;
        if (quarantine.lastBroken >= at || !holdsAll(parts, {part})) {
            return false;
        }
        if (isInForce(quarantine.lastBroken, now)) {
            m_listener->onEvent("prompt_part_released", {{"part", toString(part)}, {"parts", toText(parts)}});
        }
        // The other parts remain as the cause.
        PartSet rest = parts;
        std::erase(rest, part);
        const bool testable = m_testable.erase(parts) > 0;
        if (!rest.empty()) {
            if (testable) {
                m_testable.insert(rest);
            }
            narrowed.emplace_back(std::move(rest), quarantine);
        }
        return true;
    });
    // The crashes that a released quarantine explained may have another cause.
    if (released > 0) {
        m_nextEvaluation = now;
    }
    for (auto &[parts, quarantine] : narrowed) {
        Quarantine &stored = m_quarantines.try_emplace(std::move(parts), quarantine).first->second;
        stored.lastBroken = std::max(stored.lastBroken, quarantine.lastBroken);
    }
}

bool PromptQuarantine::answeredSince(PromptPartId part, TimePoint at) const
{
    const auto sound = m_sound.find(part);
    return sound != m_sound.end() && sound->second >= at;
}

bool PromptQuarantine::wasAnswered(PromptPartId part) const
{
    return m_sound.contains(part);
}

bool PromptQuarantine::isInForce(TimePoint lastBroken, TimePoint now) const
{
    return now < lastBroken + m_settings.quarantineTime;
}

std::optional<PromptQuarantine::Hit>
PromptQuarantine::find(RequestHash request, const std::vector<PromptPartId> &parts, TimePoint now) const
{
    const PartSet held = withOwnPart(parts, request);
    for (const auto &[quarantined, quarantine] : m_quarantines) {
        if (isInForce(quarantine.lastBroken, now) && holdsAll(held, quarantined)) {
            return Hit {quarantined, quarantine.lastBroken + m_settings.quarantineTime - now, quarantine.lastBroken};
        }
    }
    return std::nullopt;
}

bool PromptQuarantine::takeTest(RequestHash request,
                                const std::vector<PromptPartId> &parts,
                                const Hit &hit,
                                TimePoint now)
{
    if (now - hit.lastBroken < m_settings.testDelay) {
        return false;
    }
    if (holdsAll(hit.parts, {ownPart(request)})) {
        return m_testable.erase(hit.parts) > 0;
    }
    return takePartTest(parts, hit, now);
}

bool PromptQuarantine::takePartTest(const std::vector<PromptPartId> &parts, const Hit &hit, TimePoint now)
{
    const auto found = m_quarantines.find(hit.parts);
    const std::optional<std::size_t> before = testersBefore(hit.parts);
    if (found == m_quarantines.end() || found->second.tested || !before || *before >= m_settings.maxTesters) {
        return false;
    }
    const auto turn = static_cast<Duration::rep>(*before + 1);
    if (now - hit.lastBroken < m_settings.testDelay * turn || (*before > 0 && isConfirmed(found->second))) {
        return false;
    }
    // A crash must tell something of the parts in quarantine.
    const bool othersSound = std::ranges::all_of(parts, [&](PromptPartId part) {
        return holdsAll(hit.parts, {part}) || wasAnswered(part);
    });
    const bool othersRecent = std::ranges::any_of(m_quarantines, [&](const auto &entry) {
        return holdsAll(parts, entry.first) && now - entry.second.lastBroken < m_settings.testDelay;
    });
    if (!othersSound || othersRecent) {
        return false;
    }
    for (auto &[quarantined, quarantine] : m_quarantines) {
        quarantine.tested = quarantine.tested || holdsAll(parts, quarantined);
    }
    return true;
}

std::optional<std::size_t> PromptQuarantine::testersBefore(const PartSet &parts) const
{
    std::map<std::pair<UpstreamRunKey, RequestHash>, bool> attempts;
    for (const Evidence &broken : m_evidence) {
        if (areSuspect(parts, broken)) {
            attempts.emplace(std::pair(broken.upstream, broken.request), broken.local);
        }
    }
    const auto own = std::ranges::find_if(attempts, [](const auto &attempt) {
        return attempt.second;
    });
    return own == attempts.end() ? std::nullopt : std::optional(std::distance(attempts.begin(), own));
}

bool PromptQuarantine::isConfirmed(const Quarantine &quarantine) const
{
    return quarantine.lastBroken - quarantine.since >= m_settings.testDelay;
}

bool PromptQuarantine::addEvidence(Evidence evidence)
{
    const bool known = std::ranges::any_of(m_evidence, [&](const Evidence &other) {
        const Duration apart = other.at < evidence.at ? evidence.at - other.at : other.at - evidence.at;
        return other.upstream == evidence.upstream && other.request == evidence.request
            && apart < m_settings.reportTime;
    });
    if (known) {
        return false;
    }
    const auto place = std::ranges::upper_bound(m_evidence, evidence.at, {}, &Evidence::at);
    m_evidence.insert(place, std::move(evidence));
    if (m_evidence.size() > m_settings.maxBrokenStarts) {
        m_evidence.pop_front();
    }
    return true;
}

bool PromptQuarantine::isSuspect(PromptPartId part, const Evidence &evidence) const
{
    return std::ranges::find(evidence.parts, part) != evidence.parts.end() && !answeredSince(part, evidence.at);
}

bool PromptQuarantine::areSuspect(const PartSet &parts, const Evidence &evidence) const
{
    return std::ranges::all_of(parts, [&](PromptPartId part) {
        return isSuspect(part, evidence);
    });
}

std::vector<const PromptQuarantine::PartSet *> PromptQuarantine::explanations() const
{
    std::vector<const PartSet *> result;
    for (const Evidence &evidence : m_evidence) {
        const auto found = std::ranges::find_if(m_quarantines, [&](const auto &entry) {
            return areSuspect(entry.first, evidence);
        });
        result.push_back(found == m_quarantines.end() ? nullptr : &found->first);
    }
    // What explains why one call broke off explains the crash of its upstream, under which the others broke off.
    std::map<UpstreamRunKey, const PartSet *> causes;
    for (std::size_t index = 0; index < m_evidence.size(); ++index) {
        if (result[index] != nullptr) {
            causes.emplace(m_evidence[index].upstream, result[index]);
        }
    }
    for (std::size_t index = 0; index < m_evidence.size(); ++index) {
        const auto cause = causes.find(m_evidence[index].upstream);
        if (result[index] == nullptr && cause != causes.end()) {
            result[index] = cause->second;
        }
    }
    return result;
}

std::set<UpstreamRunKey> PromptQuarantine::crashedAtFirstEvent() const
{
    std::set<UpstreamRunKey> upstreams;
    for (const Evidence &evidence : m_evidence) {
        if (evidence.atFirstEvent) {
            upstreams.insert(evidence.upstream);
        }
    }
    return upstreams;
}

PromptQuarantine::Suspicion PromptQuarantine::suspicionOf(PromptPartId part,
                                                          const std::vector<const PartSet *> &explainedBy) const
{
    Suspicion result;
    result.part = part;
    const std::set<UpstreamRunKey> clear = crashedAtFirstEvent();
    const bool isRequest = std::ranges::any_of(m_evidence, [part](const Evidence &broken) {
        return ownPart(broken.request) == part;
    });
    const Duration spacing = isRequest ? m_settings.requestCrashSpacing : m_settings.crashSpacing;
    for (std::size_t index = 0; index < m_evidence.size(); ++index) {
        const Evidence &broken = m_evidence[index];
        const PartSet *explanation = explainedBy[index];
        // Sound requests, too, break off at their first event, and a part is recognised by the crashes that its prompts
        // have in common. A request that is sent again may be alone with one other.
        const bool eclipsed = isRequest && !broken.atFirstEvent && clear.contains(broken.upstream);
        // Crashes with an explanation count against a part that shares it, unless its prompts have been answered: those
        // were near to the crashes.
        const bool explained = explanation != nullptr && (!holdsAll(*explanation, {part}) || wasAnswered(part));
        if (!isSuspect(part, broken) || explained || eclipsed) {
            continue;
        }
        if (result.requests.empty()) {
            result.common = broken.parts;
        }
        std::erase_if(result.common, [&](PromptPartId other) {
            return !isSuspect(other, broken);
        });
        result.add(broken, spacing, m_settings.requestCrashSpacing);
        if (broken.atFirstEvent) {
            result.clear.add(broken, spacing, m_settings.requestCrashSpacing);
        }
        result.crashTimes.emplace(broken.upstream, broken.at);
        ++result.attempts;
        result.lastBroken = broken.at;
        result.lastIsLocal = broken.local;
    }
    std::ranges::sort(result.common);
    result.common.erase(std::unique(result.common.begin(), result.common.end()), result.common.end());
    return result;
}

bool PromptQuarantine::isSufficient(const Suspicion &suspicion, TimePoint /*now*/) const
{
    if (suspicion.crashes < m_settings.minCrashes) {
        return false;
    }
    if (suspicion.isRequest()) {
        return suspicion.upstreams.size() >= m_settings.minCrashes;
    }
    return isClear(suspicion) || isUnclear(suspicion);
}

bool PromptQuarantine::isClear(const Suspicion &suspicion) const
{
    return suspicion.clear.crashes >= m_settings.minCrashes && suspicion.clear.requests.size() >= m_settings.minCalls
        && suspicion.clear.upstreams.size() >= m_settings.minUpstreams;
}

bool PromptQuarantine::isUnclear(const Suspicion &suspicion) const
{
    return suspicion.crashes >= m_settings.minUnclearCrashes && suspicion.requests.size() >= m_settings.minUnclearCalls
        && suspicion.upstreams.size() >= m_settings.minUnclearUpstreams;
}

bool PromptQuarantine::explainsMore(const PartSet &parts, const std::vector<const PartSet *> &explainedBy) const
{
    for (std::size_t index = 0; index < m_evidence.size(); ++index) {
        if (explainedBy[index] == nullptr && areSuspect(parts, m_evidence[index])) {
            return true;
        }
    }
    return false;
}

PromptQuarantine::PartSet
PromptQuarantine::narrowed(const PartSet &parts, const std::vector<const PartSet *> &explainedBy, bool clearOnly) const
{
    std::map<UpstreamRunKey, CrashedPrompts> crashes;
    std::set<UpstreamRunKey> clear;
    for (std::size_t index = 0; index < m_evidence.size(); ++index) {
        const Evidence &broken = m_evidence[index];
        if (!areSuspect(parts, broken) || (explainedBy[index] != nullptr && !holdsAll(*explainedBy[index], parts))) {
            continue;
        }
        PartSet prompt;
        std::ranges::copy_if(broken.parts, std::back_inserter(prompt), [&](PromptPartId part) {
            return part != ownPart(broken.request) && isSuspect(part, broken);
        });
        crashes[broken.upstream].push_back(std::move(prompt));
        if (broken.atFirstEvent) {
            clear.insert(broken.upstream);
        }
    }
    std::vector<CrashedPrompts> counted;
    for (auto &[upstream, prompts] : crashes) {
        if (!clearOnly || clear.contains(upstream)) {
            counted.push_back(std::move(prompts));
        }
    }
    return mostSpecificCause(parts, std::move(counted), [this](PromptPartId part) {
        return wasAnswered(part);
    });
}

PromptQuarantine::PartSet PromptQuarantine::causeOf(const Suspicion &suspicion,
                                                    const std::vector<const PartSet *> &explainedBy) const
{
    if (suspicion.isRequest()) {
        return suspicion.common;
    }
    if (isClear(suspicion)) {
        PartSet cause = narrowed(suspicion.common, explainedBy, true);
        if (explainsMore(cause, explainedBy)) {
            return cause;
        }
    }
    if (isUnclear(suspicion)) {
        PartSet cause = narrowed(suspicion.common, explainedBy, false);
        if (explainsMore(cause, explainedBy)) {
            return cause;
        }
    }
    return {};
}

std::vector<PromptQuarantine::Suspicion>
PromptQuarantine::worstSuspicions(const std::vector<const PartSet *> &explainedBy, TimePoint now) const
{
    struct Count
    {
        std::size_t all = 0;
        std::size_t unexplained = 0;
    };
    std::map<PromptPartId, Count> counts;
    for (std::size_t index = 0; index < m_evidence.size(); ++index) {
        for (const PromptPartId part : m_evidence[index].parts) {
            if (answeredSince(part, m_evidence[index].at)) {
                continue;
            }
            Count &count = counts[part];
            ++count.all;
            count.unexplained += explainedBy[index] == nullptr ? 1 : 0;
        }
    }
    std::vector<Suspicion> candidates;
    for (const auto &[part, count] : counts) {
        if (count.all >= m_settings.minCrashes && count.unexplained > 0) {
            Suspicion suspicion = suspicionOf(part, explainedBy);
            if (suspicion.isRequest()) {
                suspicion.keepUntil(now - m_settings.settleTime, m_settings.requestCrashSpacing);
            }
            if (suspicion.crashes >= m_settings.minCrashes) {
                candidates.push_back(std::move(suspicion));
            }
        }
    }
    // A request is not the cause as long as another one was at all the upstreams that crashed under it.
    const auto isEclipsed = [&](const Suspicion &suspicion) {
        return suspicion.isRequest() && suspicion.crashes < m_settings.decisiveCrashes
            && std::ranges::any_of(candidates, [&suspicion](const Suspicion &other) {
                   return other.isRequest() && other.part != suspicion.part
                       && std::ranges::includes(other.upstreams, suspicion.upstreams);
               });
    };
    // Of the parts that were at the same crashes, the prompts with the cause are the fewest.
    const auto rank = [this](const Suspicion &suspicion) {
        return std::tuple(isClear(suspicion),
                          !wasAnswered(suspicion.part),
                          suspicion.crashes,
                          -static_cast<std::int64_t>(suspicion.attempts));
    };
    std::vector<Suspicion> worst;
    for (Suspicion &suspicion : candidates) {
        if (!isSufficient(suspicion, now) || isEclipsed(suspicion)) {
            continue;
        }
        suspicion.common = causeOf(suspicion, explainedBy);
        if (suspicion.common.empty()) {
            continue;
        }
        const bool together = !worst.empty() && suspicion.isRequest() && worst.front().isRequest()
            && suspicion.upstreams == worst.front().upstreams;
        if (!together && !worst.empty() && rank(suspicion) <= rank(worst.front())) {
            continue;
        }
        if (!together) {
            worst.clear();
        }
        worst.push_back(suspicion);
    }
    return worst;
}

void PromptQuarantine::evaluateSoon(bool atFirstEvent, TimePoint now)
{
    if (atFirstEvent) {
        evaluate(now);
        return;
    }
    const TimePoint due = now + m_settings.evaluationDelay;
    m_nextEvaluation = m_nextEvaluation ? std::min(*m_nextEvaluation, due) : due;
}

void PromptQuarantine::evaluate(TimePoint now)
{
    const auto unsettled = std::ranges::upper_bound(m_evidence, now - m_settings.settleTime, {}, &Evidence::at);
    m_nextEvaluation =
        unsettled == m_evidence.end() ? std::nullopt : std::optional(unsettled->at + m_settings.settleTime);
    const std::map<PartSet, Quarantine> provisional = takeProvisional(now);
    explainCrashes(provisional, now);
    keepUnexplained(provisional);
}

std::map<PromptQuarantine::PartSet, PromptQuarantine::Quarantine> PromptQuarantine::takeProvisional(TimePoint now)
{
    std::map<PartSet, Quarantine> result;
    for (auto entry = m_quarantines.begin(); entry != m_quarantines.end();) {
        const PartSet &parts = entry->first;
        const Quarantine &quarantine = entry->second;
        const bool ofRequest = std::ranges::any_of(m_evidence, [&parts](const Evidence &broken) {
            return holdsAll(parts, {ownPart(broken.request)});
        });
        if (!ofRequest && isInForce(quarantine.lastBroken, now) && now - quarantine.since <= m_settings.reportTime) {
            result.insert(m_quarantines.extract(entry++));
        } else {
            ++entry;
        }
    }
    return result;
}

void PromptQuarantine::keepUnexplained(const std::map<PartSet, Quarantine> &previous)
{
    const std::vector<const PartSet *> explainedBy = explanations();
    for (const auto &[parts, quarantine] : previous) {
        if (m_quarantines.contains(parts)) {
            continue;
        }
        bool known = false;
        for (std::size_t index = 0; index < m_evidence.size(); ++index) {
            known = known || (explainedBy[index] != nullptr && areSuspect(parts, m_evidence[index]));
        }
        // Another entry may have quarantined them for crashes that this one does not know yet.
        if (!known || explainsMore(parts, explainedBy)) {
            m_quarantines.emplace(parts, quarantine);
        } else {
            m_listener->onEvent(
                "prompt_part_released",
                {{"part", "none"}, {"parts", toText(parts)}, {"reason", "other parts explain the crashes"}});
        }
    }
}

void PromptQuarantine::explainCrashes(const std::map<PartSet, Quarantine> &previous, TimePoint now)
{
    std::vector<const PartSet *> explainedBy = explanations();
    // One more crash prolongs a quarantine, and begins it again if it has ended.
    for (std::size_t index = 0; index < explainedBy.size(); ++index) {
        if (explainedBy[index] != nullptr) {
            quarantine(*explainedBy[index], m_evidence[index].at, {{"source", "relapse"}}, now);
        }
    }
    for (std::size_t round = 0; round < m_settings.maxQuarantined; ++round) {
        const std::vector<Suspicion> worst = worstSuspicions(explainedBy, now);
        if (worst.empty()) {
            return;
        }
        for (const Suspicion &suspicion : worst) {
            if (suspicion.isRequest() && suspicion.lastIsLocal) {
                m_testable.insert(suspicion.common);
            }
            // What is derived again is not new.
            if (const auto known = previous.find(suspicion.common); known != previous.end()) {
                m_quarantines.insert(*known);
            }
            quarantine(suspicion.common,
                       suspicion.lastBroken,
                       {{"source", "own"},
                        {"crashes", std::to_string(suspicion.crashes)},
                        {"calls", std::to_string(suspicion.requests.size())},
                        {"upstreams", std::to_string(suspicion.upstreams.size())}},
                       now);
        }
        explainedBy = explanations();
    }
}

void PromptQuarantine::quarantine(const PartSet &parts,
                                  TimePoint lastBroken,
                                  std::vector<LogField> details,
                                  TimePoint now)
{
    // A prompt with these parts has been the test of other parts, or of some of these.
    const bool tested = std::ranges::any_of(m_quarantines, [&](const auto &entry) {
        const bool related = holdsAll(entry.first, parts) || holdsAll(parts, entry.first);
        return related && (entry.second.tested || isConfirmed(entry.second));
    });
    const auto [place, added] = m_quarantines.try_emplace(parts, Quarantine {lastBroken, now, tested});
    const bool wasInForce = !added && isInForce(place->second.lastBroken, now);
    const TimePoint last = std::max(place->second.lastBroken, lastBroken);
    place->second.lastBroken = last;
    if (added) {
        dropOldest();
    }
    if (wasInForce || !isInForce(last, now)) {
        return;
    }
    m_pending.quarantined.push_back({parts, now - last});
    details.insert(details.begin(), {"parts", toText(parts)});
    m_listener->onEvent("prompt_part_quarantined", details);
}

void PromptQuarantine::dropOldest()
{
    if (m_quarantines.size() > m_settings.maxQuarantined) {
        m_quarantines.erase(std::ranges::min_element(m_quarantines, {}, [](const auto &entry) {
            return entry.second.lastBroken;
        }));
    }
}

void PromptQuarantine::apply(const QuarantineUpdate &update, TimePoint now)
{
    for (const SoundPart &report : update.sound) {
        markSound(report.part, now - report.age, now);
    }
    bool added = false;
    bool addedAtFirstEvent = false;
    for (const QuarantinedParts &report : update.quarantined) {
        const TimePoint lastBroken = now - report.age;
        PartSet parts = report.parts;
        std::erase_if(parts, [&](PromptPartId part) {
            return answeredSince(part, lastBroken);
        });
        if (parts.empty() || !isInForce(lastBroken, now)) {
            continue;
        }
        const auto [place, isNew] = m_quarantines.try_emplace(parts, Quarantine {lastBroken, now});
        // The evidence of this entry may explain the crashes by other parts.
        added = added || isNew;
        if (isNew || !isInForce(place->second.lastBroken, now)) {
            m_listener->onEvent("prompt_part_quarantined", {{"parts", toText(parts)}, {"source", "entry"}});
        }
        place->second.lastBroken = std::max(place->second.lastBroken, lastBroken);
        if (isNew) {
            dropOldest();
        }
    }
    for (const BrokenStart &broken : update.brokenStarts) {
        if (addEvidence(
                {broken.upstream, broken.request, broken.parts, now - broken.age, broken.atFirstEvent, false})) {
            added = true;
            addedAtFirstEvent = addedAtFirstEvent || broken.atFirstEvent;
        }
    }
    if (added) {
        evaluateSoon(addedAtFirstEvent, now);
    }
}

QuarantineUpdate PromptQuarantine::takeUpdate()
{
    return std::exchange(m_pending, QuarantineUpdate());
}

QuarantineUpdate PromptQuarantine::summary(TimePoint now)
{
    QuarantineUpdate result;
    std::set<PromptPartId> parts;
    for (auto broken = m_evidence.rbegin(); broken != m_evidence.rend(); ++broken) {
        if (now - broken->at > m_settings.reportTime || result.brokenStarts.size() >= m_settings.maxReported) {
            break;
        }
        result.brokenStarts.push_back(
            {broken->upstream, broken->request, broken->parts, now - broken->at, broken->atFirstEvent});
        for (const PromptPartId part : broken->parts) {
            if (answeredSince(part, broken->at) && parts.size() < m_settings.maxReported) {
                parts.insert(part);
            }
        }
    }
    for (const auto &[part, answered] : m_released) {
        if (m_sound.contains(part) && parts.size() < m_settings.maxReported) {
            parts.insert(part);
        }
    }
    for (const PromptPartId part : parts) {
        result.sound.push_back({part, now - m_sound.at(part)});
    }
    auto next = m_quarantines.upper_bound(m_lastReported);
    for (std::size_t seen = 0; seen < m_quarantines.size() && result.quarantined.size() < m_settings.maxReported;
         ++seen) {
        if (next == m_quarantines.end()) {
            next = m_quarantines.begin();
        }
        if (isInForce(next->second.lastBroken, now)) {
            result.quarantined.push_back({next->first, now - next->second.lastBroken});
        }
        m_lastReported = next->first;
        ++next;
    }
    return result;
}

void PromptQuarantine::expire(TimePoint now)
{
    if (m_nextEvaluation && now >= *m_nextEvaluation) {
        evaluate(now);
    }
    while (!m_evidence.empty() && now - m_evidence.front().at > m_settings.quarantineTime) {
        m_evidence.pop_front();
    }
    std::erase_if(m_released, [this, now](const auto &entry) {
        return now - entry.second > m_settings.reportTime;
    });
    std::erase_if(m_sound, [this, now](const auto &entry) {
        return now - entry.second > m_settings.quarantineTime;
    });
    std::erase_if(m_quarantines, [this, now](const auto &entry) {
        return now - entry.second.lastBroken > m_settings.quarantineTime + m_settings.relapseTime;
    });
    std::erase_if(m_testable, [this](const PartSet &parts) {
        return !m_quarantines.contains(parts);
    });
}

std::size_t PromptQuarantine::size(TimePoint now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_quarantines, [this, now](const auto &entry) {
        return isInForce(entry.second.lastBroken, now);
    }));
}

} // namespace ibismast
