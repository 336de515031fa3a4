#pragma once

#include "ibismast/core/result.h"

#include <cstdint>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

namespace ibismast
{

/// Limits on a received HTTP message.
struct HttpMessageLimits
{
    /// Largest head (first line and headers) in bytes.
    std::uint32_t maxHeadBytes = 16 * 1024;
    /// Largest body in bytes. A prompt of a million tokens has 4 to 8 MB.
    std::uint64_t maxBodyBytes = std::uint64_t {32} * 1024 * 1024;
};

/// First line and headers of an HTTP message.
struct HttpHead
{
    /// Method and target of a request; empty for a response.
    std::string method;
    std::string target;
    /// Status of a response; 0 for a request.
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    bool keepAlive = false;

    /// Returns the value of the header @p name, compared without case, or an empty text.
    [[nodiscard]] std::string_view header(std::string_view name) const;
};

/// Which side sent the message.
enum class HttpMessageKind : std::uint8_t {
    Request,
    Response,
};

/// Parses one HTTP/1.x message from pieces of a byte stream. The body is held once.
class HttpMessageParser
{
public:
    HttpMessageParser(HttpMessageKind kind, const HttpMessageLimits &limits);
    ~HttpMessageParser();
    HttpMessageParser(const HttpMessageParser &) = delete;
    HttpMessageParser &operator=(const HttpMessageParser &) = delete;

    /// Parses @p bytes and returns how many of them belong to this message; the rest is behind its end.
    ///
    /// Fails with `BodyTooLarge` or `MalformedRequest`; the parser is of no use afterwards.
    [[nodiscard]] Result<std::size_t> consume(std::string_view bytes);
    /// The connection ended; a response without a length is complete then. Fails if the message is not.
    [[nodiscard]] Result<Success> finish();

    /// True once at least one byte has been consumed.
    [[nodiscard]] bool started() const;
    /// True once the head is complete.
    [[nodiscard]] bool headDone() const;
    /// True once the whole message is complete.
    [[nodiscard]] bool done() const;
    /// Returns the head; valid once `headDone`.
    [[nodiscard]] HttpHead head() const;
    /// Bytes that the parser holds of a message that is not complete.
    [[nodiscard]] std::size_t heldBytes() const;
    /// Returns the part of the body received since the last call. May be called before `done` to stream a response.
    [[nodiscard]] std::string takeBody();

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace ibismast
