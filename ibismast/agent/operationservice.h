#pragma once

#include "ibismast/agent/agentcontext.h"
#include "ibismast/operations/operationtable.h"

namespace ibismast
{

/// Executes operations on the plain services of this upstream, under operation ids that this incarnation of the agent
/// has issued.
class OperationService
{
public:
    explicit OperationService(const AgentContext &context);

    /// Replies with a block of new operation ids.
    void issue(const PeerFrame &frame, const IssueOperations &message, AgentActions &out);
    /// Invokes the service, unless the operation is already running, has ended or is refused.
    void call(const PeerFrame &frame, const OperationCall &call, TimePoint now, AgentActions &out);
    void cancel(const PeerFrame &frame, const CancelOperation &message, TimePoint now, AgentActions &out);
    /// Completes the operation that a service has answered or failed.
    void handle(const ServiceEvent &event, TimePoint now, AgentActions &out);
    /// Sends the results of operations that are due at @p now.
    void tick(TimePoint now, AgentActions &out);
    /// Refuses all new operations from now on.
    void setLeaving();
    /// Number of running operations.
    [[nodiscard]] std::size_t running() const;

private:
    static void send(std::vector<OperationAnswer> &answers, AgentActions &out);

    const AgentContext &m_context;
    OperationTable m_table;
};

} // namespace ibismast
