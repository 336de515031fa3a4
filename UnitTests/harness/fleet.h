#pragma once

#include "UnitTests/harness/fakeservice.h"
#include "UnitTests/harness/fakestore.h"
#include "UnitTests/harness/runrecord.h"
#include "ibismast/agent/agentcore.h"
#include "ibismast/agent/agentcoresettings.h"
#include "ibismast/core/seededrandom.h"
#include "ibismast/entry/entrycore.h"
#include "ibismast/entry/entrycoresettings.h"
#include "standins/engine/enginemodel.h"

#include <functional>

namespace ibismast::harness
{

/// Crossing of an interface by a message or action: the places where faults are injected.
struct Step
{
    /// Interface and message, for example `entry>agent DispatchRequest`.
    std::string label;
    InstanceId entry;
    InstanceId agent;
};

/// What happens to the message of a step.
struct Fate
{
    bool deliver = true;
    /// Number of further copies.
    int copies = 0;
    Duration delay {};
    /// Delivers a copy to the other entries as well, as if answers were crossed.
    bool crossed = false;
};

/// Size and settings of a `Fleet`.
struct FleetSettings
{
    int entries = 2;
    int engineAgents = 4;
    int serviceAgents = 1;
    Duration latency = std::chrono::milliseconds(1);
    Duration tickInterval = std::chrono::milliseconds(10);
    Duration serviceTime = std::chrono::milliseconds(5);
    std::uint64_t seed = 1;
    EntryCoreSettings entry;
    AgentCoreSettings agent;
    EngineModelSettings engine;
};

/// Entries, agents, engines, a plain service and the store, joined by one message loop in virtual time.
class Fleet
{
public:
    /// Sees every step before its message is delivered and decides its fate; it may inject faults.
    using StepHook = std::function<Fate(const Step &)>;

    explicit Fleet(const FleetSettings &settings);
    ~Fleet();

    void setStepHook(StepHook hook);
    [[nodiscard]] TimePoint now() const;
    [[nodiscard]] FakeStore &store();

    /// Runs until @p end.
    void runUntil(TimePoint end);
    /// Calls @p action at @p time.
    void at(TimePoint time, std::function<void()> action);

    /// Submits a completion at entry @p entry; returns its index in the record.
    std::size_t submit(int entry, const CustomerId &customer, Tokens prompt, Tokens output, Duration timeLeft);
    /// Calls the plain service at entry @p entry; @p logicalCall stays the same when the caller tries again.
    std::size_t callService(int entry, const std::string &logicalCall, const std::string &key, Duration timeLeft);
    /// Obtains an operation id at entry @p entry, then calls the service with it, and tries once more at another entry
    /// if the outcome is unknown.
    void callWithOperationId(int entry, const std::string &logicalCall, Duration timeLeft);
    /// The caller with index @p index leaves.
    void leave(std::size_t index);

    void killEngine(const InstanceId &agent, Duration downFor);
    void stallEngine(const InstanceId &agent, Duration time);
    void killAgent(const InstanceId &agent, Duration downFor);
    void killEntry(const InstanceId &entry, Duration downFor);
    /// The process neither receives nor ticks; messages wait until it goes on.
    void freeze(const InstanceId &instance, Duration time);
    /// Cuts the connection; it comes back after @p time.
    void cutLink(const InstanceId &entry, const InstanceId &agent, Duration time);
    /// Cuts all connections of an entry.
    void partitionEntry(const InstanceId &entry, Duration time);
    /// The agent starts a graceful stop; the instance list reports it after @p listLag.
    void drainAgent(const InstanceId &agent, Duration listLag);
    /// The entry starts a graceful stop.
    void drainEntry(const InstanceId &entry);

    [[nodiscard]] InstanceId entryId(int index) const;
    [[nodiscard]] InstanceId agentId(int index) const;
    [[nodiscard]] std::size_t openWork(const InstanceId &agent) const;
    [[nodiscard]] std::uint64_t prefilledTokens() const;
    /// Returns the record of the run up to now, with residues.
    [[nodiscard]] RunRecord record() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace ibismast::harness
