#include "ibismast/relay/eventscanner.h"

#include <algorithm>
#include <utility>

namespace ibismast
{

EventScanner::EventScanner(std::size_t maxEventBytes) : m_maxEventBytes(maxEventBytes) { }

std::string EventScanner::append(std::string_view bytes)
{
    m_progressed = false;
    m_pending.append(bytes);
    std::size_t wholeEnd = 0;
    for (std::size_t end = m_pending.find('\n', m_lineStart); end != std::string::npos;
         end = m_pending.find('\n', m_lineStart)) {
        const std::string_view line(m_pending.data() + m_lineStart, end - m_lineStart);
        m_lineStart = end + 1;
        if (line.empty() || line == "\r") {
            readFields(std::string_view(m_pending).substr(wholeEnd, m_lineStart - wholeEnd));
            wholeEnd = m_lineStart;
        }
    }
    std::string whole = m_pending.substr(0, wholeEnd);
    m_pending.erase(0, wholeEnd);
    m_lineStart -= wholeEnd;
    return whole;
}

std::string EventScanner::takeIncomplete()
{
    m_lineStart = 0;
    return std::exchange(m_pending, std::string());
}

bool EventScanner::insideEvent() const
{
    for (std::size_t start = 0; start < m_pending.size();) {
        const std::size_t end = std::min(m_pending.find('\n', start), m_pending.size());
        if (m_pending[start] != ':') {
            return true;
        }
        start = end + 1;
    }
    return false;
}

void EventScanner::readFields(std::string_view event)
{
    constexpr std::string_view Field = "id:";
    for (std::size_t start = 0; start < event.size();) {
        const std::size_t end = event.find('\n', start);
        std::string_view line = event.substr(start, end - start);
        start = end + 1;
        m_progressed = m_progressed || !(line.empty() || line == "\r" || line.starts_with(':'));
        if (!line.starts_with(Field)) {
            continue;
        }
        line.remove_prefix(Field.size());
        if (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        m_lastId = std::string(line);
    }
}

} // namespace ibismast
