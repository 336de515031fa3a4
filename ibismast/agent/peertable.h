#pragma once

#include "ibismast/core/messages.h"

#include <map>

namespace ibismast
{

/// Entries that an agent serves, by heartbeats and incarnations.
class PeerTable
{
public:
    /// What a frame says about its sender.
    enum class Contact : std::uint8_t {
        /// First frame of this instance.
        New,
        Known,
        /// The sender was restarted: attempts of its previous incarnation have lost their owner.
        Restarted,
        /// The frame is of an earlier run of the sender and must not be obeyed.
        Stale,
    };

    /// @p silenceTimeout is the time without frames after which a peer counts as gone, @p disconnectGrace the time
    /// after the end of its connection.
    PeerTable(Duration silenceTimeout, Duration disconnectGrace);

    /// Notes a frame of @p sender.
    Contact heard(const InstanceId &sender, Incarnation incarnation, TimePoint now);
    /// Notes what a peer said of itself.
    void describe(const PeerSummary &summary);
    /// Notes the end of a connection.
    void disconnected(const InstanceId &peer, TimePoint now);
    /// Removes and returns the peers that are gone at @p now.
    [[nodiscard]] std::vector<InstanceId> takeGone(TimePoint now);
    /// Known peers in the order of their ids.
    [[nodiscard]] std::vector<InstanceId> peers() const;
    /// Descriptions of at most @p limit peers other than @p except.
    [[nodiscard]] std::vector<PeerSummary> sample(const InstanceId &except, std::size_t limit) const;

private:
    struct Peer
    {
        Incarnation incarnation;
        TimePoint goneAt;
        std::optional<PeerSummary> summary;
    };

    Duration m_silenceTimeout;
    Duration m_disconnectGrace;
    std::map<InstanceId, Peer> m_peers;
    /// Incarnations of peers that are gone, so that their late frames stay stale.
    std::map<InstanceId, Incarnation> m_last;
};

} // namespace ibismast
