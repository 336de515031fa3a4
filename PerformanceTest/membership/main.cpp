#include "PerformanceTest/membership/membershipmeasurement.h"
#include "ibismast/membership/accrualdetector.h"
#include "ibismast/membership/timeoutdetector.h"

#include <CLI/CLI.hpp>

#include <cstdio>

using namespace ibismast;

namespace
{

struct NamedConditions
{
    const char *name;
    double loss;
    double pausesPerHour;
};

void print(const char *conditions, const char *detector, double parameter, const MembershipFigures &figures)
{
    std::printf("%-22s %-9s %9.2f %14.3f %10.3f %10.3f\n",
                conditions,
                detector,
                parameter,
                figures.falseSuspicionsPerHour,
                figures.detectionMean,
                figures.detectionP99);
}

} // namespace

// Compares the failure detectors: false suspicions per hour and sender against the time to detect a crash.
int main(int argc, char **argv)
{
    CLI::App app("Compares the fixed timeout with the phi accrual detector in virtual time.");
    MembershipConditions conditions;
    double hours = 1.0;
    app.add_option("--senders", conditions.senders, "observed senders")->check(CLI::Range(1, 10'000));
    app.add_option("--hours", hours, "observed hours per sender")->check(CLI::Range(0.01, 1'000.0));
    app.add_option("--crashes", conditions.crashes, "measured crashes")->check(CLI::Range(1, 100'000));
    app.add_option("--seed", conditions.seed, "seed of the random source");
    CLI11_PARSE(app, argc, argv);
    conditions.observed = fromSeconds(hours * 3'600.0);

    std::printf(
        "%-22s %-9s %9s %14s %10s %10s\n", "conditions", "detector", "parameter", "false_per_hour", "mean_s", "p99_s");
    for (const auto &[name, loss, pauses] : {NamedConditions {"calm", 0.0, 0.0},
                                             NamedConditions {"loss 5 %", 0.05, 0.0},
                                             NamedConditions {"60 pauses/h", 0.0, 60.0},
                                             NamedConditions {"loss 5 %, 60 pauses/h", 0.05, 60.0}}) {
        conditions.loss = loss;
        conditions.pausesPerHour = pauses;
        for (const int milliseconds : {500, 750, 1'000, 1'500, 2'000, 3'000}) {
            const TimeoutDetectorSettings settings {std::chrono::milliseconds(milliseconds)};
            print(name, "timeout", milliseconds / 1'000.0, measureDetector(conditions, [settings] {
                      return std::make_unique<TimeoutDetector>(settings);
                  }));
        }
        for (const double threshold : {2.0, 4.0, 8.0, 12.0, 16.0}) {
            AccrualDetectorSettings settings;
            settings.threshold = threshold;
            print(name, "accrual", threshold, measureDetector(conditions, [settings] {
                      return std::make_unique<AccrualDetector>(settings);
                  }));
        }
    }
    return 0;
}
