#pragma once

#include <string>
#include <string_view>

namespace ibismast
{

/// Finds the ends of server-sent events in a stream whose bytes are passed on unchanged.
class EventScanner
{
public:
    /// @p maxEventBytes bounds one event.
    explicit EventScanner(std::size_t maxEventBytes);

    /// Appends @p bytes and returns all whole events that are not returned yet, as they came.
    [[nodiscard]] std::string append(std::string_view bytes);
    /// Returns what stands behind the last whole event and forgets it.
    [[nodiscard]] std::string takeRest();
    /// Id of the last whole event; empty if none had one.
    [[nodiscard]] const std::string &lastId() const
    {
        return m_lastId;
    }
    /// True once an event has exceeded the limit.
    [[nodiscard]] bool overflowed() const
    {
        return m_overflowed;
    }

private:
    void noteEvent(std::string_view event);

    std::size_t m_maxEventBytes;
    std::string m_pending;
    /// Start of the line in `m_pending` that has not been examined yet.
    std::size_t m_lineStart = 0;
    std::string m_lastId;
    bool m_overflowed = false;
};

} // namespace ibismast
