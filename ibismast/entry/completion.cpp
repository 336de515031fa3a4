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

} // namespace ibismast
