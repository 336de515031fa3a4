#include "UnitTests/harness/faultmatrix.h"

#include <algorithm>

namespace ibismast::harness
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration RequestTime = seconds(12);
constexpr Duration Downtime = seconds(3);
constexpr Duration StoreOutage = seconds(5);
constexpr Duration ListLag = seconds(4);
/// Longer than all deadlines, expiries and grace periods of the scenario.
constexpr Duration ScenarioTime = seconds(60);

/// A step towards the store or a caller names no agent; the fault then hits this one.
InstanceId agentOf(const Fleet &fleet, const Step &step)
{
    return step.agent.empty() ? fleet.agentId(0) : step.agent;
}

InstanceId entryOf(const Fleet &fleet, const Step &step)
{
    return step.entry.empty() ? fleet.entryId(0) : step.entry;
}

/// Faults that end a process are carried out behind the current call, since a process cannot end inside itself.
Fate later(Fleet &fleet, std::function<void()> action)
{
    fleet.at(fleet.now(), std::move(action));
    return {};
}

FleetSettings scenarioSettings(std::uint64_t seed)
{
    FleetSettings settings;
    settings.seed = seed;
    settings.engine.memoryCapacity = Tokens(40'000);
    settings.engine.cacheCapacity = Tokens(10'000);
    settings.engine.tokensPerStep = 4'096;
    settings.engine.stepTime = milliseconds(10);
    settings.engine.timePerToken = Duration(2);
    return settings;
}

void scheduleLoad(Fleet &fleet)
{
    const auto start = TimePoint(seconds(3));
    const CustomerId small("small");
    const CustomerId large("large");
    fleet.at(start, [&fleet, small, large] {
        fleet.submit(0, small, Tokens(1'000), Tokens(20), RequestTime);
        fleet.submit(1, large, Tokens(30'000), Tokens(30), RequestTime);
        fleet.submit(0, large, Tokens(70'000), Tokens(10), RequestTime);
        fleet.callService(0, "by-key", "key-1", RequestTime);
        fleet.callWithOperationId(1, "by-operation", RequestTime);
    });
    // The caller with a key tries again through the other entry before the first answer can be there.
    fleet.at(start + milliseconds(4), [&fleet] {
        fleet.callService(1, "by-key", "key-1", RequestTime);
    });
    fleet.at(start + milliseconds(50), [&fleet, small] {
        const std::size_t index = fleet.submit(1, small, Tokens(20'000), Tokens(200), RequestTime);
        fleet.at(fleet.now() + milliseconds(120), [&fleet, index] {
            fleet.leave(index);
        });
    });
    fleet.at(start + milliseconds(400), [&fleet] {
        fleet.drainAgent(fleet.agentId(1), ListLag);
        fleet.submit(0, CustomerId("small"), Tokens(3'000), Tokens(20), RequestTime);
    });
    fleet.at(start + seconds(3), [&fleet] {
        fleet.submit(1, CustomerId("small"), Tokens(2'000), Tokens(20), RequestTime);
        fleet.callService(1, "late-key", "key-2", RequestTime);
    });
}

std::string endingName(const CallerRecord &caller)
{
    switch (caller.ending) {
    case Ending::Open:
        return "open";
    case Ending::Answer:
    case Ending::ServiceReply:
        return "answer";
    case Ending::Failure:
        return std::string(resultCodeInfo(caller.error.code).name);
    case Ending::ConnectionLost:
        return "connection-lost";
    }
    return "unknown";
}

std::vector<Fault> makeFaults()
{
    return {
        {"engine-death",
         [](Fleet &fleet, const Step &step) {
             return later(fleet, [&fleet, agent = agentOf(fleet, step)] {
                 fleet.killEngine(agent, Downtime);
             });
         }},
        {"engine-stall",
         [](Fleet &fleet, const Step &step) {
             fleet.stallEngine(agentOf(fleet, step), Downtime);
             return Fate {};
         }},
        {"agent-death",
         [](Fleet &fleet, const Step &step) {
             return later(fleet, [&fleet, agent = agentOf(fleet, step)] {
                 fleet.killAgent(agent, Downtime);
             });
         }},
        {"agent-freeze",
         [](Fleet &fleet, const Step &step) {
             fleet.freeze(agentOf(fleet, step), Downtime);
             return Fate {};
         }},
        {"entry-death",
         [](Fleet &fleet, const Step &step) {
             return later(fleet, [&fleet, entry = entryOf(fleet, step)] {
                 fleet.killEntry(entry, Downtime);
             });
         }},
        {"store-down",
         [](Fleet &fleet, const Step &) {
             fleet.store().setDown(true);
             fleet.at(fleet.now() + StoreOutage, [&fleet] {
                 fleet.store().setDown(false);
             });
             return Fate {};
         }},
        {"store-slow",
         [](Fleet &fleet, const Step &) {
             fleet.store().setSlowness(seconds(5));
             fleet.at(fleet.now() + StoreOutage, [&fleet] {
                 fleet.store().setSlowness(Duration {});
             });
             return Fate {};
         }},
        {"store-answer-lost",
         [](Fleet &fleet, const Step &) {
             fleet.store().loseAnswersAfterEffect(1);
             return Fate {};
         }},
        {"store-late-effect",
         [](Fleet &fleet, const Step &) {
             fleet.store().delayNextEffect(seconds(2));
             return Fate {};
         }},
        {"message-lost",
         [](Fleet &, const Step &) {
             return Fate {.deliver = false};
         }},
        {"message-duplicated",
         [](Fleet &, const Step &) {
             return Fate {.copies = 1};
         }},
        {"message-delayed",
         [](Fleet &, const Step &) {
             return Fate {.delay = milliseconds(1'500)};
         }},
        {"message-crossed",
         [](Fleet &, const Step &) {
             return Fate {.crossed = true};
         }},
        {"link-cut",
         [](Fleet &fleet, const Step &step) {
             return later(fleet, [&fleet, entry = entryOf(fleet, step), agent = agentOf(fleet, step)] {
                 fleet.cutLink(entry, agent, milliseconds(500));
             });
         }},
        {"partition",
         [](Fleet &fleet, const Step &step) {
             return later(fleet, [&fleet, entry = entryOf(fleet, step)] {
                 fleet.partitionEntry(entry, Downtime);
             });
         }},
        {"joint-loss",
         [](Fleet &fleet, const Step &) {
             return later(fleet, [&fleet] {
                 for (const int agent : {0, 2}) {
                     fleet.killEngine(fleet.agentId(agent), Downtime);
                     fleet.killAgent(fleet.agentId(agent), Downtime);
                 }
             });
         }},
    };
}

} // namespace

const std::vector<Fault> &allFaults()
{
    static const std::vector<Fault> faults = makeFaults();
    return faults;
}

CellResult runScenario(const std::vector<Injection> &injections, std::uint64_t seed)
{
    Fleet fleet(scenarioSettings(seed));
    CellResult result;
    fleet.setStepHook([&](const Step &step) {
        const int occurrence = result.steps[step.label]++;
        Fate fate;
        for (const Injection &injection : injections) {
            if (injection.label == step.label && injection.occurrence == occurrence) {
                ++result.injected;
                const Fate injected = allFaults()[injection.fault].inject(fleet, step);
                fate.deliver = fate.deliver && injected.deliver;
                fate.copies += injected.copies;
                fate.delay += injected.delay;
                fate.crossed = fate.crossed || injected.crossed;
            }
        }
        return fate;
    });
    scheduleLoad(fleet);
    fleet.runUntil(TimePoint(ScenarioTime));
    const RunRecord record = fleet.record();
    result.violations = checkInvariants(record);
    std::map<std::string, int> endings;
    for (const CallerRecord &caller : record.callers) {
        ++endings[endingName(caller)];
    }
    for (const auto &[name, count] : endings) {
        result.endings += (result.endings.empty() ? "" : " ") + name + '=' + std::to_string(count);
    }
    return result;
}

std::string toString(const Injection &injection)
{
    return injection.label + '#' + std::to_string(injection.occurrence) + '=' + allFaults()[injection.fault].name;
}

std::optional<Injection> parseInjection(const std::string &text)
{
    const std::size_t hash = text.rfind('#');
    const std::size_t equals = text.rfind('=');
    if (hash == std::string::npos || equals == std::string::npos || equals < hash) {
        return std::nullopt;
    }
    const std::string name = text.substr(equals + 1);
    const auto fault = std::ranges::find(allFaults(), name, &Fault::name);
    const std::string digits = text.substr(hash + 1, equals - hash - 1);
    if (fault == allFaults().end() || digits.empty() || digits.find_first_not_of("0123456789") != std::string::npos) {
        return std::nullopt;
    }
    return Injection {text.substr(0, hash), std::stoi(digits), static_cast<std::size_t>(fault - allFaults().begin())};
}

} // namespace ibismast::harness
