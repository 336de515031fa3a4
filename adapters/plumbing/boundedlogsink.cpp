#include "adapters/plumbing/boundedlogsink.h"

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace ibismast
{

namespace
{

/// A pipe that is writable takes this many bytes without blocking.
constexpr std::size_t AtomicWrite = PIPE_BUF;

bool isWritable(int descriptor)
{
    pollfd state {descriptor, POLLOUT, 0};
    return poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

} // namespace

BoundedLogSink::BoundedLogSink(int descriptor, std::size_t maxBytes)
    : m_descriptor(descriptor), m_maxBytes(maxBytes) { }

std::uint64_t BoundedLogSink::dropped()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return m_dropped;
}

void BoundedLogSink::sink_it_(const spdlog::details::log_msg &message)
{
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (m_waiting.size() + line.size() > m_maxBytes) {
        ++m_dropped;
        return;
    }
    if (m_dropped != m_reported) {
        m_waiting += fmt::format("event=log_lines_dropped count={}\n", m_dropped - m_reported);
        m_reported = m_dropped;
    }
    m_waiting.append(line.data(), line.size());
}

void BoundedLogSink::flush_()
{
    while (!m_waiting.empty() && isWritable(m_descriptor)) {
        const ssize_t written = write(m_descriptor, m_waiting.data(), std::min(m_waiting.size(), AtomicWrite));
        if (written <= 0) {
            // Nobody reads the log any more, or the call was interrupted: the next line tries again.
            return;
        }
        m_waiting.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace ibismast
