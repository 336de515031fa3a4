#pragma once

#include "ibismast/core/messages.h"

#include <cstddef>
#include <string_view>

namespace ibismast
{

/// Limits on what a peer may send.
struct FrameLimits
{
    /// Largest payload of one frame. It must hold the largest request body and its head.
    std::size_t maxFrameBytes = std::size_t {64} * 1024 * 1024;
    /// Largest number of elements of a list. A list of n short elements takes up to 250 n bytes when decoded, far more
    /// than on the wire, so the frame limit alone does not bound the memory.
    std::size_t maxListElements = 100'000;
};

/// Returns @p frame as a 4-byte big-endian length and a payload in Thrift's compact protocol.
///
/// Fails with `BodyTooLarge` if the payload exceeds @p limits.
[[nodiscard]] Result<std::string> encodeFrame(const PeerFrame &frame, const FrameLimits &limits);

/// Returns the frame encoded in @p payload, without the length. Any malformed input gives `ProtocolError`.
[[nodiscard]] Result<PeerFrame> decodePayload(std::string_view payload, const FrameLimits &limits);

/// Splits a byte stream into frames.
class FrameReader
{
public:
    explicit FrameReader(const FrameLimits &limits);

    /// Appends received bytes.
    void append(std::string_view bytes);

    /// Returns the next complete frame, an error if the stream is malformed, or nothing if more bytes are needed.
    ///
    /// After an error the stream has no known frame boundary any more and must be closed.
    [[nodiscard]] std::optional<Result<PeerFrame>> next();

private:
    FrameLimits m_limits;
    std::string m_buffer;
    std::size_t m_consumed = 0;
};

} // namespace ibismast
