#pragma once

#include "load/requestplan.h"

#include <string>
#include <vector>

namespace ibismast::load
{

/// How a request ended.
enum class Verdict : std::uint8_t {
    /// The whole answer, and only it, arrived in time.
    Answered,
    /// The caller was told of a failure in time; `Outcome::code` holds its number.
    Failed,
    /// The answer or the failure arrived behind the deadline.
    Late,
    /// Neither an answer nor a failure arrived.
    Lost,
    /// The answer belongs to another request or is incomplete.
    Wrong,
    /// A part of the answer arrived twice, or a call of a plain service ran twice.
    Duplicate,
};

[[nodiscard]] std::string_view toString(Verdict verdict);

/// Record of one request.
struct Outcome
{
    PlannedRequest request;
    Verdict verdict = Verdict::Lost;
    /// Result code of a failure.
    int code = 0;
    int httpStatus = 0;
    /// Time from the planned start to the first token and to the end; negative if they did not happen.
    Duration firstToken {-1};
    Duration end {-1};
    /// Times between successive parts of the answer, divided by the tokens of the later one.
    std::vector<Duration> gaps;
    std::uint64_t tokens = 0;
    /// Connections that broke before the answer ended, each followed by another try.
    int brokenConnections = 0;
    /// Refusals by entries that were not ready or shutting down, each followed by another try.
    int failovers = 0;
    /// True if a prompt above 32,000 tokens was open when the request started.
    bool besideLong = false;
    /// Entry of the last try.
    std::size_t target = 0;
};

} // namespace ibismast::load
