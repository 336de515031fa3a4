#pragma once

#include "UnitTests/harness/fleet.h"
#include "UnitTests/harness/invariantchecker.h"

namespace ibismast::harness
{

/// Fault that can be injected at a step.
struct Fault
{
    std::string name;
    /// Injects the fault at @p step and returns the fate of the step's message.
    std::function<Fate(Fleet &fleet, const Step &step)> inject;
};

/// Returns all faults of the matrix.
[[nodiscard]] const std::vector<Fault> &allFaults();

/// Place of an injection: the n-th occurrence of a step in the scenario.
struct Injection
{
    std::string label;
    int occurrence = 0;
    /// Index in `allFaults`.
    std::size_t fault = 0;
};

/// Result of one run of the scenario.
struct CellResult
{
    std::vector<Violation> violations;
    /// Occurrences of each step label.
    std::map<std::string, int> steps;
    std::size_t injected = 0;
    /// Endings of the callers with their counts, for example `answer=9 connection-lost=1`.
    std::string endings;
};

/// Runs the mixed scenario (short, long and group prompts, service calls by key and by operation id, a caller that
/// leaves, a drain of an agent) with @p injections and checks the invariants.
[[nodiscard]] CellResult runScenario(const std::vector<Injection> &injections, std::uint64_t seed);

/// Writes an injection as `label#occurrence=fault`, the form that `--cell` of the matrix takes.
[[nodiscard]] std::string toString(const Injection &injection);
/// Parses the form of `toString`.
[[nodiscard]] std::optional<Injection> parseInjection(const std::string &text);

} // namespace ibismast::harness
