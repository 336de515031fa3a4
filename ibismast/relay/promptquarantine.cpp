#include "ibismast/relay/promptquarantine.h"

#include "ibismast/core/stablehash.h"

#include <algorithm>
#include <set>
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

} // namespace

std::string toText(const std::vector<PromptPartId> &parts)
{
    std::string text;
    for (const PromptPartId part : parts) {
        text += (text.empty() ? "" : ",") + toString(part);
    }
    return text.empty() ? "none" : text;
}

/// What speaks against a part.
struct PromptQuarantine::Suspicion
{
    std::size_t crashes = 0;
    std::size_t calls = 0;
    std::size_t upstreams = 0;
    /// Largest position of the part in a prompt.
    std::size_t depth = 0;
    TimePoint lastBroken;
    /// Parts that all these prompts hold.
    PartSet common;
};

PromptQuarantine::PromptQuarantine(const PromptQuarantineSettings &settings, EventListener &listener)
    : m_settings(settings), m_listener(&listener)
{
}

void PromptQuarantine::noteBrokenStart(const InstanceId &upstream,
                                       std::uint64_t call,
                                       const std::vector<PromptPartId> &parts,
                                       TimePoint now)
{
    if (parts.empty()) {
        return;
    }
    Evidence evidence {stableHash(upstream.value()), call, parts, now};
    if (parts.size() > m_settings.maxParts) {
        evidence.parts.assign(parts.end() - static_cast<std::ptrdiff_t>(m_settings.maxParts), parts.end());
    }
    BrokenStart report {evidence.upstream, evidence.call, evidence.parts, {}};
    if (addEvidence(std::move(evidence))) {
        m_pending.brokenStarts.push_back(std::move(report));
        evaluate(now);
    }
}

void PromptQuarantine::noteSound(const std::vector<PromptPartId> &parts, TimePoint now)
{
    for (const PromptPartId part : parts) {
        const bool suspected = std::ranges::any_of(m_quarantines, [&](const auto &entry) {
            return isInForce(entry.second, now) && holdsAll(entry.first, {part});
        });
        markSound(part, now, now);
        if (suspected) {
            m_pending.sound.push_back({part, {}});
        }
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
    std::vector<std::pair<PartSet, TimePoint>> narrowed;
    std::erase_if(m_quarantines, [&](const auto &entry) {
        const auto &[parts, lastBroken] = entry;
        if (lastBroken >= at || !holdsAll(parts, {part})) {
            return false;
        }
        if (isInForce(lastBroken, now)) {
            m_listener->onEvent("prompt_part_released", {{"part", toString(part)}, {"parts", toText(parts)}});
        }
        // The other parts remain as the cause.
        PartSet rest = parts;
        std::erase(rest, part);
        if (!rest.empty()) {
            narrowed.emplace_back(std::move(rest), lastBroken);
        }
        return true;
    });
    for (auto &[parts, lastBroken] : narrowed) {
        TimePoint &stored = m_quarantines.try_emplace(std::move(parts), lastBroken).first->second;
        stored = std::max(stored, lastBroken);
    }
}

bool PromptQuarantine::answeredSince(PromptPartId part, TimePoint at) const
{
    const auto sound = m_sound.find(part);
    return sound != m_sound.end() && sound->second >= at;
}

bool PromptQuarantine::isInForce(TimePoint lastBroken, TimePoint now) const
{
    return now < lastBroken + m_settings.quarantineTime;
}

std::optional<PromptQuarantine::Hit> PromptQuarantine::find(const std::vector<PromptPartId> &parts, TimePoint now) const
{
    for (const auto &[quarantined, lastBroken] : m_quarantines) {
        if (isInForce(lastBroken, now) && holdsAll(parts, quarantined)) {
            return Hit {quarantined, lastBroken + m_settings.quarantineTime - now};
        }
    }
    return std::nullopt;
}

bool PromptQuarantine::addEvidence(Evidence evidence)
{
    const bool known = std::ranges::any_of(m_evidence, [&](const Evidence &other) {
        const Duration apart = other.at < evidence.at ? evidence.at - other.at : other.at - evidence.at;
        return other.upstream == evidence.upstream && other.call == evidence.call && apart < m_settings.reportTime;
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

std::vector<const PromptQuarantine::PartSet *> PromptQuarantine::explanations() const
{
    std::vector<const PartSet *> result;
    for (const Evidence &evidence : m_evidence) {
        const auto found = std::ranges::find_if(m_quarantines, [&](const auto &entry) {
            return std::ranges::all_of(entry.first, [&](PromptPartId part) {
                return isSuspect(part, evidence);
            });
        });
        result.push_back(found == m_quarantines.end() ? nullptr : &found->first);
    }
    return result;
}

PromptQuarantine::Suspicion PromptQuarantine::suspicionOf(PromptPartId part,
                                                          const std::vector<const PartSet *> &explainedBy) const
{
    Suspicion result;
    std::set<std::uint64_t> calls;
    std::set<std::uint64_t> upstreams;
    TimePoint lastCrash = TimePoint::min();
    for (std::size_t index = 0; index < m_evidence.size(); ++index) {
        const Evidence &broken = m_evidence[index];
        const PartSet *explanation = explainedBy[index];
        if (!isSuspect(part, broken) || (explanation != nullptr && !holdsAll(*explanation, {part}))) {
            continue;
        }
        if (calls.empty()) {
            result.common = broken.parts;
        }
        std::erase_if(result.common, [&](PromptPartId other) {
            return !isSuspect(other, broken);
        });
        if (calls.empty() || broken.at - lastCrash >= m_settings.crashSpacing) {
            lastCrash = broken.at;
            ++result.crashes;
        }
        calls.insert(broken.call);
        upstreams.insert(broken.upstream);
        const auto place = std::ranges::find(broken.parts, part) - broken.parts.begin();
        result.depth = std::max(result.depth, static_cast<std::size_t>(place));
        result.lastBroken = broken.at;
    }
    result.calls = calls.size();
    result.upstreams = upstreams.size();
    std::ranges::sort(result.common);
    result.common.erase(std::unique(result.common.begin(), result.common.end()), result.common.end());
    return result;
}

bool PromptQuarantine::isSufficient(const Suspicion &suspicion) const
{
    return suspicion.crashes >= m_settings.minCrashes && suspicion.calls >= m_settings.minCalls
        && suspicion.upstreams >= m_settings.minUpstreams;
}

void PromptQuarantine::evaluate(TimePoint now)
{
    std::vector<const PartSet *> explainedBy = explanations();
    // One more crash prolongs a quarantine, and begins it again if it has ended.
    for (std::size_t index = 0; index < explainedBy.size(); ++index) {
        if (explainedBy[index] != nullptr) {
            quarantine(*explainedBy[index], m_evidence[index].at, {{"source", "relapse"}}, now);
        }
    }
    while (m_quarantines.size() < m_settings.maxQuarantined) {
        std::set<PromptPartId> candidates;
        for (std::size_t index = 0; index < explainedBy.size(); ++index) {
            if (explainedBy[index] == nullptr) {
                candidates.insert(m_evidence[index].parts.begin(), m_evidence[index].parts.end());
            }
        }
        Suspicion worst;
        for (const PromptPartId part : candidates) {
            Suspicion suspicion = suspicionOf(part, explainedBy);
            if (isSufficient(suspicion)
                && std::pair(suspicion.crashes, suspicion.depth) > std::pair(worst.crashes, worst.depth)) {
                worst = std::move(suspicion);
            }
        }
        if (worst.crashes == 0) {
            return;
        }
        quarantine(worst.common,
                   worst.lastBroken,
                   {{"source", "own"},
                    {"crashes", std::to_string(worst.crashes)},
                    {"calls", std::to_string(worst.calls)},
                    {"upstreams", std::to_string(worst.upstreams)}},
                   now);
        explainedBy = explanations();
    }
}

void PromptQuarantine::quarantine(const PartSet &parts,
                                  TimePoint lastBroken,
                                  std::vector<LogField> details,
                                  TimePoint now)
{
    const auto [place, added] = m_quarantines.try_emplace(parts, lastBroken);
    const bool wasInForce = !added && isInForce(place->second, now);
    place->second = std::max(place->second, lastBroken);
    if (wasInForce || !isInForce(place->second, now)) {
        return;
    }
    m_pending.quarantined.push_back({parts, now - place->second});
    details.insert(details.begin(), {"parts", toText(parts)});
    m_listener->onEvent("prompt_part_quarantined", details);
}

void PromptQuarantine::apply(const QuarantineUpdate &update, TimePoint now)
{
    for (const SoundPart &report : update.sound) {
        markSound(report.part, now - report.age, now);
    }
    for (const QuarantinedParts &report : update.quarantined) {
        const TimePoint lastBroken = now - report.age;
        PartSet parts = report.parts;
        std::erase_if(parts, [&](PromptPartId part) {
            return answeredSince(part, lastBroken);
        });
        if (parts.empty() || !isInForce(lastBroken, now)
            || (!m_quarantines.contains(parts) && m_quarantines.size() >= m_settings.maxQuarantined)) {
            continue;
        }
        const auto [place, added] = m_quarantines.try_emplace(parts, lastBroken);
        if (added || !isInForce(place->second, now)) {
            m_listener->onEvent("prompt_part_quarantined", {{"parts", toText(parts)}, {"source", "entry"}});
        }
        place->second = std::max(place->second, lastBroken);
    }
    bool added = false;
    for (const BrokenStart &broken : update.brokenStarts) {
        added = addEvidence({broken.upstream, broken.call, broken.parts, now - broken.age}) || added;
    }
    if (added) {
        evaluate(now);
    }
}

QuarantineUpdate PromptQuarantine::takeUpdate()
{
    return std::exchange(m_pending, QuarantineUpdate());
}

QuarantineUpdate PromptQuarantine::summary(TimePoint now) const
{
    QuarantineUpdate result;
    std::set<PromptPartId> parts;
    for (auto broken = m_evidence.rbegin(); broken != m_evidence.rend(); ++broken) {
        if (now - broken->at > m_settings.reportTime || result.brokenStarts.size() >= m_settings.maxReported) {
            break;
        }
        result.brokenStarts.push_back({broken->upstream, broken->call, broken->parts, now - broken->at});
        for (const PromptPartId part : broken->parts) {
            if (answeredSince(part, broken->at) && parts.size() < m_settings.maxReported) {
                parts.insert(part);
            }
        }
    }
    for (const PromptPartId part : parts) {
        result.sound.push_back({part, now - m_sound.at(part)});
    }
    for (const auto &[quarantined, lastBroken] : m_quarantines) {
        if (isInForce(lastBroken, now) && result.quarantined.size() < m_settings.maxReported) {
            result.quarantined.push_back({quarantined, now - lastBroken});
        }
    }
    return result;
}

void PromptQuarantine::expire(TimePoint now)
{
    while (!m_evidence.empty() && now - m_evidence.front().at > m_settings.quarantineTime) {
        m_evidence.pop_front();
    }
    std::erase_if(m_sound, [this, now](const auto &entry) {
        return now - entry.second > m_settings.quarantineTime;
    });
    std::erase_if(m_quarantines, [this, now](const auto &entry) {
        return now - entry.second > m_settings.quarantineTime + m_settings.relapseTime;
    });
}

std::size_t PromptQuarantine::size(TimePoint now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_quarantines, [this, now](const auto &entry) {
        return isInForce(entry.second, now);
    }));
}

} // namespace ibismast
