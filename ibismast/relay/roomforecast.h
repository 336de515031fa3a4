#pragma once

#include "ibismast/relay/engineload.h"

namespace ibismast
{

/// Predicts when engines have room for calls that need the same KV memory, from the expected ends of their streams.
class RoomForecast
{
public:
    /// @p memory is the KV memory that each call needs. A prompt that exceeds the memory of one engine needs all of it.
    RoomForecast(Tokens memory, TimePoint now);

    /// Adds the times at which an engine with @p load can take a call. The engine has @p slots slots and @p usable KV
    /// memory.
    void addEngine(const EngineWorkload &load, int slots, Tokens usable);
    /// Returns when the call behind @p callsBefore others begins; empty if that is beyond the known ends.
    [[nodiscard]] std::optional<TimePoint> start(std::size_t callsBefore) const;

private:
    Tokens m_memory;
    TimePoint m_now;
    std::vector<TimePoint> m_starts;
};

} // namespace ibismast
