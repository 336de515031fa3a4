#pragma once

#include "ibismast/core/ids.h"
#include "ibismast/core/units.h"
#include "ibismast/relay/domainevacuations.h"

#include <map>
#include <optional>

namespace ibismast
{

/// Load of the engines of one failure domain, as its entries see it.
struct DomainLoad
{
    /// Open streams divided by the engines' slots.
    double slotUse = 0.0;
    /// Mean time that an engine needs for the prefill that has been placed on it.
    Duration backlog {};

    bool operator==(const DomainLoad &) const = default;
};

/// Settings of a `CellView`.
struct CellViewSettings
{
    /// Minimum number of live entries, this one included, and of engines in the own failure domain for the domain to
    /// form a cell. In smaller fleets the messages cost less than what the callers lose if engines are not shared.
    std::size_t minEntries = 40;
    std::size_t minEngines = 20;
    /// A load report of another domain counts for this long. Each of its entries sends one every few seconds.
    Duration reportLifetime = std::chrono::seconds(2);
    /// Work leaves the cell only for a domain whose backlog is smaller by this much, and whose slots are less used by
    /// this much: the report is older than the knowledge of the own domain, and traffic between domains is expensive.
    Duration minBacklogGain = std::chrono::milliseconds(150);
    double minSlotGain = 0.15;
};

/// Divides a large fleet into cells of one failure domain each.
///
/// The entries of a cell tell each other of every placement and place work on the engines of their cell, so the number
/// of messages grows with the cells' size and not with the square of the fleet's. Of other domains an entry knows only
/// a summary of the load.
class CellView
{
public:
    CellView(const CellViewSettings &settings, FailureDomain self);

    /// True if the own domain is a cell in a fleet of @p entries entries, of which @p engines engines are in the
    /// domain.
    [[nodiscard]] bool isCell(std::size_t entries, std::size_t engines) const;
    /// Records a load report that an entry of @p domain has sent; ignored for the own domain.
    void noteLoad(const FailureDomain &domain, const DomainLoad &load, TimePoint now);
    /// Returns the domain with the smallest backlog among those that are not evacuated and clearly less loaded than
    /// @p own; empty if there is none.
    [[nodiscard]] std::optional<FailureDomain>
    lessLoadedDomain(const DomainLoad &own, const DomainEvacuations &evacuations, TimePoint now) const;

private:
    struct Report
    {
        DomainLoad load;
        TimePoint received;
    };

    CellViewSettings m_settings;
    FailureDomain m_self;
    std::map<FailureDomain, Report> m_reports;
};

} // namespace ibismast
