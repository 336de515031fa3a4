#pragma once

#include "ibismast/agent/agentcontext.h"
#include "ibismast/operations/operationtable.h"

namespace ibismast
{

/// Calls of the plain services beside the agent, under operation ids of this incarnation.
class OperationService
{
public:
    explicit OperationService(const AgentContext &context);

    void issue(const PeerFrame &frame, const IssueOperations &message, AgentActions &out);
    void call(const PeerFrame &frame, const OperationCall &call, TimePoint now, AgentActions &out);
    void cancel(const PeerFrame &frame, const CancelOperation &message, TimePoint now, AgentActions &out);
    void handle(const ServiceEvent &event, TimePoint now, AgentActions &out);
    void tick(TimePoint now, AgentActions &out);
    /// Refuses operations that have not started from now on.
    void setLeaving();
    /// Number of operations that run.
    [[nodiscard]] std::size_t running() const;

private:
    static void send(std::vector<OperationAnswer> &answers, AgentActions &out);

    const AgentContext &m_context;
    OperationTable m_table;
};

} // namespace ibismast
