#pragma once

#include "ibismast/agent/agentactions.h"

#include <cstdint>
#include <memory>

namespace ibismast
{

class EventListener;
struct AgentCoreSettings;

/// Decisions of the agent beside one upstream: admission, queueing, memory, streams, operations, fencing.
///
/// Deterministic: every call passes the time and appends the resulting actions to @p out.
class AgentCore
{
public:
    /// @p self describes this agent; @p seed starts its random source; @p listener may be null.
    AgentCore(const AgentCoreSettings &settings, PeerSummary self, std::uint64_t seed, EventListener *listener);
    ~AgentCore();
    AgentCore(const AgentCore &) = delete;
    AgentCore &operator=(const AgentCore &) = delete;

    /// Handles a message of a peer.
    void handlePeer(const PeerFrame &frame, TimePoint now, AgentActions &out);
    /// Handles an event of the engine beside this agent.
    void handleEngine(const EngineEvent &event, TimePoint now, AgentActions &out);
    /// Handles an event of the plain service beside this agent.
    void handleService(const ServiceEvent &event, TimePoint now, AgentActions &out);
    /// The connection to a peer ended; its attempts are cancelled after a grace period.
    void peerDisconnected(const InstanceId &peer, TimePoint now, AgentActions &out);
    /// Does what is due at @p now: expiries, ageing, heartbeats.
    void tick(TimePoint now, AgentActions &out);

    /// Stops taking new work and tells all peers.
    void beginShutdown(TimePoint now, AgentActions &out);
    /// Number of attempts, reservations and operations that have not ended.
    [[nodiscard]] std::size_t openWork() const;
    /// Tokens of KV memory that are reserved.
    [[nodiscard]] Tokens reservedMemory() const;
    /// Load as the next heartbeat will report it.
    [[nodiscard]] LoadReport loadReport(TimePoint now) const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace ibismast
