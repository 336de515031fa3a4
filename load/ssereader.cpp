#include "load/ssereader.h"

namespace ibismast::load
{

void SseReader::add(const QByteArray &bytes, const std::function<void(const QByteArray &data)> &onEvent)
{
    m_buffer += bytes;
    qsizetype start = 0;
    while (true) {
        const qsizetype end = m_buffer.indexOf('\n', start);
        if (end < 0) {
            break;
        }
        const QByteArray line = m_buffer.mid(start, end - start).trimmed();
        start = end + 1;
        if (line.startsWith("data:")) {
            onEvent(line.mid(5).trimmed());
        }
    }
    m_buffer.remove(0, start);
}

} // namespace ibismast::load
