#include "PerformanceTest/workload.h"

#include "ibismast/core/seededrandom.h"

#include <array>
#include <cmath>

namespace ibismast
{

namespace
{

struct ClassMix
{
    double fraction;
    std::int64_t lowestPrompt;
    std::int64_t highestPrompt;
    std::int64_t lowestOutput;
    std::int64_t highestOutput;
    std::int64_t deadlineSeconds;
};

constexpr std::array Mix {
    ClassMix {0.70, 1'000, 4'000, 20, 120, 10},
    ClassMix {0.20, 4'001, 32'000, 50, 250, 30},
    ClassMix {0.08, 32'001, 100'000, 100, 400, 120},
    ClassMix {0.02, 100'001, 260'000, 100, 400, 300},
};

constexpr std::array CustomerFractions {0.26, 0.22, 0.20, 0.046, 0.046, 0.046, 0.046, 0.046, 0.045, 0.045};

double averageWork()
{
    double sum = 0.0;
    for (const ClassMix &mix : Mix) {
        const auto bounds = mix.lowestPrompt + mix.highestPrompt + mix.lowestOutput + mix.highestOutput;
        sum += mix.fraction * static_cast<double>(bounds) / 2.0;
    }
    return sum;
}

std::int64_t between(SeededRandom &random, std::int64_t low, std::int64_t high)
{
    return low + static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(high - low + 1)));
}

template<typename Array, typename Fraction>
std::size_t choose(SeededRandom &random, const Array &entries, Fraction fraction)
{
    double left = random.uniform();
    for (std::size_t index = 0; index + 1 < entries.size(); ++index) {
        left -= fraction(entries[index]);
        if (left < 0.0) {
            return index;
        }
    }
    return entries.size() - 1;
}

} // namespace

PriorityClass WorkItem::priorityClass() const
{
    return classifyPrompt(prompt);
}

std::int64_t WorkItem::work() const
{
    return (prompt + output).value();
}

bool WorkItem::inPeak(const WorkloadSettings &settings) const
{
    return arrival >= settings.peakStart && arrival < settings.peakEnd;
}

std::vector<WorkItem> makeWorkload(const WorkloadSettings &settings, std::uint64_t seed)
{
    SeededRandom random(seed);
    const double capacity = static_cast<double>(settings.upstreams) * settings.engineRate / averageWork();
    std::vector<WorkItem> items;
    TimePoint now {};
    while (true) {
        const bool peak = now >= settings.peakStart && now < settings.peakEnd;
        const double rate = capacity * (peak ? settings.peakLoad : settings.baseLoad);
        const Duration gap = fromSeconds(-std::log(1.0 - random.uniform()) / rate);
        // A gap that crosses a change of the rate starts again there, which keeps the process Poisson.
        TimePoint change = peak ? settings.peakEnd : settings.peakStart;
        if (now < change && now + gap >= change) {
            now = change;
            continue;
        }
        now += gap;
        if (now >= settings.arrivalsEnd) {
            return items;
        }
        const ClassMix &mix = Mix[choose(random, Mix, [](const ClassMix &entry) {
            return entry.fraction;
        })];
        WorkItem item;
        item.sequence = items.size();
        item.arrival = now;
        item.customer = CustomerId("customer-" + std::to_string(choose(random, CustomerFractions, [](double fraction) {
                                       return fraction;
                                   })));
        item.prompt = Tokens(between(random, mix.lowestPrompt, mix.highestPrompt));
        item.output = Tokens(between(random, mix.lowestOutput, mix.highestOutput));
        item.timeLeft = std::chrono::seconds(mix.deadlineSeconds);
        items.push_back(std::move(item));
    }
}

} // namespace ibismast
