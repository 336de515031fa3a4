#pragma once

#include "ibismast/core/messages.h"

#include <map>

namespace ibismast
{

/// Peers from which the agent has received frames, with their incarnation, their last summary and the time at which
/// they are considered lost.
class PeerTable
{
public:
    /// Relation of a frame to what is known of its sender.
    enum class SenderStatus : std::uint8_t {
        /// First frame of this instance, or the first one since it was considered lost.
        New,
        /// Frame of the known incarnation.
        Known,
        /// The sender was restarted; the attempts of its previous incarnation no longer have an owner.
        Restarted,
        /// The frame was sent by an earlier incarnation of the sender and must not be processed.
        Stale,
    };

    /// @p silenceTimeout is the time without frames after which a peer is considered lost, @p disconnectGrace the same
    /// after its connection has ended.
    PeerTable(Duration silenceTimeout, Duration disconnectGrace);

    /// Records a frame of @p sender and restarts its timeout, unless the frame is stale.
    SenderStatus recordFrame(const InstanceId &sender, Incarnation incarnation, TimePoint now);
    /// Stores the summary that a known peer has sent of itself, unless it describes another incarnation.
    void updateSummary(const PeerSummary &summary);
    /// Shortens the timeout of @p peer after its connection has ended.
    void handleDisconnect(const InstanceId &peer, TimePoint now);
    /// Removes and returns the peers that are considered lost at @p now.
    [[nodiscard]] std::vector<InstanceId> takeExpired(TimePoint now);
    /// Known peers, ordered by id.
    [[nodiscard]] std::vector<InstanceId> peers() const;
    /// Summaries of at most @p limit peers other than @p except.
    [[nodiscard]] std::vector<PeerSummary> sample(const InstanceId &except, std::size_t limit) const;

private:
    struct Peer
    {
        Incarnation incarnation;
        /// Time at which the peer is considered lost.
        TimePoint expiresAt;
        std::optional<PeerSummary> summary;
    };

    Duration m_silenceTimeout;
    Duration m_disconnectGrace;
    std::map<InstanceId, Peer> m_peers;
    /// Highest incarnation of each peer; kept for lost peers, so that late frames are still recognised as stale.
    std::map<InstanceId, Incarnation> m_lastIncarnations;
};

} // namespace ibismast
