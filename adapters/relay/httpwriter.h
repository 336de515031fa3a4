#pragma once

#include "adapters/relay/callprotocol.h"

namespace ibismast
{

/// Builds the head of an HTTP/1.1 message. Headers that concern one connection are never copied.
class HttpHeadBuilder
{
public:
    /// Begins a request.
    [[nodiscard]] static HttpHeadBuilder request(std::string_view method, std::string_view target);
    /// Begins a response; the reason phrase follows from @p status.
    [[nodiscard]] static HttpHeadBuilder response(int status);

    HttpHeadBuilder &header(std::string_view name, std::string_view value);
    HttpHeadBuilder &headers(const HttpHeaders &headers);
    /// Copies the headers of @p head that go from end to end, but for those that @p skipped accepts.
    HttpHeadBuilder &endToEnd(const HttpHead &head, const std::function<bool(std::string_view name)> &skipped);
    /// Returns the head with its final empty line.
    [[nodiscard]] std::string build();

private:
    HttpHeadBuilder() = default;

    std::string m_text;
};

/// Appends @p bytes to @p out as one chunk of a chunked body.
void appendChunk(std::string &out, std::string_view bytes);
/// Last chunk of a chunked body.
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

/// Compares header names and tokens without case.
[[nodiscard]] bool equalNoCase(std::string_view left, std::string_view right);

} // namespace ibismast
