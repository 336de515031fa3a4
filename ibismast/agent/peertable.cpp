#include "ibismast/agent/peertable.h"

#include <algorithm>

namespace ibismast
{

PeerTable::PeerTable(Duration silenceTimeout, Duration disconnectGrace)
    : m_silenceTimeout(silenceTimeout), m_disconnectGrace(disconnectGrace)
{
}

PeerTable::SenderStatus PeerTable::recordFrame(const InstanceId &sender, Incarnation incarnation, TimePoint now)
{
    Incarnation &last = m_lastIncarnations[sender];
    if (incarnation < last) {
        return SenderStatus::Stale;
    }
    last = incarnation;
    const auto [entry, added] = m_peers.try_emplace(sender);
    Peer &peer = entry->second;
    const bool restarted = !added && peer.incarnation != incarnation;
    if (restarted) {
        peer.summary.reset();
    }
    peer.incarnation = incarnation;
    peer.expiresAt = now + m_silenceTimeout;
    if (added) {
        return SenderStatus::New;
    }
    return restarted ? SenderStatus::Restarted : SenderStatus::Known;
}

void PeerTable::updateSummary(const PeerSummary &summary)
{
    const auto found = m_peers.find(summary.instance);
    if (found != m_peers.end() && found->second.incarnation == summary.incarnation) {
        found->second.summary = summary;
    }
}

void PeerTable::handleDisconnect(const InstanceId &peer, TimePoint now)
{
    if (const auto found = m_peers.find(peer); found != m_peers.end()) {
        found->second.expiresAt = std::min(found->second.expiresAt, now + m_disconnectGrace);
    }
}

std::vector<InstanceId> PeerTable::takeExpired(TimePoint now)
{
    std::vector<InstanceId> expired;
    for (auto entry = m_peers.begin(); entry != m_peers.end();) {
        if (entry->second.expiresAt <= now) {
            expired.push_back(entry->first);
            entry = m_peers.erase(entry);
        } else {
            ++entry;
        }
    }
    return expired;
}

std::vector<InstanceId> PeerTable::peers() const
{
    std::vector<InstanceId> ids;
    for (const auto &entry : m_peers) {
        ids.push_back(entry.first);
    }
    return ids;
}

std::vector<PeerSummary> PeerTable::sample(const InstanceId &except, std::size_t limit) const
{
    std::vector<PeerSummary> summaries;
    for (const auto &[id, peer] : m_peers) {
        if (summaries.size() < limit && id != except && peer.summary) {
            summaries.push_back(*peer.summary);
        }
    }
    return summaries;
}

} // namespace ibismast
