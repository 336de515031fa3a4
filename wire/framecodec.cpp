#include "wire/framecodec.h"

#include "wire/thriftmessages.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>

namespace ibismast
{

namespace
{

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

constexpr std::size_t LengthBytes = 4;
/// Space for the fields around a body, so that the buffer of a large request is allocated once.
constexpr std::size_t FieldBytes = 512;
/// Buffers above this size are freed after use, so that one large request does not hold memory for ever.
constexpr std::size_t KeptBufferBytes = std::size_t {256} * 1024;

std::size_t expectedBytes(const PeerFrame &frame)
{
    std::size_t size = FieldBytes;
    if (const auto *request = std::get_if<DispatchRequest>(&frame.message)) {
        size += (request->body ? request->body->size() : 0) + request->resumeText.size()
            + request->prefixHashes.size() * 10;
    } else if (const auto *call = std::get_if<OperationCall>(&frame.message)) {
        size += call->body ? call->body->size() : 0;
    } else if (const auto *result = std::get_if<OperationResult>(&frame.message)) {
        size += result->body ? result->body->size() : 0;
    }
    return size;
}

std::shared_ptr<TConfiguration> configuration(const FrameLimits &limits)
{
    const auto size = static_cast<int>(limits.maxFrameBytes);
    return std::make_shared<TConfiguration>(size, size);
}

Error protocolError(std::string message)
{
    return {ResultCode::ProtocolError, std::move(message), std::nullopt};
}

} // namespace

Result<std::string> encodeFrame(const PeerFrame &frame, const FrameLimits &limits)
{
    try {
        const auto memory =
            std::make_shared<TMemoryBuffer>(static_cast<std::uint32_t>(expectedBytes(frame)), configuration(limits));
        TCompactProtocolT<TMemoryBuffer> protocol(memory);
        toThrift(frame).write(&protocol);
        std::uint8_t *data = nullptr;
        std::uint32_t size = 0;
        memory->getBuffer(&data, &size);
        if (size > limits.maxFrameBytes) {
            return Error {ResultCode::BodyTooLarge,
                          "a message of " + std::to_string(size) + " bytes exceeds the frame limit of "
                              + std::to_string(limits.maxFrameBytes),
                          std::nullopt};
        }
        std::string result;
        result.reserve(LengthBytes + size);
        for (int shift = 24; shift >= 0; shift -= 8) {
            result.push_back(static_cast<char>(size >> shift));
        }
        result.append(reinterpret_cast<const char *>(data), size);
        return result;
    } catch (const apache::thrift::TException &exception) {
        return protocolError(std::string("encoding failed: ") + exception.what());
    }
}

Result<PeerFrame> decodePayload(std::string_view payload, const FrameLimits &limits)
{
    if (payload.size() > limits.maxFrameBytes) {
        return protocolError("the frame exceeds the limit of " + std::to_string(limits.maxFrameBytes) + " bytes");
    }
    try {
        // The buffer is only observed; Thrift's interface takes a pointer to non-const memory for all policies.
        auto *data = const_cast<std::uint8_t *>(reinterpret_cast<const std::uint8_t *>(payload.data()));
        const auto memory = std::make_shared<TMemoryBuffer>(
            data, static_cast<std::uint32_t>(payload.size()), TMemoryBuffer::OBSERVE, configuration(limits));
        TCompactProtocolT<TMemoryBuffer> protocol(
            memory, static_cast<std::int32_t>(limits.maxFrameBytes), static_cast<std::int32_t>(limits.maxListElements));
        wire::PeerFrame frame;
        frame.read(&protocol);
        if (memory->available_read() != 0) {
            return protocolError("the frame has " + std::to_string(memory->available_read()) + " bytes after its end");
        }
        return fromThrift(std::move(frame));
    } catch (const std::exception &exception) {
        return protocolError(std::string("decoding failed: ") + exception.what());
    }
}

FrameReader::FrameReader(const FrameLimits &limits) : m_limits(limits) { }

void FrameReader::append(std::string_view bytes)
{
    if (m_consumed == m_buffer.size()) {
        m_buffer.clear();
        m_consumed = 0;
        if (m_buffer.capacity() > KeptBufferBytes) {
            m_buffer.shrink_to_fit();
        }
    } else if (m_consumed > KeptBufferBytes) {
        m_buffer.erase(0, m_consumed);
        m_consumed = 0;
    }
    m_buffer.append(bytes);
}

std::optional<Result<PeerFrame>> FrameReader::next()
{
    const std::string_view pending = std::string_view(m_buffer).substr(m_consumed);
    if (pending.size() < LengthBytes) {
        return std::nullopt;
    }
    std::size_t length = 0;
    for (std::size_t i = 0; i < LengthBytes; ++i) {
        length = (length << 8U) | static_cast<unsigned char>(pending[i]);
    }
    if (length > m_limits.maxFrameBytes) {
        return protocolError("a frame of " + std::to_string(length) + " bytes exceeds the limit of "
                             + std::to_string(m_limits.maxFrameBytes));
    }
    if (pending.size() < LengthBytes + length) {
        // One allocation for a large frame; doubling would take twice the memory of a million-token body.
        m_buffer.reserve(m_consumed + LengthBytes + length);
        return std::nullopt;
    }
    Result<PeerFrame> result = decodePayload(pending.substr(LengthBytes, length), m_limits);
    m_consumed += LengthBytes + length;
    if (m_consumed == m_buffer.size() && m_buffer.capacity() > KeptBufferBytes) {
        // The body has been copied out; without this a large request would be held twice until the next frame.
        m_buffer = std::string();
        m_consumed = 0;
    }
    return result;
}

} // namespace ibismast
