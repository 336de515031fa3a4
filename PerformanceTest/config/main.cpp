#include "UnitTests/harness/configfleet.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cstdio>

using namespace ibismast;
using namespace ibismast::harness;
using namespace std::chrono_literals;

namespace
{

// Limits of the design page, sections 1.1 to 1.5.
constexpr double InForceLimit = 6.0;
constexpr double NodeBytesLimit = 15'000.0;
constexpr double StoreReadLimit = 2'000.0;
constexpr double StoreWriteLimit = 300.0;
constexpr double ChangesPerDay = 48'000.0;

struct Options
{
    std::vector<std::size_t> sizes {16, 64, 256, 1'024};
    std::vector<double> losses {0.0, 0.05};
    int changes = 20;
    int seconds = 60;
    std::uint64_t seed = 1;
    std::size_t fanOut = ConfigRelaySettings().fanOut;
};

struct Figures
{
    std::vector<double> inForce;
    int missed = 0;
    double readsPerSecond = 0.0;
    double writesPerSecond = 0.0;
    double meanNodeBytes = 0.0;
    double mostNodeBytes = 0.0;
    bool neverWentBack = true;
};

Figures measure(std::size_t nodes, double loss, const Options &options)
{
    ConfigFleetSettings settings;
    settings.nodes = nodes;
    settings.domains = std::min<std::size_t>(16, nodes / 2);
    settings.loss = loss;
    settings.seed = options.seed;
    settings.relay.fanOut = options.fanOut;
    ConfigFleet fleet(settings);
    Figures figures;
    if (!fleet.runUntilInForce(Revision(0), 30s)) {
        std::fprintf(stderr, "fleet of %zu nodes: not all were ready after 30 s\n", nodes);
    }
    // Time of single changes, from the call of the operator to the last replica.
    std::int64_t revision = 0;
    for (int change = 0; change < options.changes; ++change) {
        fleet.submit(static_cast<std::size_t>(change) % nodes,
                     drainChange("single-" + std::to_string(change), "host-" + std::to_string(change)));
        revision += 1;
        const auto took = fleet.runUntilInForce(Revision(revision), 30s);
        figures.missed += took ? 0 : 1;
        figures.inForce.push_back(took ? toSeconds(*took) : 30.0);
        fleet.run(Duration(317'000));
    }
    std::ranges::sort(figures.inForce);
    // Load at the rate of changes of the design scale.
    for (std::size_t index = 0; index < nodes; ++index) {
        fleet.node(index).bytesSent = 0;
    }
    const auto reads = fleet.store().reads();
    const auto writes = fleet.store().writes();
    const auto gap = fromSeconds(86'400.0 / ChangesPerDay);
    const TimePoint begin = fleet.now();
    for (int change = 0; fleet.now() < begin + std::chrono::seconds(options.seconds); ++change) {
        fleet.submit(static_cast<std::size_t>(change * 7) % nodes,
                     drainChange("load-" + std::to_string(change),
                                 "host-" + std::to_string(change % 50),
                                 "reason " + std::to_string(change)));
        fleet.run(gap);
    }
    const double elapsed = toSeconds(fleet.now() - begin);
    figures.readsPerSecond = static_cast<double>(fleet.store().reads() - reads) / elapsed;
    figures.writesPerSecond = static_cast<double>(fleet.store().writes() - writes) / elapsed;
    for (std::size_t index = 0; index < nodes; ++index) {
        const double bytes = static_cast<double>(fleet.node(index).bytesSent) / elapsed;
        figures.meanNodeBytes += bytes / static_cast<double>(nodes);
        figures.mostNodeBytes = std::max(figures.mostNodeBytes, bytes);
    }
    figures.neverWentBack = fleet.neverWentBack();
    return figures;
}

const char *verdict(bool met)
{
    return met ? "met" : "missed";
}

} // namespace

// Measures how a configuration change spreads over fleets of replicas in virtual time.
int main(int argc, char **argv)
{
    CLI::App app("Measures the spread of configuration changes in virtual time.");
    Options options;
    app.add_option("--sizes", options.sizes, "numbers of replicas")->check(CLI::Range(4, 10'000));
    app.add_option("--losses", options.losses, "shares of lost messages")->check(CLI::Range(0.0, 0.9));
    app.add_option("--changes", options.changes, "timed single changes")->check(CLI::Range(1, 10'000));
    app.add_option("--seconds", options.seconds, "virtual seconds at 48,000 changes a day")
        ->check(CLI::Range(1, 86'400));
    app.add_option("--seed", options.seed, "seed of the random source");
    app.add_option("--fan-out", options.fanOut, "peers that a new revision is pushed to")->check(CLI::Range(1, 64));
    CLI11_PARSE(app, argc, argv);

    std::printf("%6s %6s %9s %9s %9s %8s %8s %10s %10s\n",
                "nodes",
                "loss",
                "p50_s",
                "p95_s",
                "max_s",
                "reads/s",
                "writes/s",
                "node_B/s",
                "max_B/s");
    bool allMet = true;
    for (const double loss : options.losses) {
        for (const std::size_t nodes : options.sizes) {
            const Figures figures = measure(nodes, loss, options);
            const auto &times = figures.inForce;
            std::printf("%6zu %6.2f %9.3f %9.3f %9.3f %8.1f %8.1f %10.0f %10.0f\n",
                        nodes,
                        loss,
                        times[times.size() / 2],
                        times[times.size() * 95 / 100],
                        times.back(),
                        figures.readsPerSecond,
                        figures.writesPerSecond,
                        figures.meanNodeBytes,
                        figures.mostNodeBytes);
            std::fflush(stdout);
            allMet = allMet && figures.missed == 0 && times.back() <= InForceLimit && figures.neverWentBack
                && figures.mostNodeBytes <= NodeBytesLimit && figures.readsPerSecond <= StoreReadLimit
                && figures.writesPerSecond <= StoreWriteLimit;
        }
    }
    std::printf("limits (in force %.0f s, %.0f B/s per node, store %.0f reads/s and %.0f writes/s, no step back): %s\n",
                InForceLimit,
                NodeBytesLimit,
                StoreReadLimit,
                StoreWriteLimit,
                verdict(allMet));
    return allMet ? 0 : 1;
}
