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
    const double linear = tokens / profile.prefillTokensPerSecond * MsPerSecond;
    // Attention cost grows with the number of pairs of a token and an earlier one.
    const double pairs = tokens * tokens / 2.0 / PairsPerMillion * profile.prefillMsPerMillionPairs;
    return fromMs(linear + pairs);
}

Duration estimateDecodePass(const EngineProfile &profile, std::size_t streams, Tokens context)
{
    const double step = profile.stepMs + profile.stepPerSequenceMs * static_cast<double>(streams)
        + profile.stepPerContextMs * static_cast<double>(context.value()) / TokensPerThousand;
    return fromMs(step * static_cast<double>(profile.tokensPerPass));
}

Duration EngineWorkload::backlog(TimePoint now) const
{
    return m_prefillEnd > now ? m_prefillEnd - now : Duration::zero();
}

std::size_t EngineWorkload::streamsBelowPauseTarget(Duration limit) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_streams, [limit](const auto &entry) {
        return entry.second.pauseTarget < limit;
    }));
}

Duration EngineWorkload::shortestPauseTarget() const
{
    Duration shortest = Duration::max();
    for (const auto &[id, stream] : m_streams) {
        shortest = std::min(shortest, stream.pauseTarget);
    }
    return shortest;
}

std::vector<EngineWorkload::ExpectedEnd> EngineWorkload::expectedEnds() const
{
    std::vector<ExpectedEnd> ends;
    for (const auto &[id, stream] : m_streams) {
        ends.push_back({stream.expectedEnd, stream.memory});
    }
    return ends;
}

EngineLoadTable::EngineLoadTable(const EngineLoadSettings &settings) : m_settings(settings) { }

void EngineLoadTable::place(const Placement &placement, TimePoint now)
{
    const Duration longest =
        std::max(m_settings.minExpiry, fromSeconds(toSeconds(placement.expected) * m_settings.expiryFactor));
    const auto [call, added] = m_calls.try_emplace(placement.id, Call {placement.decodingEngine, now + longest, {}});
    if (!added) {
        return;
    }
    EngineWorkload &decodingLoad = m_loads[placement.decodingEngine];
    decodingLoad.m_streams.emplace(
        placement.id, EngineWorkload::Stream {placement.pauseTarget, placement.memory, now + placement.expected});
    decodingLoad.m_memory += placement.memory;
    Duration prefillTime {};
    for (const PrefillShare &share : placement.prefills) {
        EngineWorkload &load = m_loads[share.engine];
        load.m_prefillEnd = std::max(load.m_prefillEnd, now) + share.prefillTime;
        load.m_memory += share.memory;
        call->second.prefills.push_back({share.engine, share.prefillTime, load.m_prefillEnd, share.memory});
        prefillTime += share.prefillTime;
    }
    if (prefillTime > m_settings.longPrefill) {
        m_longPrefill = longPromptDemand(now) * toSeconds(m_settings.demandWindow) + toSeconds(prefillTime);
        m_longPrefillTime = now;
    }
}

double EngineLoadTable::longPromptDemand(TimePoint now) const
{
    const double window = toSeconds(m_settings.demandWindow);
    return m_longPrefill / window * std::exp(-toSeconds(now - m_longPrefillTime) / window);
}

void EngineLoadTable::notePrefillDone(const PlacedCallId &id, TimePoint now)
{
    const auto call = m_calls.find(id);
    if (call == m_calls.end()) {
        return;
    }
    for (PendingPrefill &prefill : call->second.prefills) {
        // The engine is ahead of the estimate by the prefill time that was still outstanding.
        if (prefill.until > now) {
            m_loads[prefill.engine].m_prefillEnd -= prefill.until - now;
            prefill.until = now;
        }
    }
}

void EngineLoadTable::end(const PlacedCallId &id, TimePoint now)
{
    const auto call = m_calls.find(id);
    if (call == m_calls.end()) {
        return;
    }
    for (const PendingPrefill &prefill : call->second.prefills) {
        if (prefill.until > now) {
            m_loads[prefill.engine].m_prefillEnd -= std::min(prefill.prefillTime, prefill.until - now);
        }
        m_loads[prefill.engine].m_memory -= prefill.memory;
    }
    EngineWorkload &decodingLoad = m_loads[call->second.decodingEngine];
    const auto stream = decodingLoad.m_streams.find(id);
    decodingLoad.m_memory -= stream->second.memory;
    decodingLoad.m_streams.erase(stream);
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
        for (const PendingPrefill &prefill : open.prefills) {
            const Duration left =
                prefill.until > now ? std::min(prefill.prefillTime, prefill.until - now) : Duration::zero();
            if (left > Duration::zero() || prefill.memory.value() > 0) {
                placement.prefills.push_back({prefill.engine, left, prefill.memory});
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
    return found == m_loads.end() ? m_noLoad : found->second;
}

} // namespace ibismast
