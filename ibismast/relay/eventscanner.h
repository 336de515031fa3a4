#pragma once

#include <string>
#include <string_view>

namespace ibismast
{

/// Splits a stream of server-sent events at event boundaries, without changing its bytes.
class EventScanner
{
public:
    /// @p maxEventBytes limits the bytes that are buffered for an incomplete event.
    explicit EventScanner(std::size_t maxEventBytes);

    /// Appends @p bytes and returns the bytes of all events that are now complete.
    [[nodiscard]] std::string append(std::string_view bytes);
    /// Returns the bytes after the last complete event and clears the buffer.
    [[nodiscard]] std::string takeIncomplete();
    /// Bytes that are buffered for an incomplete event.
    [[nodiscard]] std::size_t pendingBytes() const
    {
        return m_pending.size();
    }
    /// True if an event has begun and is not complete. A comment is no event.
    [[nodiscard]] bool insideEvent() const;
    /// True if the events that the last call of `append` returned include one with a field, that is, more than comments
    /// and blank lines.
    [[nodiscard]] bool hasProgressed() const
    {
        return m_progressed;
    }
    /// Returns the last id of a complete event; empty if none of them had an id.
    [[nodiscard]] const std::string &lastId() const
    {
        return m_lastId;
    }
    /// True if the incomplete event exceeds the size limit.
    [[nodiscard]] bool overflowed() const
    {
        return m_pending.size() > m_maxEventBytes;
    }

private:
    /// Stores the id of @p event, a complete one, if it has one, and notes whether it has any field.
    void readFields(std::string_view event);

    std::size_t m_maxEventBytes;
    /// Bytes after the last complete event.
    std::string m_pending;
    /// Offset in `m_pending` of the first line that has not been scanned.
    std::size_t m_lineStart = 0;
    std::string m_lastId;
    bool m_progressed = false;
};

} // namespace ibismast
