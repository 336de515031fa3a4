#include "PerformanceTest/agentserving.h"
#include "PerformanceTest/baselineserving.h"
#include "PerformanceTest/figures.h"

#include <CLI/CLI.hpp>

#include <cstdio>

using namespace ibismast;

namespace
{

struct Options
{
    WorkloadSettings workload;
    std::uint64_t seed = 1;
    std::size_t runs = 5;
};

Figures measureBaseline(const Options &options)
{
    FigureCollector collector;
    for (std::size_t run = 0; run < options.runs; ++run) {
        const auto items = makeWorkload(options.workload, options.seed + run);
        BaselineServing serving(options.workload);
        collector.add(items, options.workload, runWorkload(serving, items, options.workload));
    }
    return collector.figures();
}

Figures measureAgent(const Options &options, const Ablation &ablation = {})
{
    FigureCollector collector;
    for (std::size_t run = 0; run < options.runs; ++run) {
        const auto items = makeWorkload(options.workload, options.seed + run);
        AgentServing serving(options.workload, ablation);
        collector.add(items, options.workload, runWorkload(serving, items, options.workload));
    }
    return collector.figures();
}

const char *verdict(bool met)
{
    return met ? "met" : "missed";
}

void printFirstToken(const Options &options)
{
    const Figures baseline = measureBaseline(options);
    const Figures agent = measureAgent(options);
    std::printf("short-prompt time to first token in the peak, seconds\n");
    std::printf("baseline p50=%.3f p95=%.3f unserved=%.3f\n",
                baseline.shortFirstTokenP50,
                baseline.shortFirstTokenP95,
                baseline.shortUnserved);
    std::printf("agent    p50=%.3f p95=%.3f unserved=%.3f\n",
                agent.shortFirstTokenP50,
                agent.shortFirstTokenP95,
                agent.shortUnserved);
    std::printf("target p95 <= 1.3: %s\n", verdict(agent.shortFirstTokenP95 <= 1.3));
    std::printf("target p95 <= baseline / 10: %s (ratio %.1f)\n",
                verdict(agent.shortFirstTokenP95 <= baseline.shortFirstTokenP95 / 10.0),
                baseline.shortFirstTokenP95 / agent.shortFirstTokenP95);
}

void printGoodput(const Options &options)
{
    const double baseline = measureBaseline(options).longGoodput;
    const double agent = measureAgent(options).longGoodput;
    std::printf("long-prompt goodput, part of the offered prompt tokens that ended in time\n");
    std::printf("baseline %.3f\nagent    %.3f\n", baseline, agent);
    std::printf("target >= 0.9 of the baseline: %s (%.3f)\n", verdict(agent >= 0.9 * baseline), agent / baseline);
}

void printFairness(const Options &options)
{
    const Figures baseline = measureBaseline(options);
    const Figures agent = measureAgent(options);
    std::printf("least served customer in the peak, engine work divided by its max-min fair share\n");
    std::printf("baseline average=%.3f worst=%.3f\n", baseline.averageWorstShare, baseline.worstShare);
    std::printf("agent    average=%.3f worst=%.3f\n", agent.averageWorstShare, agent.worstShare);
    std::printf("target >= 0.9 in every run: %s\n", verdict(agent.worstShare >= 0.9));
}

void printDeadlines(const Options &options)
{
    const Figures baseline = measureBaseline(options);
    const Figures agent = measureAgent(options);
    std::printf("requests: offered, admitted; of the admitted, past the deadline and failed before it\n");
    std::printf("baseline offered=%zu admitted=%zu late=%zu failed=%zu\n",
                baseline.offered,
                baseline.admitted,
                baseline.late,
                baseline.failed);
    std::printf("agent    offered=%zu admitted=%zu late=%zu failed=%zu\n",
                agent.offered,
                agent.admitted,
                agent.late,
                agent.failed);
    std::printf("target late = 0: %s\n", verdict(agent.late == 0));
}

void printRow(const char *name, const Figures &figures)
{
    std::printf("%-22s %9.3f %9.3f %9.3f %9.3f %9.3f %9.3f %6zu %6zu\n",
                name,
                figures.shortFirstTokenP50,
                figures.shortFirstTokenP95,
                figures.shortUnserved,
                figures.longGoodput,
                figures.averageWorstShare,
                figures.worstShare,
                figures.late,
                figures.failed);
}

void printAblation(const Options &options)
{
    std::printf("%-22s %9s %9s %9s %9s %9s %9s %6s %6s\n",
                "variant",
                "ttft_p50",
                "ttft_p95",
                "unserved",
                "goodput",
                "share_avg",
                "share_min",
                "late",
                "failed");
    printRow("baseline", measureBaseline(options));
    printRow("agent", measureAgent(options));
    printRow("classes off", measureAgent(options, {false, true, true, true}));
    printRow("ageing off", measureAgent(options, {true, false, true, true}));
    printRow("admission off", measureAgent(options, {true, true, false, true}));
    printRow("customer fairness off", measureAgent(options, {true, true, true, false}));
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Measurements of ibismast on the virtual clock: a peak of demand on a group of engine models");
    app.require_subcommand(1);
    Options options;
    app.add_option("--seed", options.seed, "Seed of the first run; each further run adds one")->capture_default_str();
    app.add_option("--runs", options.runs, "Number of runs")->capture_default_str();
    app.add_option("--upstreams", options.workload.upstreams, "Number of engines")->capture_default_str();
    app.add_option("--peak", options.workload.peakLoad, "Demand in the peak, in capacities")->capture_default_str();
    const auto add = [&](const char *name, const char *text, void (*print)(const Options &)) {
        app.add_subcommand(name, text)->fallthrough()->callback([&options, print] {
            print(options);
        });
    };
    add("ttft", "Time to first token of short prompts", printFirstToken);
    add("goodput", "Long prompts that end in time", printGoodput);
    add("fairness", "Least served customer", printFairness);
    add("deadlines", "Admitted requests that end after their deadline", printDeadlines);
    add("ablation", "Table of all figures with mechanisms turned off", printAblation);
    CLI11_PARSE(app, argc, argv);
    return 0;
}
