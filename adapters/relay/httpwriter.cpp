#include "adapters/relay/httpwriter.h"

#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace ibismast
{

namespace
{

/// Headers that concern one connection (RFC 9110, section 7.6.1), and the length, which is written anew.
constexpr std::array<std::string_view, 9> ConnectionHeaders {"connection",
                                                             "keep-alive",
                                                             "proxy-connection",
                                                             "te",
                                                             "trailer",
                                                             "transfer-encoding",
                                                             "upgrade",
                                                             "content-length",
                                                             "expect"};

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/// Returns the header names that the Connection headers of @p head list.
std::vector<std::string_view> listedByConnection(const HttpHead &head)
{
    std::vector<std::string_view> names;
    for (const auto &[name, value] : head.headers) {
        if (!equalNoCase(name, "connection")) {
            continue;
        }
        const std::string_view list(value);
        for (std::size_t start = 0; start <= list.size();) {
            const std::size_t end = std::min(list.find(',', start), list.size());
            names.push_back(trimmed(list.substr(start, end - start)));
            start = end + 1;
        }
    }
    return names;
}

} // namespace

bool equalNoCase(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, [](unsigned char a, unsigned char b) {
        return std::tolower(a) == std::tolower(b);
    });
}

HttpHeadBuilder HttpHeadBuilder::request(std::string_view method, std::string_view target)
{
    HttpHeadBuilder builder;
    builder.m_text = fmt::format("{} {} HTTP/1.1\r\n", method, target);
    return builder;
}

HttpHeadBuilder HttpHeadBuilder::response(int status)
{
    HttpHeadBuilder builder;
    const auto known = boost::beast::http::int_to_status(static_cast<unsigned>(status));
    const auto reason = boost::beast::http::obsolete_reason(known);
    builder.m_text = fmt::format("HTTP/1.1 {} {}\r\n", status, std::string_view(reason.data(), reason.size()));
    return builder;
}

HttpHeadBuilder &HttpHeadBuilder::header(std::string_view name, std::string_view value)
{
    m_text.append(name).append(": ").append(value).append("\r\n");
    return *this;
}

HttpHeadBuilder &HttpHeadBuilder::headers(const HttpHeaders &headers)
{
    for (const auto &[name, value] : headers) {
        header(name, value);
    }
    return *this;
}

HttpHeadBuilder &HttpHeadBuilder::endToEnd(const HttpHead &head,
                                           const std::function<bool(std::string_view name)> &skipped)
{
    const std::vector<std::string_view> listed = listedByConnection(head);
    const auto isOneOf = [](const auto &names, std::string_view name) {
        return std::ranges::any_of(names, [name](std::string_view other) {
            return equalNoCase(name, other);
        });
    };
    for (const auto &[name, value] : head.headers) {
        if (!isOneOf(ConnectionHeaders, name) && !isOneOf(listed, name) && !skipped(name)) {
            header(name, value);
        }
    }
    return *this;
}

std::string HttpHeadBuilder::build()
{
    m_text += "\r\n";
    return std::move(m_text);
}

void appendChunk(std::string &out, std::string_view bytes)
{
    out += fmt::format("{:x}\r\n", bytes.size());
    out.append(bytes).append("\r\n");
}

} // namespace ibismast
