#include "ibismast/relay/engineload.h"

#include <algorithm>
#include <cmath>

namespace ibismast
{

namespace
{

constexpr double MsPerSecond = 1000.0;
constexpr double TokensPerThousand = 1000.0;
constexpr double PairsPerMillion = 1e6;

Duration fromMs(double ms)
{
    return fromSeconds(ms / MsPerSecond);
}

} // namespace

Duration estimatePrefillTime(const EngineProfile &profile, Tokens prompt)
{
    const auto tokens = static_cast<double>(prompt.value());
    const double linear = tokens / profile.readRate * MsPerSecond;
    // Each token attends to all earlier ones.
    const double pairs = tokens * tokens / 2.0 / PairsPerMillion * profile.pairsMs;
    return fromMs(linear + pairs);
}

Duration estimateDecodePass(const EngineProfile &profile, std::size_t streams, Tokens context)
{
    const double step = profile.stepMs + profile.stepPerSequenceMs * static_cast<double>(streams)
        + profile.stepPerContextMs * static_cast<double>(context.value()) / TokensPerThousand;
    return fromMs(step * static_cast<double>(profile.stride));
}

Duration EngineWorkload::backlog(TimePoint now) const
{
    return m_readUntil > now ? m_readUntil - now : Duration::zero();
}

std::size_t EngineWorkload::streamsTighterThan(Duration limit) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_streams, [limit](const auto &entry) {
        return entry.second.pauseTarget < limit;
    }));
}

Duration EngineWorkload::shortestPause() const
{
    Duration shortest = Duration::max();
    for (const auto &[id, stream] : m_streams) {
        shortest = std::min(shortest, stream.pauseTarget);
    }
    return shortest;
}

EngineLoadTable::EngineLoadTable(const EngineLoadSettings &settings) : m_settings(settings) { }

void EngineLoadTable::place(const Placement &placement, TimePoint now)
{
    const Duration longest =
        std::max(m_settings.leastExpiry, fromSeconds(toSeconds(placement.expected) * m_settings.expiryFactor));
    const auto [call, added] = m_calls.try_emplace(placement.id, Call {placement.decodingEngine, now + longest, {}});
    if (!added) {
        return;
    }
    EngineWorkload &writer = m_loads[placement.decodingEngine];
    writer.m_streams.emplace(placement.id, EngineWorkload::Stream {placement.pauseTarget, placement.memory});
    writer.m_memory += placement.memory;
    Duration prefillTime {};
    for (const PrefillShare &share : placement.prefills) {
        EngineWorkload &load = m_loads[share.engine];
        load.m_readUntil = std::max(load.m_readUntil, now) + share.prefillTime;
        load.m_memory += share.memory;
        call->second.prefills.push_back({share.engine, share.prefillTime, load.m_readUntil, share.memory});
        prefillTime += share.prefillTime;
    }
    if (prefillTime > m_settings.longReading) {
        m_longReading = longDemand(now) * toSeconds(m_settings.demandWindow) + toSeconds(prefillTime);
        m_longReadingTime = now;
    }
}

double EngineLoadTable::longDemand(TimePoint now) const
{
    const double window = toSeconds(m_settings.demandWindow);
    return m_longReading / window * std::exp(-toSeconds(now - m_longReadingTime) / window);
}

void EngineLoadTable::notePrefillDone(const PlacedCallId &id, TimePoint now)
{
    const auto call = m_calls.find(id);
    if (call == m_calls.end()) {
        return;
    }
    for (PendingPrefill &read : call->second.prefills) {
        // The engine is ahead of the estimate by what it was still thought to need.
        if (read.until > now) {
            m_loads[read.engine].m_readUntil -= read.until - now;
            read.until = now;
        }
    }
}

void EngineLoadTable::end(const PlacedCallId &id, TimePoint now)
{
    const auto call = m_calls.find(id);
    if (call == m_calls.end()) {
        return;
    }
    for (const PendingPrefill &read : call->second.prefills) {
        if (read.until > now) {
            m_loads[read.engine].m_readUntil -= std::min(read.prefillTime, read.until - now);
        }
        m_loads[read.engine].m_memory -= read.memory;
    }
    EngineWorkload &writer = m_loads[call->second.decodingEngine];
    const auto stream = writer.m_streams.find(id);
    writer.m_memory -= stream->second.memory;
    writer.m_streams.erase(stream);
    m_calls.erase(call);
}

std::vector<Placement> EngineLoadTable::placementsOf(const InstanceId &entry, TimePoint now) const
{
    std::vector<Placement> result;
    for (auto call = m_calls.lower_bound(PlacedCallId {entry, CallNumber()});
         call != m_calls.end() && call->first.entry == entry;
         ++call) {
        const auto &[id, open] = *call;
        const EngineWorkload::Stream &stream = m_loads.at(open.decodingEngine).m_streams.at(id);
        Placement placement;
        placement.id = id;
        placement.decodingEngine = open.decodingEngine;
        placement.pauseTarget = stream.pauseTarget;
        placement.memory = stream.memory;
        placement.expected = std::max(Duration::zero(), open.expiry - now) / 2;
        for (const PendingPrefill &read : open.prefills) {
            const Duration left = read.until > now ? std::min(read.prefillTime, read.until - now) : Duration::zero();
            if (left > Duration::zero() || read.memory.value() > 0) {
                placement.prefills.push_back({read.engine, left, read.memory});
            }
        }
        result.push_back(std::move(placement));
    }
    return result;
}

void EngineLoadTable::endAllOf(const InstanceId &entry, TimePoint now)
{
    std::vector<PlacedCallId> ended;
    for (auto call = m_calls.lower_bound(PlacedCallId {entry, CallNumber()});
         call != m_calls.end() && call->first.entry == entry;
         ++call) {
        ended.push_back(call->first);
    }
    for (const PlacedCallId &id : ended) {
        end(id, now);
    }
}

void EngineLoadTable::expire(TimePoint now)
{
    std::vector<PlacedCallId> ended;
    for (const auto &[id, call] : m_calls) {
        if (now >= call.expiry) {
            ended.push_back(id);
        }
    }
    for (const PlacedCallId &id : ended) {
        end(id, now);
    }
}

const EngineWorkload &EngineLoadTable::load(const InstanceId &engine) const
{
    const auto found = m_loads.find(engine);
    return found == m_loads.end() ? m_none : found->second;
}

} // namespace ibismast
