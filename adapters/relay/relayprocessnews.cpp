#include "adapters/relay/relayprocess.h"

#include "adapters/plumbing/processclock.h"

namespace ibismast
{

namespace
{

/// Placements in one datagram, which stays below the usual packet size unless long prompts are among them.
constexpr std::size_t PlacementsPerDatagram = 8;

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
        sendOwnWork(news.sender.address, now);
    }
    for (const std::string &address : news.heard) {
        if (parseUdpEndpoint(address) != m_settings.peers) {
            m_core.members().addressReported(address, now);
        }
    }
    m_watch.noteEntry(news.sender.id, news.knowledge, now);
    m_core.applyLoadUpdate(news.sender.id, news.load, now);
    if (m_core.config() == nullptr || news.knowledge.configVersion > m_core.config()->version) {
        tick();
    }
}

void RelayProcess::sendNews()
{
    LoadUpdate load = m_core.takeLoadUpdate();
    if (load.empty()) {
        return;
    }
    EntryNews news = emptyNews();
    news.load = std::move(load);
    m_peers.send(news, m_core.members().addresses());
}

EntryNews RelayProcess::emptyNews() const
{
    EntryNews news;
    news.sender = {m_settings.core.self,
                   m_incarnation,
                   m_settings.peers.address().to_string() + ":" + std::to_string(m_settings.peers.port())};
    news.knowledge = m_watch.knowledge(processNow());
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

void RelayProcess::greet()
{
    EntryNews news = emptyNews();
    news.heard = m_core.members().addresses();
    std::vector<std::string> addresses = news.heard;
    for (std::string &address : m_core.members().unconfirmedAddresses()) {
        addresses.push_back(std::move(address));
    }
    m_peers.send(news, addresses);
}

} // namespace ibismast
