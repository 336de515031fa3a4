#pragma once

#include "ibismast/agent/agentactions.h"

#include <cstdint>
#include <memory>

namespace ibismast
{

class EventListener;
struct AgentCoreSettings;

/// Decision logic of the agent of one upstream: admission, queueing, KV memory, token streams, operations of plain
/// services, and fencing of orders.
///
/// Performs no I/O and reads no clock: the caller passes the current time, and the resulting actions are appended to
/// `out`. The same sequence of calls always yields the same actions.
class AgentCore
{
public:
    /// @p self describes this agent; @p seed is not used; @p listener may be null.
    AgentCore(const AgentCoreSettings &settings, PeerSummary self, std::uint64_t seed, EventListener *listener);
    ~AgentCore();
    AgentCore(const AgentCore &) = delete;
    AgentCore &operator=(const AgentCore &) = delete;

    /// Handles a message from a peer.
    void handlePeer(const PeerFrame &frame, TimePoint now, AgentActions &out);
    /// Handles an event from the engine of this upstream.
    void handleEngine(const EngineEvent &event, TimePoint now, AgentActions &out);
    /// Handles an event from a plain service of this upstream.
    void handleService(const ServiceEvent &event, TimePoint now, AgentActions &out);
    /// Handles the loss of the connection to @p peer: its work is cancelled unless it sends a frame within
    /// `AgentCoreSettings::disconnectGrace`.
    void peerDisconnected(const InstanceId &peer, TimePoint now, AgentActions &out);
    /// Processes what is due at @p now: expired peers, deadlines, reservations and orders, queued attempts, priority
    /// changes and heartbeats.
    void tick(TimePoint now, AgentActions &out);

    /// Refuses new work from now on, announces this to all peers, and fails the attempts and reservations that are
    /// still waiting. Running attempts continue.
    void beginShutdown(TimePoint now, AgentActions &out);
    /// Number of attempts, group reservations and operations that have not ended.
    [[nodiscard]] std::size_t openWork() const;
    /// Reserved KV memory in tokens.
    [[nodiscard]] Tokens reservedMemory() const;
    /// Load report that a heartbeat sent at @p now contains.
    [[nodiscard]] LoadReport loadReport(TimePoint now) const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace ibismast
