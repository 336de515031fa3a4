#include "ibismast/entry/completionadmission.h"

namespace ibismast
{

CompletionAdmission::CompletionAdmission(EntryContext &context) : m_context(context) { }

std::optional<Error> CompletionAdmission::admit(const CompletionRequest &request, TimePoint now)
{
    if (m_context.shuttingDown) {
        return Error {ResultCode::ShuttingDown, "this entry instance is shutting down", {}};
    }
    if (request.timeLeft <= Duration::zero()) {
        return Error {ResultCode::DeadlineNotFeasible, "the request's deadline has already passed", {}};
    }
    if (m_context.upstreams.liveCount(request.model) == 0) {
        return Error {ResultCode::NoUpstream, "no live upstream serves " + request.model.value(), {}};
    }
    const Tokens work = request.promptTokens + request.maxOutputTokens;
    if (!m_context.capacity.admit(request.model, request.customer, request.customerWeight, work, now)) {
        return Error {ResultCode::CustomerOverShare,
                      "capacity is reduced after a loss of upstreams, and the customer has used its share of it",
                      std::chrono::seconds(1)};
    }
    m_context.retryBudget.noteRequest(now);
    return std::nullopt;
}

void CompletionAdmission::release(const CompletionRequest &request)
{
    m_context.capacity.release(request.model, request.customer, request.promptTokens + request.maxOutputTokens);
}

} // namespace ibismast
