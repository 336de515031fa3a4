#include "ibismast/entry/completion.h"

#include <algorithm>

namespace ibismast
{

AttemptTarget *UpstreamAttempt::find(const InstanceId &upstream)
{
    const auto target = std::ranges::find(targets, upstream, &AttemptTarget::upstream);
    return target == targets.end() ? nullptr : &*target;
}

bool Completion::provenNotRun() const
{
    return std::ranges::all_of(attempts, [](const UpstreamAttempt &attempt) {
        return std::ranges::all_of(attempt.targets, [](const AttemptTarget &target) {
            return target.state == TargetState::NotRun;
        });
    });
}

bool Completion::tried(const InstanceId &upstream) const
{
    return std::ranges::any_of(attempts, [&](const UpstreamAttempt &attempt) {
        return std::ranges::find(attempt.targets, upstream, &AttemptTarget::upstream) != attempt.targets.end();
    });
}

UpstreamAttempt *Completion::current(const AttemptId &attempt)
{
    return !attempts.empty() && attempts.back().id == attempt ? &attempts.back() : nullptr;
}

Tokens Completion::work() const
{
    return request.promptTokens + request.maxOutputTokens;
}

RefusalCache::Demand Completion::demand(TimePoint now) const
{
    return {request.customer, priorityClass, request.promptTokens, deadline - now};
}

DispatchRequest Completion::dispatch(const AttemptId &attempt, TimePoint now) const
{
    return DispatchRequest {.attempt = attempt,
                            .customer = request.customer,
                            .customerWeight = request.customerWeight,
                            .model = request.model,
                            .promptTokens = request.promptTokens,
                            .maxOutputTokens = request.maxOutputTokens,
                            .timeLeft = deadline - now,
                            .prefixHashes = request.prefixHashes,
                            .resumeFrom = assembler.tokenCount(),
                            .resumeText = assembler.text(),
                            .chat = request.chat,
                            .body = request.body,
                            .group = {}};
}

} // namespace ibismast
