#include "ibismast/agent/peertable.h"

#include <algorithm>

namespace ibismast
{

PeerTable::PeerTable(Duration silenceTimeout, Duration disconnectGrace)
    : m_silenceTimeout(silenceTimeout), m_disconnectGrace(disconnectGrace)
{
}

PeerTable::Contact PeerTable::heard(const InstanceId &sender, Incarnation incarnation, TimePoint now)
{
    Incarnation &last = m_last[sender];
    if (incarnation < last) {
        return Contact::Stale;
    }
    last = incarnation;
    const auto [entry, added] = m_peers.try_emplace(sender);
    Peer &peer = entry->second;
    const bool restarted = !added && peer.incarnation != incarnation;
    if (restarted) {
        peer.summary.reset();
    }
    peer.incarnation = incarnation;
    peer.goneAt = now + m_silenceTimeout;
    if (added) {
        return Contact::New;
    }
    return restarted ? Contact::Restarted : Contact::Known;
}

void PeerTable::describe(const PeerSummary &summary)
{
    const auto found = m_peers.find(summary.instance);
    if (found != m_peers.end() && found->second.incarnation == summary.incarnation) {
        found->second.summary = summary;
    }
}

void PeerTable::disconnected(const InstanceId &peer, TimePoint now)
{
    if (const auto found = m_peers.find(peer); found != m_peers.end()) {
        found->second.goneAt = std::min(found->second.goneAt, now + m_disconnectGrace);
    }
}

std::vector<InstanceId> PeerTable::takeGone(TimePoint now)
{
    std::vector<InstanceId> gone;
    for (auto entry = m_peers.begin(); entry != m_peers.end();) {
        if (entry->second.goneAt <= now) {
            gone.push_back(entry->first);
            entry = m_peers.erase(entry);
        } else {
            ++entry;
        }
    }
    return gone;
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
