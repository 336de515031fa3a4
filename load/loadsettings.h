#pragma once

#include "ibismast/core/result.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ibismast::load
{

/// Customer on whose behalf requests are sent.
struct LoadCustomer
{
    std::string name;
    std::string apiKey;
    /// Share of the requests relative to the other customers.
    double weight = 1.0;
};

/// Settings of `ibismast-load`.
struct LoadSettings
{
    /// Entries as `ip:port`; a request whose connection breaks goes to the next one.
    std::vector<std::string> targets;
    std::vector<LoadCustomer> customers;
    std::string model = "model";
    std::uint64_t seed = 1;
    /// Time in which requests start.
    Duration duration = std::chrono::seconds(30);
    /// Requests per second outside the peak.
    double rate = 10.0;
    /// Start and length of the peak phase, from the start of the run, and its factor on the rate.
    Duration peakStart = std::chrono::seconds(10);
    Duration peakLength = std::chrono::seconds(10);
    double peakFactor = 2.0;
    /// Shortest and longest prompt, in tokens.
    std::int64_t minPrompt = 1'000;
    std::int64_t maxPrompt = 1'000'000;
    /// Fraction of prompts above 100,000 tokens.
    double hugeFraction = 0.02;
    /// Bounds of `max_tokens`.
    std::int64_t minOutput = 16;
    std::int64_t maxOutput = 128;
    /// Fraction of requests that begin with the customer's common document.
    double sharedPrefixFraction = 0.3;
    /// Deadline sent in `X-Deadline-Ms` of a short prompt, and additional time for each 1,000 prompt tokens.
    Duration deadline = std::chrono::seconds(10);
    Duration deadlinePerThousand = std::chrono::milliseconds(100);
    /// Time behind the deadline in which an answer still counts as in time; it covers the way back and the clock.
    Duration lateTolerance = std::chrono::milliseconds(250);
    /// Time behind the deadline after which an unanswered request counts as lost.
    Duration lostAfter = std::chrono::seconds(5);
    /// Plain service that gets `serviceFraction` of the requests as calls under operation ids; empty for none.
    std::string service;
    double serviceFraction = 0.0;
    /// Fraction of these calls that carry an idempotency key instead of an operation id.
    double keyFraction = 0.0;
};

/// Returns an error that names the first invalid field.
[[nodiscard]] Result<Success> validate(const LoadSettings &settings);

} // namespace ibismast::load
