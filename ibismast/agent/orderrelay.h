#pragma once

#include "ibismast/agent/agentcontext.h"
#include "ibismast/leases/fencingguard.h"

#include <map>

namespace ibismast
{

/// Relays orders with fencing tokens to the engine and returns the results to their issuers.
///
/// Checks the sender and the fencing token before relaying, because some engines check neither.
class OrderRelay
{
public:
    explicit OrderRelay(const AgentContext &context);

    /// Relays @p order to the engine, or refuses it.
    void handle(const PeerFrame &frame, const UpstreamOrder &order, TimePoint now, AgentActions &out);
    /// Passes the engine's result on to the issuer of the order.
    void handleResult(const EngineOrderResult &result, AgentActions &out);
    /// Reports all pending orders as `ResultCode::OutcomeUnknown` after the engine became unreachable.
    void handleEngineDown(AgentActions &out);
    /// Reports orders that the engine has not answered in time as `ResultCode::OutcomeUnknown`.
    void tick(TimePoint now, AgentActions &out);

private:
    struct PendingOrder
    {
        InstanceId issuer;
        /// Call number that the issuer gave the order.
        std::uint64_t call = 0;
        TimePoint deadline;
    };

    /// Returns the reason for which @p order must be refused, if there is one. Records the token of a valid order.
    [[nodiscard]] std::optional<Error> rejectionReason(const PeerFrame &frame, const UpstreamOrder &order);
    static void answerUnknown(const PendingOrder &pending, AgentActions &out);

    const AgentContext &m_context;
    FencingGuard m_guard;
    /// Orders that the engine has not answered, by call numbers that the agent assigns, because the call numbers of
    /// different issuers can be equal.
    std::map<std::uint64_t, PendingOrder> m_pending;
    /// Call number of the last relayed order.
    std::uint64_t m_lastCall = 0;
};

} // namespace ibismast
