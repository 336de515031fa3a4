#include "adapters/eventstream.h"

#include <utility>

namespace ibismast
{

EventStreamReader::EventStreamReader(std::size_t maxEventBytes) : m_maxEventBytes(maxEventBytes) { }

std::vector<std::string> EventStreamReader::append(std::string_view bytes)
{
    std::vector<std::string> events;
    while (!bytes.empty() && !m_overflowed) {
        const std::size_t end = bytes.find('\n');
        m_line.append(bytes.substr(0, end));
        if (m_line.size() + m_data.size() > m_maxEventBytes) {
            m_overflowed = true;
            return events;
        }
        if (end == std::string_view::npos) {
            return events;
        }
        bytes.remove_prefix(end + 1);
        if (m_line.ends_with('\r')) {
            m_line.pop_back();
        }
        if (m_line.empty()) {
            if (m_hasData) {
                events.push_back(std::exchange(m_data, std::string()));
                m_hasData = false;
            }
        } else if (m_line.starts_with("data:")) {
            if (m_hasData) {
                m_data += '\n';
            }
            m_hasData = true;
            m_data.append(m_line, m_line.starts_with("data: ") ? 6 : 5);
        }
        m_line.clear();
    }
    return events;
}

bool EventStreamReader::overflowed() const
{
    return m_overflowed;
}

} // namespace ibismast
