#pragma once

#include "ibismast/core/units.h"
#include "load/loadsettings.h"

#include <vector>

namespace ibismast::load
{

/// One request of the open-loop load.
struct PlannedRequest
{
    std::uint64_t number = 0;
    /// Start from the beginning of the run; it does not depend on earlier answers.
    Duration start {};
    std::size_t customer = 0;
    /// True for a call of the plain service; the fields below are unused then, but for the deadline.
    bool service = false;
    /// True for a call under an idempotency key.
    bool keyed = false;
    Tokens promptTokens;
    /// Leading tokens that are the same for all requests of the customer.
    Tokens sharedTokens;
    Tokens maxOutputTokens;
    Duration deadline {};
};

/// Draws all requests of a run: Poisson arrivals, prompt lengths log-uniform within each class.
[[nodiscard]] std::vector<PlannedRequest> planRequests(const LoadSettings &settings);

/// Returns the prompt of @p request: text of 4 bytes for each token, different for each request behind the shared part.
[[nodiscard]] std::string promptText(const PlannedRequest &request, const LoadSettings &settings);

} // namespace ibismast::load
