#include "ibismast/entry/completion.h"

#include <algorithm>

namespace ibismast
{

AttemptPlace *UpstreamAttempt::find(const InstanceId &upstream)
{
    const auto place = std::ranges::find(places, upstream, &AttemptPlace::upstream);
    return place == places.end() ? nullptr : &*place;
}

bool Completion::provenNotRun() const
{
    return std::ranges::all_of(attempts, [](const UpstreamAttempt &attempt) {
        return std::ranges::all_of(attempt.places, [](const AttemptPlace &place) {
            return place.state == PlaceState::NotRun;
        });
    });
}

bool Completion::tried(const InstanceId &upstream) const
{
    return std::ranges::any_of(attempts, [&](const UpstreamAttempt &attempt) {
        return std::ranges::find(attempt.places, upstream, &AttemptPlace::upstream) != attempt.places.end();
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

RefusalMemory::Demand Completion::demand(TimePoint now) const
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
