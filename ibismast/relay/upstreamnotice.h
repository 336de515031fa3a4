#pragma once

#include "ibismast/core/units.h"
#include "ibismast/relay/relayconfig.h"

#include <optional>

namespace ibismast
{

/// What a response says of the upstream that sent it, beside the call or order that it answers.
struct UpstreamNotice
{
    /// The upstream shuts down: it completes what it runs and must get nothing new.
    bool leaving = false;
    /// Rate of requests that the upstream takes from all entries together at present; empty if it names none.
    std::optional<RequestRate> rateLimit {};
    /// Time for which the upstream wants no requests from this entry; empty if it names none.
    std::optional<Duration> pause {};
    /// Time until the upstream is warm; empty if it names none.
    std::optional<Duration> cold {};

    bool operator==(const UpstreamNotice &) const = default;
};

} // namespace ibismast
