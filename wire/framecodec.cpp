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
using apache::thrift::protocol::TProtocolException;
using apache::thrift::transport::TMemoryBuffer;

constexpr std::size_t LengthBytes = 4;
/// Space for the fields around a body, so that the buffer of a large request is allocated once.
constexpr std::size_t FieldBytes = 512;
/// Buffers above this size are freed after use, so that one large request does not hold memory for ever.
constexpr std::size_t KeptBufferBytes = std::size_t {256} * 1024;

/// Compact protocol that copies texts straight out of the received frame. Thrift's own first copies each into a buffer
/// of its size, so that a body of a million tokens would be held a third time while it is decoded.
class FrameProtocol final : public TCompactProtocolT<TMemoryBuffer>
{
public:
    FrameProtocol(const std::shared_ptr<TMemoryBuffer> &memory, std::int32_t listLimit)
        : TCompactProtocolT<TMemoryBuffer>(memory, 0, listLimit)
    {
    }

    // The names of the functions are given by Thrift.
    // NOLINTBEGIN(readability-identifier-naming)
    std::uint32_t readString_virt(std::string &text) override
    {
        return readText(text);
    }
    std::uint32_t readBinary_virt(std::string &text) override
    {
        return readText(text);
    }
    // NOLINTEND(readability-identifier-naming)

private:
    std::uint32_t readText(std::string &text)
    {
        std::int32_t size = 0;
        const std::uint32_t used = readVarint32(size);
        text.clear();
        if (size == 0) {
            return used;
        }
        auto available = static_cast<std::uint32_t>(std::max(size, 0));
        const std::uint8_t *bytes = size < 0 ? nullptr : trans_->borrow(nullptr, &available);
        if (bytes == nullptr) {
            throw TProtocolException(TProtocolException::SIZE_LIMIT, "a text is longer than its frame");
        }
        text.assign(reinterpret_cast<const char *>(bytes), static_cast<std::size_t>(size));
        trans_->consume(static_cast<std::uint32_t>(size));
        return used + static_cast<std::uint32_t>(size);
    }
};

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
        FrameProtocol protocol(memory, static_cast<std::int32_t>(limits.maxListElements));
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
        // Assigning an empty string would keep the memory.
        std::string().swap(m_buffer);
        m_consumed = 0;
    }
    return result;
}

} // namespace ibismast
