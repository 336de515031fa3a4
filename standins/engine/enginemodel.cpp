#include "standins/engine/enginemodel.h"

#include <algorithm>
#include <cassert>

namespace ibismast
{

EngineModel::EngineModel(EngineModelSettings settings, std::uint64_t seed)
    : m_settings(std::move(settings)), m_random(seed), m_models(m_settings.models.begin(), m_settings.models.end())
{
}

void EngineModel::handle(const EngineCommand &command, TimePoint now, EngineEvents &out)
{
    if (m_dead) {
        const Error error {ResultCode::UpstreamFailed, "The engine is down.", std::nullopt};
        if (const auto *submitted = std::get_if<EngineSubmit>(&command)) {
            out.emplace_back(EngineFailed {submitted->attempt, error, false});
        } else if (const auto *ordered = std::get_if<EngineOrder>(&command)) {
            out.emplace_back(EngineOrderResult {ordered->order.call, error});
        }
        return;
    }
    advance(now, out);
    if (now < m_stalledUntil) {
        m_stalledCommands.push_back(command);
        return;
    }
    handleNow(command, now, out);
}

void EngineModel::handleNow(const EngineCommand &command, TimePoint now, EngineEvents &out)
{
    std::visit(Overloaded {
                   [&](const EngineSubmit &submitted) {
                       submit(submitted, now, out);
                   },
                   [&](const EnginePrioritise &change) {
                       if (const auto found = m_attempts.find(change.attempt); found != m_attempts.end()) {
                           found->second.submit.priority = change.priority;
                       }
                   },
                   [&](const EngineCancel &cancelled) {
                       cancel(cancelled.attempt, out);
                   },
                   [&](const EngineListHeld &) {
                       EngineHeld held;
                       for (const auto &entry : m_attempts) {
                           held.attempts.push_back(entry.first);
                       }
                       out.emplace_back(std::move(held));
                   },
                   [&](const EngineOrder &ordered) {
                       order(ordered.order, now, out);
                   },
               },
               command);
    if (!m_stepEnd) {
        startStep(now);
    }
}

void EngineModel::advance(TimePoint now, EngineEvents &out)
{
    while (!m_dead && nextEvent() <= now) {
        const TimePoint time = nextEvent();
        if (m_stalledUntil != TimePoint() && time >= m_stalledUntil) {
            m_stalledUntil = TimePoint();
            const std::vector<EngineCommand> commands = std::exchange(m_stalledCommands, {});
            for (const EngineCommand &command : commands) {
                handleNow(command, time, out);
            }
        }
        while (!m_delayed.empty() && m_delayed.begin()->first <= time) {
            out.push_back(std::move(m_delayed.begin()->second));
            m_delayed.erase(m_delayed.begin());
        }
        if (m_nextLoad <= time) {
            publishLoad(time);
        }
        if (m_stepEnd && *m_stepEnd <= time) {
            finishStep(time, out);
            startStep(time);
        }
    }
}

TimePoint EngineModel::nextEvent() const
{
    if (m_dead) {
        return TimePoint::max();
    }
    TimePoint next = m_nextLoad;
    if (m_stepEnd) {
        next = std::min(next, *m_stepEnd);
    }
    if (!m_delayed.empty()) {
        next = std::min(next, m_delayed.begin()->first);
    }
    return std::max(next, m_stalledUntil);
}

void EngineModel::submit(const EngineSubmit &command, TimePoint now, EngineEvents &out)
{
    const auto refuse = [&](ResultCode code, std::string message) {
        out.emplace_back(EngineFailed {command.attempt, Error {code, std::move(message), std::nullopt}, false});
    };
    if (m_attempts.contains(command.attempt)) {
        return;
    }
    if (!m_models.contains(command.model)) {
        refuse(ResultCode::UnknownModel, "The engine has not loaded the model " + command.model.value() + '.');
        return;
    }
    Attempt attempt {command,
                     AnswerText(command.body ? *command.body : std::string(), command.maxOutputTokens.value())};
    const auto resumed = static_cast<std::int64_t>(command.resumeFrom);
    std::int64_t prompt = command.promptTokens.value();
    std::int64_t output = command.maxOutputTokens.value();
    if (command.group) {
        const GroupSegment &group = *command.group;
        prompt = group.length.value();
        if (group.index + 1 < group.members.size()) {
            output = 0;
        }
        if (group.index > 0) {
            auto segment = exportedSegment(group.importHandle);
            if (!segment && m_segmentSource) {
                segment = m_segmentSource(group.importHandle);
            }
            if (!segment || segment->end != group.offset) {
                refuse(ResultCode::UpstreamFailed, "The KV segment " + group.importHandle + " could not be imported.");
                return;
            }
            m_segments.erase(group.importHandle);
        }
    }
    attempt.memory = prompt + output;
    attempt.prefill = prompt + resumed;
    attempt.position = command.resumeFrom;
    attempt.arrival = m_arrivals++;
    if (attempt.memory > m_settings.memoryCapacity.value()) {
        refuse(ResultCode::MemoryExhausted, "The attempt needs more KV memory than the engine has.");
        return;
    }
    m_attempts.emplace(command.attempt, std::move(attempt));
    admitWaiting(now);
}

void EngineModel::cancel(const AttemptId &id, EngineEvents &out)
{
    const auto found = m_attempts.find(id);
    if (found != m_attempts.end()) {
        if (found->second.running) {
            m_usedMemory -= found->second.memory;
        }
        if (found->second.exported) {
            m_segments.erase(m_settings.name + '/' + toString(id));
        }
        m_attempts.erase(found);
    }
    out.emplace_back(EngineCancelled {id});
}

void EngineModel::order(const UpstreamOrder &order, TimePoint now, EngineEvents &out)
{
    FencingToken &highest = m_fencing[order.shard];
    if (m_settings.checkFencingTokens && order.token < highest) {
        out.emplace_back(EngineOrderResult {
            order.call,
            Error {ResultCode::StaleFencingToken, "The engine has seen a newer fencing token.", std::nullopt}});
        return;
    }
    highest = std::max(highest, order.token);
    m_executed.push_back(order);
    Duration delay {};
    if (order.verb == "load") {
        m_models.insert(order.model);
        delay = m_settings.modelLoadTime;
    } else if (order.verb == "unload") {
        m_models.erase(order.model);
    }
    m_delayed.emplace(now + delay, EngineOrderResult {order.call, std::nullopt});
}

std::vector<EngineModel::Attempt *> EngineModel::inServiceOrder()
{
    std::vector<Attempt *> order;
    order.reserve(m_attempts.size());
    for (auto &entry : m_attempts) {
        order.push_back(&entry.second);
    }
    std::ranges::sort(order, [this](const Attempt *left, const Attempt *right) {
        if (m_settings.honourPriorities && left->submit.priority != right->submit.priority) {
            return left->submit.priority > right->submit.priority;
        }
        return left->arrival < right->arrival;
    });
    return order;
}

void EngineModel::admitWaiting(TimePoint now)
{
    const auto running = static_cast<std::size_t>(std::ranges::count_if(m_attempts, [](const auto &entry) {
        return entry.second.running;
    }));
    std::size_t places = m_settings.maxRunning - std::min(running, m_settings.maxRunning);
    for (Attempt *attempt : inServiceOrder()) {
        if (attempt->running) {
            continue;
        }
        // An attempt that does not fit holds back those behind it, otherwise small ones would starve large ones.
        if (places == 0 || m_usedMemory + attempt->memory > m_settings.memoryCapacity.value()) {
            break;
        }
        --places;
        attempt->running = true;
        m_usedMemory += attempt->memory;
        const std::size_t hits = attempt->submit.group ? 0 : m_cache.use(attempt->submit.prefixHashes);
        const auto cached = static_cast<std::int64_t>(hits) * PrefixBlockTokens.value();
        // The last prompt token is always computed, since it yields the first token of the answer.
        attempt->prefill = std::max<std::int64_t>(attempt->prefill - cached, 1);
    }
    const Tokens cacheLimit(
        std::min(m_settings.cacheCapacity.value(), m_settings.memoryCapacity.value() - m_usedMemory));
    publishCacheChange({}, m_cache.shrinkTo(cacheLimit), now);
}

void EngineModel::startStep(TimePoint now)
{
    m_stepEnd.reset();
    m_stepPrefill.clear();
    m_stepDecode.clear();
    admitWaiting(now);
    std::int64_t budget = m_settings.tokensPerStep;
    const std::vector<Attempt *> order = inServiceOrder();
    for (const Attempt *attempt : order) {
        if (attempt->running && !attempt->exported && attempt->prefill == 0 && budget > 0) {
            m_stepDecode.push_back(attempt->submit.attempt);
            --budget;
        }
    }
    for (const Attempt *attempt : order) {
        if (attempt->running && attempt->prefill > 0 && budget > 0) {
            const std::int64_t chunk = std::min(attempt->prefill, budget);
            m_stepPrefill.emplace_back(attempt->submit.attempt, chunk);
            budget -= chunk;
        }
    }
    const std::int64_t used = m_settings.tokensPerStep - budget;
    if (used > 0) {
        m_stepEnd = now + m_settings.stepTime + used * m_settings.timePerToken;
    }
}

void EngineModel::finishStep(TimePoint now, EngineEvents &out)
{
    for (const AttemptId &id : m_stepDecode) {
        if (const auto found = m_attempts.find(id); found != m_attempts.end()) {
            if (m_workObserver) {
                m_workObserver(id, 1);
            }
            generate(found->second, out);
        }
    }
    for (const auto &[id, chunk] : m_stepPrefill) {
        const auto found = m_attempts.find(id);
        if (found == m_attempts.end()) {
            continue;
        }
        m_prefilled += static_cast<std::uint64_t>(chunk);
        if (m_workObserver) {
            m_workObserver(id, chunk);
        }
        found->second.prefill -= chunk;
        if (found->second.prefill == 0) {
            finishPrefill(found->second, now, out);
        }
    }
}

void EngineModel::finishPrefill(Attempt &attempt, TimePoint now, EngineEvents &out)
{
    const EngineSubmit &command = attempt.submit;
    if (command.group && command.group->index + 1 < command.group->members.size()) {
        attempt.exported = true;
        const std::string handle = m_settings.name + '/' + toString(command.attempt);
        m_segments[handle] = KvSegment {command.group->offset + command.group->length};
        out.emplace_back(EngineSegmentExported {command.attempt, handle});
        return;
    }
    if (!command.group) {
        publishCacheChange(m_cache.add(command.prefixHashes), {}, now);
    }
    generate(attempt, out);
}

void EngineModel::generate(Attempt &attempt, EngineEvents &out)
{
    const AttemptId id = attempt.submit.attempt;
    if (attempt.position < attempt.answer.length()) {
        out.emplace_back(EngineTokens {id, attempt.position, {attempt.answer.token(attempt.position)}});
        ++attempt.position;
    }
    if (attempt.position >= attempt.answer.length()) {
        out.emplace_back(EngineFinished {id, attempt.answer.length(), attempt.answer.finishReason()});
        m_usedMemory -= attempt.memory;
        m_attempts.erase(id);
    }
}

void EngineModel::publishLoad(TimePoint now)
{
    const double stepSeconds = toSeconds(m_settings.stepTime + m_settings.tokensPerStep * m_settings.timePerToken);
    EngineLoad load;
    load.usedMemory = Tokens(m_usedMemory);
    load.memoryCapacity = m_settings.memoryCapacity;
    load.models.assign(m_models.begin(), m_models.end());
    load.prefillRate = static_cast<double>(m_settings.tokensPerStep) / stepSeconds;
    load.decodeRate = 1.0 / stepSeconds;
    m_delayed.emplace(now + m_settings.loadLag, std::move(load));
    m_nextLoad = now + m_settings.loadInterval;
}

void EngineModel::publishCacheChange(std::vector<std::uint64_t> added,
                                     std::vector<std::uint64_t> removed,
                                     TimePoint now)
{
    if (added.empty() && removed.empty()) {
        return;
    }
    EngineCacheEvent event {++m_cacheEvents, std::move(added), std::move(removed)};
    const auto lag =
        static_cast<Duration::rep>(m_random.uniform() * static_cast<double>(m_settings.cacheEventLag.count()));
    if (m_random.uniform() >= m_settings.cacheEventLoss) {
        m_delayed.emplace(now + Duration(lag), std::move(event));
    }
}

void EngineModel::die(EngineEvents &out)
{
    if (!m_dead) {
        m_dead = true;
        clear();
        out.emplace_back(EngineDown {});
    }
}

void EngineModel::restart(TimePoint now, EngineEvents &out)
{
    m_dead = false;
    clear();
    m_nextLoad = now;
    out.emplace_back(EngineUp {});
}

void EngineModel::stall(TimePoint until)
{
    m_stalledUntil = until;
}

std::optional<KvSegment> EngineModel::exportedSegment(const std::string &handle) const
{
    const auto found = m_segments.find(handle);
    return found == m_segments.end() ? std::nullopt : std::optional(found->second);
}

void EngineModel::importSegment(const std::string &handle, const KvSegment &segment)
{
    m_segments[handle] = segment;
}

void EngineModel::setSegmentSource(SegmentSource source)
{
    m_segmentSource = std::move(source);
}

void EngineModel::setWorkObserver(WorkObserver observer)
{
    m_workObserver = std::move(observer);
}

Tokens EngineModel::usedMemory() const
{
    return Tokens(m_usedMemory);
}

std::size_t EngineModel::openAttempts() const
{
    return m_attempts.size();
}

std::uint64_t EngineModel::prefilledTokens() const
{
    return m_prefilled;
}

const std::vector<UpstreamOrder> &EngineModel::executedOrders() const
{
    return m_executed;
}

void EngineModel::clear()
{
    m_attempts.clear();
    m_usedMemory = 0;
    m_cache.clear();
    m_segments.clear();
    m_fencing.clear();
    m_delayed.clear();
    m_stalledCommands.clear();
    m_stalledUntil = TimePoint();
    m_stepEnd.reset();
    m_stepPrefill.clear();
    m_stepDecode.clear();
    m_models = std::set<ModelName>(m_settings.models.begin(), m_settings.models.end());
}

} // namespace ibismast
