#pragma once

#include "ibismast/core/eventlistener.h"
#include "ibismast/core/ids.h"
#include "ibismast/core/units.h"
#include "ibismast/relay/recordrevision.h"

#include <map>
#include <optional>
#include <set>

namespace ibismast
{

/// Failure domains that the operators have evacuated, as of one revision of the store.
struct EvacuatedDomains
{
    std::set<FailureDomain> domains;
    RecordRevision revision;

    bool operator==(const EvacuatedDomains &) const = default;
};

/// Settings of `DomainEvacuations`.
struct DomainEvacuationsSettings
{
    /// Time within which an evacuation, or its end, must be in force at each entry; empty if the operators evacuate no
    /// failure domains.
    std::optional<Duration> applyTime;
    /// Time after a restore of the store within which the operators repeat the evacuations that its older copy lacks.
    Duration restoreSettleTime = std::chrono::seconds(10);
};

/// Failure domains whose upstreams may get no requests since the operators have evacuated them.
class DomainEvacuations
{
public:
    DomainEvacuations(const DomainEvacuationsSettings &settings, EventListener &listener);

    /// Time within which an evacuation must be in force; empty if evacuations are not used.
    [[nodiscard]] std::optional<Duration> applyTime() const
    {
        return m_settings.applyTime;
    }
    /// True if calls can be served: the evacuated domains are known, or evacuations are not used.
    [[nodiscard]] bool ready() const
    {
        return m_latest.has_value() || !m_settings.applyTime;
    }
    /// Applies what @p source says of the evacuated domains; ignored unless it is of a later revision than the latest
    /// one. Returns true if domains were evacuated or returned.
    bool apply(const EvacuatedDomains &evacuated, std::string_view source, TimePoint now);
    /// Ends evacuations that were in force before a restore of the store and have not been repeated.
    void expire(TimePoint now);

    [[nodiscard]] bool contains(const FailureDomain &domain) const
    {
        return m_inForce.contains(domain);
    }
    /// Returns the time since an evacuation was applied; empty if @p domain is not evacuated.
    [[nodiscard]] std::optional<Duration> ageOf(const FailureDomain &domain, TimePoint now) const;
    /// Number of evacuated domains.
    [[nodiscard]] std::size_t size() const
    {
        return m_inForce.size();
    }
    /// Evacuated domains as of the latest known revision of the store; empty if none is known.
    [[nodiscard]] const std::optional<EvacuatedDomains> &latest() const
    {
        return m_latest;
    }

private:
    struct Evacuation
    {
        TimePoint appliedAt;
        /// Set while the restored store lacks the evacuation: it ends at this time unless it is repeated.
        std::optional<TimePoint> keptUntil;
    };

    void logReturn(const FailureDomain &domain, const Evacuation &evacuation, std::string_view source, TimePoint now);

    DomainEvacuationsSettings m_settings;
    EventListener *m_listener;
    std::optional<EvacuatedDomains> m_latest;
    std::map<FailureDomain, Evacuation> m_inForce;
};

} // namespace ibismast
