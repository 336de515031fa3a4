#pragma once

#include <spdlog/sinks/base_sink.h>

#include <deque>
#include <string>

namespace ibismast
{

/// Log sink that never blocks and holds a bounded number of bytes: if the reader of the log is slow, the newest lines
/// are dropped and counted, and one line tells how many once there is room again.
class BoundedLogSink final : public spdlog::sinks::base_sink<std::mutex>
{
public:
    /// Writes to @p descriptor, which must be a pipe, a file or a terminal; @p maxBytes bounds what waits.
    BoundedLogSink(int descriptor, std::size_t maxBytes);

    /// Number of lines dropped so far.
    [[nodiscard]] std::uint64_t dropped();

protected:
    void sink_it_(const spdlog::details::log_msg &message) override;
    void flush_() override;

private:
    int m_descriptor;
    std::size_t m_maxBytes;
    std::string m_waiting;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reported = 0;
};

} // namespace ibismast
