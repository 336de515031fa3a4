#pragma once

#include "ibismast/agent/agentcontext.h"
#include "ibismast/leases/fencingguard.h"

#include <map>

namespace ibismast
{

/// Relays fenced orders to the engine. Checks sender and token itself, since some engines check neither.
class OrderRelay
{
public:
    explicit OrderRelay(const AgentContext &context);

    void handle(const PeerFrame &frame, const UpstreamOrder &order, TimePoint now, AgentActions &out);
    void handleResult(const EngineOrderResult &result, AgentActions &out);
    /// Answers all pending orders as unknown after the engine was lost.
    void engineLost(AgentActions &out);
    /// Answers orders as unknown that the engine has not answered in time.
    void tick(TimePoint now, AgentActions &out);

private:
    struct Pending
    {
        InstanceId issuer;
        std::uint64_t call = 0;
        TimePoint deadline;
    };

    [[nodiscard]] std::optional<Error> objection(const PeerFrame &frame, const UpstreamOrder &order);
    static void answerUnknown(const Pending &pending, AgentActions &out);

    const AgentContext &m_context;
    FencingGuard m_guard;
    /// Orders at the engine, by the call number that the agent gave them: numbers of different issuers can be equal.
    std::map<std::uint64_t, Pending> m_pending;
    std::uint64_t m_calls = 0;
};

} // namespace ibismast
