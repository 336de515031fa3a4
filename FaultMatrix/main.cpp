#include "UnitTests/harness/faultmatrix.h"

#include <CLI/CLI.hpp>

#include <iostream>

using namespace ibismast;
using namespace ibismast::harness;

namespace
{

struct Totals
{
    int run = 0;
    int passed = 0;
    int skipped = 0;
};

/// Runs one cell and prints its violations with the command that replays it.
void runCell(const std::vector<Injection> &injections, std::uint64_t seed, Totals &totals)
{
    const CellResult result = runScenario(injections, seed);
    if (result.injected < injections.size() && result.violations.empty()) {
        ++totals.skipped;
        return;
    }
    ++totals.run;
    if (result.violations.empty()) {
        ++totals.passed;
        return;
    }
    std::cout << "FAILED: FaultMatrix --seed " << seed;
    for (const Injection &injection : injections) {
        std::cout << " --cell '" << toString(injection) << '\'';
    }
    std::cout << '\n';
    for (const Violation &violation : result.violations) {
        std::cout << "  " << violation.property << ": " << violation.text << '\n';
    }
}

std::vector<Injection> singleInjections(std::uint64_t seed)
{
    std::vector<Injection> injections;
    for (const auto &[label, count] : runScenario({}, seed).steps) {
        for (const int occurrence : std::set<int> {0, 1, count / 2, count - 1}) {
            for (std::size_t fault = 0; occurrence < count && fault < allFaults().size(); ++fault) {
                injections.push_back({label, occurrence, fault});
            }
        }
    }
    return injections;
}

/// Runs @p runs random sequences of one to five faults at random steps.
void randomWalks(std::uint64_t seed, int runs, std::size_t largestSequence, Totals &totals)
{
    SeededRandom random(seed);
    for (int run = 0; run < runs; ++run) {
        const std::uint64_t scenarioSeed = random.next() >> 32U;
        const auto candidates = singleInjections(scenarioSeed);
        const std::size_t length = 1 + random.below(largestSequence);
        std::vector<Injection> injections;
        for (std::size_t i = 0; i < length; ++i) {
            injections.push_back(candidates[random.below(candidates.size())]);
        }
        runCell(injections, scenarioSeed, totals);
    }
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app {"Injects faults at the steps of the request path and checks the invariants P1 to P7.\n"
                  "Examples:\n"
                  "  FaultMatrix                                   every fault at every step\n"
                  "  FaultMatrix --walks 500 --seed 7              random sequences of faults\n"
                  "  FaultMatrix --seed 20 --cell 'entry>agent DispatchRequest#0=agent-death'"};
    std::uint64_t seed = 20;
    int walks = 0;
    std::size_t length = 2;
    std::vector<std::string> cells;
    app.add_option("--seed", seed, "seed of the scenario or of the random walks");
    app.add_option("--walks", walks, "number of random walks instead of the matrix")->check(CLI::Range(0, 1'000'000));
    app.add_option("--length", length, "largest number of faults of a walk")->check(CLI::Range(1, 16));
    app.add_option("--cell", cells, "step#occurrence=fault to replay; several give one run");
    CLI11_PARSE(app, argc, argv);

    Totals totals;
    if (!cells.empty()) {
        std::vector<Injection> injections;
        for (const std::string &cell : cells) {
            const auto injection = parseInjection(cell);
            if (!injection) {
                std::cerr << "FaultMatrix: not a cell: " << cell << '\n';
                return 2;
            }
            injections.push_back(*injection);
        }
        std::cout << "endings: " << runScenario(injections, seed).endings << '\n';
        runCell(injections, seed, totals);
    } else if (walks > 0) {
        randomWalks(seed, walks, length, totals);
    } else {
        for (const Injection &injection : singleInjections(seed)) {
            runCell({injection}, seed, totals);
        }
    }
    std::cout << "cells run=" << totals.run << " passed=" << totals.passed << " skipped=" << totals.skipped
              << " (a step was not reached)\n";
    return totals.passed == totals.run ? 0 : 1;
}
