#include "ibismast/agent/operationservice.h"

#include <algorithm>

namespace ibismast
{

OperationService::OperationService(const AgentContext &context)
    : m_context(context), m_table(context.self.instance, context.self.incarnation, context.settings.operations)
{
}

void OperationService::issue(const PeerFrame &frame, const IssueOperations &message, AgentActions &out)
{
    // An agent without services issues no ids, because they could never be used.
    const auto [first, count] = m_table.issue(m_context.settings.services.empty() ? 0 : message.count);
    sendTo(frame.sender, OperationsIssued {message.call, first, count}, out);
}

void OperationService::call(const PeerFrame &frame, const OperationCall &call, TimePoint now, AgentActions &out)
{
    if (std::ranges::find(m_context.settings.services, call.service) == m_context.settings.services.end()) {
        OperationResult result;
        result.operation = call.operation;
        result.request = call.request;
        result.outcome = OperationOutcome::NotRun;
        result.error = Error {ResultCode::UnknownService,
                              "The service " + call.service.value() + " is not served by this agent.",
                              std::nullopt};
        sendTo(frame.sender, std::move(result), out);
        return;
    }
    std::vector<OperationAnswer> answers;
    if (m_table.call(frame.sender, call, now, answers)) {
        m_context.log("operation_started", {{"operation", toString(call.operation)}});
        out.emplace_back(ServiceInvoke {
            call.operation, call.customer, call.method, call.path, call.contentType, call.body, call.timeLeft});
    }
    send(answers, out);
}

void OperationService::cancel(const PeerFrame &frame, const CancelOperation &message, TimePoint now, AgentActions &out)
{
    sendTo(frame.sender, m_table.cancel(message, now), out);
}

void OperationService::handle(const ServiceEvent &event, TimePoint now, AgentActions &out)
{
    std::vector<OperationAnswer> answers;
    std::visit(Overloaded {
                   [&](const ServiceReply &reply) {
                       m_table.completed(
                           reply.operation, reply.httpStatus, reply.contentType, reply.body, now, answers);
                   },
                   [&](const ServiceFailure &failure) {
                       m_context.log("operation_failed",
                                     {{"operation", toString(failure.operation)}, {"reason", failure.error.message}});
                       m_table.failed(failure.operation, failure.error, failure.mayHaveRun, now, answers);
                   },
               },
               event);
    send(answers, out);
}

void OperationService::tick(TimePoint now, AgentActions &out)
{
    std::vector<OperationAnswer> answers;
    m_table.tick(now, answers);
    send(answers, out);
}

void OperationService::setLeaving()
{
    m_table.setLeaving();
}

std::size_t OperationService::running() const
{
    return m_table.running();
}

void OperationService::send(std::vector<OperationAnswer> &answers, AgentActions &out)
{
    for (OperationAnswer &answer : answers) {
        sendTo(answer.entry, std::move(answer.result), out);
    }
}

} // namespace ibismast
