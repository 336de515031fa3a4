#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace ibismast
{

/// Finds the data of server-sent events in pieces of a stream.
class EventStreamReader
{
public:
    /// @p maxEventBytes bounds one event.
    explicit EventStreamReader(std::size_t maxEventBytes);

    /// Appends @p bytes and returns the data of the events that are complete now.
    [[nodiscard]] std::vector<std::string> append(std::string_view bytes);
    /// True once an event has exceeded the limit; nothing more is returned then.
    [[nodiscard]] bool overflowed() const;

private:
    std::size_t m_maxEventBytes;
    std::string m_line;
    std::string m_data;
    bool m_hasData = false;
    bool m_overflowed = false;
};

} // namespace ibismast
