#pragma once

#include "ibismast/core/messages.h"

namespace ibismast
{

/// Settings of a demand swing on a group of upstreams.
struct WorkloadSettings
{
    std::size_t upstreams = 8;
    /// Tokens per second that one engine can compute.
    double engineRate = 33'600.0;
    /// Demand as a multiple of the capacity, before and after the peak, and during it.
    double baseLoad = 0.6;
    double peakLoad = 2.0;
    TimePoint peakStart {std::chrono::seconds(10)};
    TimePoint peakEnd {std::chrono::seconds(20)};
    TimePoint arrivalsEnd {std::chrono::seconds(60)};
};

/// One request of a workload.
struct WorkItem
{
    std::uint64_t sequence = 0;
    TimePoint arrival;
    CustomerId customer;
    Tokens prompt;
    Tokens output;
    Duration timeLeft {};

    [[nodiscard]] PriorityClass priorityClass() const;
    /// Prompt and output tokens.
    [[nodiscard]] std::int64_t work() const;
    [[nodiscard]] bool inPeak(const WorkloadSettings &settings) const;
};

/// Returns requests in order of arrival.
///
/// Seven prompts in ten are short, two medium, eight in a hundred long and one in 50 has more than 100,000 tokens. Ten
/// customers send the same mix; three of them cause two thirds of the demand.
[[nodiscard]] std::vector<WorkItem> makeWorkload(const WorkloadSettings &settings, std::uint64_t seed);

} // namespace ibismast
