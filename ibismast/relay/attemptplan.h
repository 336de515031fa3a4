#pragma once

#include "ibismast/relay/engineplanner.h"

#include <string>
#include <vector>

namespace ibismast
{

/// Additional engine that prefills a part of the prompt of one attempt, and may hold its KV cache.
struct AttemptHelper
{
    UpstreamRecord upstream;
    /// KV memory to reserve on the engine before the call is sent; 0 for none.
    Tokens reserved;
    /// Id of the memory reservation; empty if there is none.
    std::string reservationId;
};

/// Upstream and helper engines chosen for one attempt, with the predicted times.
struct AttemptPlan
{
    UpstreamRecord upstream;
    std::vector<AttemptHelper> helpers;
    /// Predicted time to the first event; zero if there is no prediction.
    Duration timeToFirstEvent {};
    /// Predicted prefill time on each of the engines, which get equal parts of the prompt.
    Duration prefillTime {};
    /// Time by which sending is delayed, so that the engines first finish prefills that are ahead of this one.
    Duration delay {};
};

} // namespace ibismast
