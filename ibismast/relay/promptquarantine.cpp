#include "ibismast/relay/promptquarantine.h"

#include <algorithm>
#include <utility>

namespace ibismast
{

namespace
{

std::vector<PromptPartId> withOwnPart(std::vector<PromptPartId> parts, RequestHash request)
{
    if (request != RequestHash()) {
        parts.push_back(ownPart(request));
    }
    return parts;
}

} // namespace

bool holdsAll(const std::vector<PromptPartId> &prompt, const std::vector<PromptPartId> &parts)
{
    return std::ranges::all_of(parts, [&prompt](PromptPartId part) {
        return std::ranges::find(prompt, part) != prompt.end();
    });
}

std::string toText(const std::vector<PromptPartId> &parts)
{
    std::string text;
    for (const PromptPartId part : parts) {
        text += (text.empty() ? "" : ",") + toString(part);
    }
    return text.empty() ? "none" : text;
}

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
