#include "adapters/relay/relayprocess.h"

#include "adapters/plumbing/processclock.h"

#include <algorithm>

namespace ibismast
{

namespace
{

/// Placements in one datagram, which stays below the usual packet size unless long prompts are among them.
constexpr std::size_t PlacementsPerDatagram = 8;

/// Reports on rate limits in a heartbeat within the own domain, and in one to another domain.
constexpr std::size_t LocalRateReports = 16;
constexpr std::size_t RemoteRateReports = 8;
constexpr std::size_t ColdReports = 20;

} // namespace

// What RelayProcess tells other entries and learns from them.

void RelayProcess::receiveNews(const EntryNews &news)
{
    if (news.sender.id == m_settings.core.self) {
        return;
    }
    const TimePoint now = processNow();
    const MemberView::MembershipChange membership = m_core.members().messageReceived(news.sender, now);
    if (membership != MemberView::MembershipChange::None) {
        m_listener->onEvent("entry_heard",
                            {{"entry", news.sender.id.value()},
                             {"address", news.sender.address},
                             {"restarted", membership == MemberView::MembershipChange::Restarted ? "true" : "false"}});
        m_core.dropEntry(news.sender.id, now);
        const bool local = news.sender.domain.empty() || news.sender.domain == m_settings.core.domain;
        if (local || !m_core.inCell()) {
            sendOwnWork(news.sender.address, now);
        }
        // The new entry learns of this one at once, and of some others.
        EntryNews answer = emptyNews();
        answer.heard = m_core.members().nextReportedAddresses();
        answer.quarantine = m_core.quarantineSummary(now);
        answer.knowledge.evacuations = m_core.evacuations().latest();
        m_peers.send(answer, {news.sender.address});
    }
    if (news.domainLoad) {
        m_core.noteDomainLoad(news.sender.domain, *news.domainLoad, now);
    }
    for (const std::string &address : news.heard) {
        if (parseUdpEndpoint(address) != m_settings.peers) {
            m_core.members().addressReported(address, now);
        }
    }
    EntryRecordStatus status = news.knowledge;
    status.domain = news.sender.domain;
    m_watch.noteEntry(news.sender.id, status, now);
    m_core.applyLoadUpdate(news.sender.id, news.load, now);
    m_core.applyQuarantineUpdate(news.quarantine, now);
    if (m_core.config() == nullptr || news.knowledge.configVersion > m_core.config()->version) {
        tick();
    }
}

void RelayProcess::sendNews()
{
    if (m_watch.takeEvacuationAnnouncementDue()) {
        EntryNews news = emptyNews();
        news.knowledge.evacuations = m_core.evacuations().latest();
        m_peers.send(news, m_core.members().addresses());
    }
    if (QuarantineUpdate quarantine = m_core.takeQuarantineUpdate(); !quarantine.empty()) {
        EntryNews news = emptyNews();
        news.quarantine = std::move(quarantine);
        m_peers.send(news, m_core.members().addresses());
    }
    std::vector<RateLimitReport> rateReports = m_core.takeFleetRateReports();
    std::vector<ColdUpstreamReport> coldReports = m_core.takeFleetColdReports();
    if (!rateReports.empty() || !coldReports.empty()) {
        EntryNews news = emptyNews();
        news.load.rateLimits = std::move(rateReports);
        news.load.coldUpstreams = std::move(coldReports);
        m_peers.send(news, m_core.members().addresses());
    }
    LoadUpdate load = m_core.takeLoadUpdate();
    if (load.empty()) {
        return;
    }
    EntryNews news = emptyNews();
    news.load = std::move(load);
    const MemberView &members = m_core.members();
    m_peers.send(news, m_core.inCell() ? members.localAddresses() : members.addresses());
    for (auto &[domain, update] : m_core.takeRemoteUpdates()) {
        news.load = std::move(update);
        m_peers.send(news, members.addressesIn(domain));
    }
}

EntryNews RelayProcess::emptyNews() const
{
    EntryNews news;
    news.sender = {m_settings.core.self,
                   m_incarnation,
                   m_settings.peers.address().to_string() + ":" + std::to_string(m_settings.peers.port()),
                   m_settings.core.domain};
    news.knowledge = m_watch.knowledge(processNow());
    // Heartbeats and announcements of changes carry them; other messages are more frequent than needed.
    news.knowledge.evacuations.reset();
    news.knowledge.copyAddress =
        m_settings.control.address().to_string() + ":" + std::to_string(m_settings.control.port());
    news.listRevision = m_watch.listRevision();
    return news;
}

void RelayProcess::sendOwnWork(const std::string &address, TimePoint now)
{
    const std::vector<Placement> placements = m_core.ownPlacements(now);
    for (std::size_t start = 0; start < placements.size(); start += PlacementsPerDatagram) {
        EntryNews news = emptyNews();
        const std::size_t end = std::min(start + PlacementsPerDatagram, placements.size());
        news.load.placed.assign(placements.begin() + static_cast<std::ptrdiff_t>(start),
                                placements.begin() + static_cast<std::ptrdiff_t>(end));
        m_peers.send(news, {address});
    }
}

void RelayProcess::greet(bool regular)
{
    MemberView &members = m_core.members();
    EntryNews news = emptyNews();
    news.heard = members.nextReportedAddresses();
    news.knowledge.evacuations = m_core.evacuations().latest();
    const TimePoint now = processNow();
    news.quarantine = m_core.quarantineSummary(now);
    news.load.rateLimits = m_core.nextRateReports(LocalRateReports, now);
    news.load.coldUpstreams = m_core.nextColdReports(ColdReports, now);
    news.load.customerWork = m_core.customerWork();
    std::vector<std::string> addresses = m_core.inCell() ? members.localAddresses() : members.addresses();
    if (regular) {
        std::ranges::move(members.unconfirmedAddresses(), std::back_inserter(addresses));
    }
    m_peers.send(news, addresses);
    if (regular && m_core.inCell()) {
        news.domainLoad = m_core.ownLoad();
        news.load.customerWork.clear();
        news.load.rateLimits = m_core.nextRateReports(RemoteRateReports, now);
        m_peers.send(news, members.nextRemoteAddresses());
    }
}

} // namespace ibismast
