#include "PerformanceTest/baselineserving.h"

namespace ibismast
{

namespace
{

AttemptId attemptOf(std::uint64_t sequence)
{
    return {RequestId {Incarnation(1), sequence}, 0};
}

} // namespace

BaselineServing::BaselineServing(const WorkloadSettings &settings) : m_settings(settings)
{
    EngineModelSettings engine;
    engine.honourPriorities = false;
    for (std::size_t index = 0; index < settings.upstreams; ++index) {
        m_engines.emplace_back(engine, index);
    }
    for (EngineModel &model : m_engines) {
        model.setWorkObserver([this](const AttemptId &attempt, std::int64_t tokens) {
            if (m_now >= m_settings.peakStart && m_now < m_settings.peakEnd) {
                result.peakWork[attempt.request.sequence] += tokens;
            }
        });
    }
}

void BaselineServing::submit(const WorkItem &item, TimePoint now)
{
    m_now = now;
    EngineSubmit command;
    command.attempt = attemptOf(item.sequence);
    command.model = ModelName("model");
    command.promptTokens = item.prompt;
    command.maxOutputTokens = item.output;
    command.body = std::make_shared<const std::string>(std::to_string(item.sequence));
    result.items[item.sequence].admitted = true;
    m_deadlines.emplace(now + item.timeLeft, std::pair(item.sequence, m_next));
    EngineEvents events;
    m_engines[m_next].handle(command, now, events);
    deliver(events, now);
    m_next = (m_next + 1) % m_engines.size();
}

void BaselineServing::advance(TimePoint now)
{
    m_now = now;
    EngineEvents events;
    for (EngineModel &engine : m_engines) {
        engine.advance(now, events);
    }
    deliver(events, now);
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const auto [sequence, engine] = m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        if (ServedItem &item = result.items[sequence]; !item.finished && !item.failed) {
            item.failed = now;
            EngineEvents cancelled;
            m_engines[engine].handle(EngineCancel {attemptOf(sequence)}, now, cancelled);
            deliver(cancelled, now);
        }
    }
}

TimePoint BaselineServing::nextEvent() const
{
    TimePoint next = m_deadlines.empty() ? TimePoint::max() : m_deadlines.begin()->first;
    for (const EngineModel &engine : m_engines) {
        next = std::min(next, engine.nextEvent());
    }
    return next;
}

void BaselineServing::deliver(const EngineEvents &events, TimePoint now)
{
    for (const EngineEvent &event : events) {
        if (const auto *tokens = std::get_if<EngineTokens>(&event)) {
            ServedItem &item = result.items[tokens->attempt.request.sequence];
            item.firstToken = item.firstToken.value_or(now);
        } else if (const auto *finished = std::get_if<EngineFinished>(&event)) {
            result.items[finished->attempt.request.sequence].finished = now;
        } else if (const auto *failed = std::get_if<EngineFailed>(&event)) {
            result.items[failed->attempt.request.sequence].failed = now;
        }
    }
}

} // namespace ibismast
