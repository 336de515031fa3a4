#include "UnitTests/harness/fleetprivate.h"

namespace ibismast::harness
{

Fleet::Fleet(const FleetSettings &settings) : d(std::make_unique<Private>(settings))
{
    d->start();
}

Fleet::~Fleet() = default;

void Fleet::setStepHook(StepHook hook)
{
    d->m_hook = std::move(hook);
}

TimePoint Fleet::now() const
{
    return d->m_now;
}

FakeStore &Fleet::store()
{
    return d->m_store;
}

void Fleet::runUntil(TimePoint end)
{
    d->runUntil(end);
}

void Fleet::at(TimePoint time, std::function<void()> action)
{
    d->at(time, std::move(action));
}

std::size_t Fleet::submit(int entry, const CustomerId &customer, Tokens prompt, Tokens output, Duration timeLeft)
{
    return d->submit(entry, customer, prompt, output, timeLeft);
}

std::size_t Fleet::callService(int entry, const std::string &logicalCall, const std::string &key, Duration timeLeft)
{
    return d->callService(entry, logicalCall, key, std::nullopt, timeLeft);
}

void Fleet::callWithOperationId(int entry, const std::string &logicalCall, Duration timeLeft)
{
    d->callWithOperationId(entry, logicalCall, timeLeft);
}

void Fleet::leave(std::size_t index)
{
    d->leave(index);
}

void Fleet::killEngine(const InstanceId &agent, Duration downFor)
{
    d->killEngine(agent, downFor);
}

void Fleet::stallEngine(const InstanceId &agent, Duration time)
{
    if (d->m_agents.at(agent).engine) {
        d->m_agents.at(agent).engine->stall(d->m_now + time);
    }
}

void Fleet::killAgent(const InstanceId &agent, Duration downFor)
{
    d->killAgent(agent, downFor);
}

void Fleet::killEntry(const InstanceId &entry, Duration downFor)
{
    d->killEntry(entry, downFor);
}

void Fleet::freeze(const InstanceId &instance, Duration time)
{
    d->freeze(instance, time);
}

void Fleet::cutLink(const InstanceId &entry, const InstanceId &agent, Duration time)
{
    d->cutLink(entry, agent, time);
}

void Fleet::partitionEntry(const InstanceId &entry, Duration time)
{
    for (const auto &[agent, node] : d->m_agents) {
        d->cutLink(entry, agent, time);
    }
}

void Fleet::drainAgent(const InstanceId &agent, Duration listLag)
{
    d->drainAgent(agent, listLag);
}

void Fleet::drainEntry(const InstanceId &entry)
{
    d->drainEntry(entry);
}

InstanceId Fleet::entryId(int index) const
{
    return InstanceId("entry-" + std::to_string(index));
}

InstanceId Fleet::agentId(int index) const
{
    return InstanceId("agent-" + std::to_string(index));
}

std::size_t Fleet::openWork(const InstanceId &agent) const
{
    const AgentNode &node = d->m_agents.at(agent);
    return node.core ? node.core->openWork() : 0;
}

std::uint64_t Fleet::prefilledTokens() const
{
    std::uint64_t tokens = 0;
    for (const auto &[agent, node] : d->m_agents) {
        tokens += node.engine ? node.engine->prefilledTokens() : 0;
    }
    return tokens;
}

RunRecord Fleet::record() const
{
    return d->record();
}

} // namespace ibismast::harness
