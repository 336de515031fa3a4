#include "ibismast/relay/domainevacuations.h"

namespace ibismast
{

DomainEvacuations::DomainEvacuations(const DomainEvacuationsSettings &settings, EventListener &listener)
    : m_settings(settings), m_listener(&listener)
{
}

bool DomainEvacuations::apply(const EvacuatedDomains &evacuated, std::string_view source, TimePoint now)
{
    if (!m_settings.applyTime || (m_latest && evacuated.revision <= m_latest->revision)) {
        return false;
    }
    const bool restored = m_latest && evacuated.revision.era > m_latest->revision.era;
    m_latest = evacuated;
    bool changed = false;
    for (auto place = m_inForce.begin(); place != m_inForce.end();) {
        auto &[domain, evacuation] = *place;
        if (evacuated.domains.contains(domain)) {
            evacuation.keptUntil.reset();
        } else if (restored) {
            evacuation.keptUntil = now + m_settings.restoreSettleTime;
        } else if (!evacuation.keptUntil) {
            logReturn(domain, evacuation, source, now);
            place = m_inForce.erase(place);
            changed = true;
            continue;
        }
        ++place;
    }
    for (const FailureDomain &domain : evacuated.domains) {
        if (m_inForce.try_emplace(domain, Evacuation {now, std::nullopt}).second) {
            changed = true;
            m_listener->onEvent("domain_evacuated",
                                {{"domain", domain.value()},
                                 {"source", std::string(source)},
                                 {"revision", std::to_string(evacuated.revision.number)},
                                 {"era", std::to_string(evacuated.revision.era.value())}});
        }
    }
    return changed;
}

void DomainEvacuations::expire(TimePoint now)
{
    std::erase_if(m_inForce, [this, now](const auto &entry) {
        const bool ends = entry.second.keptUntil && now >= *entry.second.keptUntil;
        if (ends) {
            logReturn(entry.first, entry.second, "restored store", now);
        }
        return ends;
    });
}

std::optional<Duration> DomainEvacuations::ageOf(const FailureDomain &domain, TimePoint now) const
{
    const auto found = m_inForce.find(domain);
    return found == m_inForce.end() ? std::nullopt : std::optional(now - found->second.appliedAt);
}

void DomainEvacuations::logReturn(const FailureDomain &domain,
                                  const Evacuation &evacuation,
                                  std::string_view source,
                                  TimePoint now)
{
    m_listener->onEvent("domain_returned",
                        {{"domain", domain.value()},
                         {"source", std::string(source)},
                         {"revision", std::to_string(m_latest->revision.number)},
                         {"era", std::to_string(m_latest->revision.era.value())},
                         {"age_s", std::to_string(toSeconds(now - evacuation.appliedAt))}});
}

} // namespace ibismast
