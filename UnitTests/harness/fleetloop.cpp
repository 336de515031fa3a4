#include "UnitTests/harness/fleetprivate.h"

#include <algorithm>

namespace ibismast::harness
{

Fleet::Private::Private(const FleetSettings &settings)
    : m_settings(settings), m_random(settings.seed), m_store(FakeStoreSettings {})
{
}

void Fleet::Private::at(TimePoint time, std::function<void()> action)
{
    m_events.emplace(std::max(time, m_now), std::move(action));
}

void Fleet::Private::runUntil(TimePoint end)
{
    while (true) {
        const TimePoint next = std::min(nextTime(), end);
        m_now = next;
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            auto event = m_events.extract(m_events.begin());
            event.mapped()();
        }
        advanceOutside();
        if (m_now >= m_nextTick) {
            m_nextTick = m_now + m_settings.tickInterval;
            tickAll();
        }
        if (m_now >= end) {
            return;
        }
    }
}

TimePoint Fleet::Private::nextTime() const
{
    TimePoint next = m_nextTick;
    if (!m_events.empty()) {
        next = std::min(next, m_events.begin()->first);
    }
    if (const auto storeEvent = m_store.nextEvent()) {
        next = std::min(next, *storeEvent);
    }
    for (const auto &[agent, node] : m_agents) {
        if (node.engine && node.engineUp) {
            next = std::min(next, node.engine->nextEvent());
        }
    }
    return std::max(next, m_now);
}

void Fleet::Private::advanceOutside()
{
    for (const StoreAnswer &answer : m_store.takeAnswers(m_now)) {
        storeAnswer(answer);
    }
    for (auto &[agent, node] : m_agents) {
        if (node.engine && node.engineUp && node.engine->nextEvent() <= m_now) {
            EngineEvents events;
            node.engine->advance(m_now, events);
            deliverEngineEvents(agent, events);
        }
    }
}

void Fleet::Private::tickAll()
{
    for (auto &[entry, node] : m_entries) {
        if (node.core && node.frozenUntil <= m_now) {
            EntryActions actions;
            node.core->tick(m_now, actions);
            carryOut(entry, actions);
        }
    }
    for (auto &[agent, node] : m_agents) {
        if (node.core && node.frozenUntil <= m_now) {
            AgentActions actions;
            node.core->tick(m_now, actions);
            carryOut(agent, actions);
        }
    }
}

} // namespace ibismast::harness
