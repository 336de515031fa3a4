#include "ibismast/relay/cellview.h"

#include <utility>

namespace ibismast
{

CellView::CellView(const CellViewSettings &settings, FailureDomain self) : m_settings(settings), m_self(std::move(self))
{
}

bool CellView::isCell(std::size_t entries, std::size_t engines) const
{
    return entries >= m_settings.minEntries && engines >= m_settings.minEngines;
}

void CellView::noteLoad(const FailureDomain &domain, const DomainLoad &load, TimePoint now)
{
    if (domain != m_self && !domain.empty()) {
        m_reports[domain] = {load, now};
    }
}

std::optional<FailureDomain>
CellView::lessLoadedDomain(const DomainLoad &own, const DomainEvacuations &evacuations, TimePoint now) const
{
    std::optional<FailureDomain> best;
    Duration bestBacklog = Duration::max();
    for (const auto &[domain, report] : m_reports) {
        if (now - report.received > m_settings.reportLifetime || evacuations.contains(domain)) {
            continue;
        }
        const bool fewerStreams = report.load.slotUse + m_settings.minSlotGain <= own.slotUse;
        const bool lessBacklog = report.load.backlog + m_settings.minBacklogGain <= own.backlog;
        const bool noMoreBacklog = report.load.backlog <= own.backlog;
        const bool noMoreStreams = report.load.slotUse <= own.slotUse;
        const bool lessLoaded = (fewerStreams && noMoreBacklog) || (lessBacklog && noMoreStreams);
        if (lessLoaded && report.load.backlog < bestBacklog) {
            best = domain;
            bestBacklog = report.load.backlog;
        }
    }
    return best;
}

} // namespace ibismast
