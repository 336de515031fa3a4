#include "ibismast/entry/completionadmission.h"

namespace ibismast
{

CompletionAdmission::CompletionAdmission(EntryContext &context) : m_context(context) { }

std::optional<Error> CompletionAdmission::admit(const CompletionRequest &request, TimePoint now)
{
    if (m_context.shuttingDown) {
        return Error {ResultCode::ShuttingDown, "this instance is leaving", {}};
    }
    if (request.timeLeft <= Duration::zero()) {
        return Error {ResultCode::DeadlineNotFeasible, "no time is left", {}};
    }
    if (m_context.upstreams.liveCount(request.model) == 0) {
        return Error {ResultCode::NoUpstream, "no live upstream serves " + request.model.value(), {}};
    }
    const Tokens work = request.promptTokens + request.maxOutputTokens;
    if (!m_context.capacity.admit(request.model, request.customer, request.customerWeight, work, now)) {
        return Error {ResultCode::CustomerOverShare,
                      "upstreams were lost and the customer has used its share of the rest",
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
