#include "ibismast/relay/commoncause.h"
#include "ibismast/relay/promptquarantine.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace ibismast
{

// Evaluation of the evidence: which parts and requests explain the crashes.

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
    /// Attempts that count.
    std::size_t attempts = 0;
    TimePoint lastBroken;
    /// Time of the first broken start at each of the upstreams.
    std::map<UpstreamRunKey, TimePoint> crashTimes;
    /// True if this entry has sent the attempt that broke off last.
    bool lastIsLocal = false;
    /// Parts that all these prompts hold.
    PartSet common;
    /// Parts to quarantine.
    PartSet cause;
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
    return isClear(suspicion) || hasManyCrashes(suspicion);
}

bool PromptQuarantine::isClear(const Suspicion &suspicion) const
{
    return suspicion.clear.crashes >= m_settings.minCrashes && suspicion.clear.requests.size() >= m_settings.minCalls
        && suspicion.clear.upstreams.size() >= m_settings.minUpstreams;
}

bool PromptQuarantine::hasManyCrashes(const Suspicion &suspicion) const
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
    if (hasManyCrashes(suspicion)) {
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
        suspicion.cause = causeOf(suspicion, explainedBy);
        if (suspicion.cause.empty()) {
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
                m_testable.insert(suspicion.cause);
            }
            // What is derived again is not new.
            if (const auto known = previous.find(suspicion.cause); known != previous.end()) {
                m_quarantines.insert(*known);
            }
            quarantine(suspicion.cause,
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

} // namespace ibismast
