#include "adapters/plumbing/httpmessage.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>

namespace ibismast
{

namespace http = boost::beast::http;

namespace
{

Error refusal(const boost::beast::error_code &code, const HttpMessageLimits &limits)
{
    if (code == http::error::body_limit) {
        return {ResultCode::BodyTooLarge,
                "the body exceeds the limit of " + std::to_string(limits.maxBodyBytes) + " bytes",
                std::nullopt};
    }
    if (code == http::error::header_limit) {
        return {ResultCode::MalformedRequest,
                "the head exceeds the limit of " + std::to_string(limits.maxHeadBytes) + " bytes",
                std::nullopt};
    }
    return {ResultCode::MalformedRequest, "malformed HTTP message: " + code.message(), std::nullopt};
}

} // namespace

std::string_view HttpHead::header(std::string_view name) const
{
    for (const auto &[key, value] : headers) {
        if (std::ranges::equal(key, name, [](char left, char right) {
                return std::tolower(static_cast<unsigned char>(left))
                    == std::tolower(static_cast<unsigned char>(right));
            })) {
            return value;
        }
    }
    return {};
}

class HttpMessageParser::Private
{
public:
    explicit Private(const HttpMessageLimits &messageLimits) : limits(messageLimits) { }
    virtual ~Private() = default;
    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    virtual std::size_t put(boost::asio::const_buffer buffer, boost::beast::error_code &code) = 0;
    virtual void putEnd(boost::beast::error_code &code) = 0;
    [[nodiscard]] virtual bool headDone() const = 0;
    [[nodiscard]] virtual bool done() const = 0;
    [[nodiscard]] virtual HttpHead head() const = 0;
    virtual std::string &body() = 0;

    HttpMessageLimits limits;
    /// Bytes of an element that is not complete yet: a line of the head or of a chunk.
    std::string pending;
    bool started = false;
};

namespace
{

template<bool IsRequest, typename Base> class ParserOf final : public Base
{
public:
    explicit ParserOf(const HttpMessageLimits &limits) : Base(limits)
    {
        m_parser.eager(true);
        m_parser.header_limit(limits.maxHeadBytes);
        m_parser.body_limit(limits.maxBodyBytes);
    }
    std::size_t put(boost::asio::const_buffer buffer, boost::beast::error_code &code) override
    {
        return m_parser.put(buffer, code);
    }
    void putEnd(boost::beast::error_code &code) override
    {
        m_parser.put_eof(code);
    }
    [[nodiscard]] bool headDone() const override
    {
        return m_parser.is_header_done();
    }
    [[nodiscard]] bool done() const override
    {
        return m_parser.is_done();
    }
    [[nodiscard]] HttpHead head() const override
    {
        HttpHead result;
        const auto &message = m_parser.get();
        if constexpr (IsRequest) {
            result.method = std::string(message.method_string());
            result.target = std::string(message.target());
        } else {
            result.status = static_cast<int>(message.result_int());
        }
        for (const auto &field : message) {
            result.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
        }
        result.keepAlive = message.keep_alive();
        return result;
    }
    std::string &body() override
    {
        return m_parser.get().body();
    }

private:
    http::parser<IsRequest, http::string_body> m_parser;
};

} // namespace

HttpMessageParser::HttpMessageParser(HttpMessageKind kind, const HttpMessageLimits &limits)
{
    if (kind == HttpMessageKind::Request) {
        m_private = std::make_unique<ParserOf<true, Private>>(limits);
    } else {
        m_private = std::make_unique<ParserOf<false, Private>>(limits);
    }
}

HttpMessageParser::~HttpMessageParser() = default;

Result<std::size_t> HttpMessageParser::consume(std::string_view bytes)
{
    if (bytes.empty()) {
        return std::size_t {0};
    }
    m_private->started = true;
    const std::size_t kept = m_private->pending.size();
    std::string_view input = bytes;
    if (kept != 0) {
        m_private->pending.append(bytes);
        input = m_private->pending;
    }
    std::size_t used = 0;
    while (!m_private->done() && used < input.size()) {
        boost::beast::error_code code;
        const std::size_t step = m_private->put(boost::asio::buffer(input.data() + used, input.size() - used), code);
        used += step;
        if (code == http::error::need_more) {
            if (step == 0) {
                break;
            }
        } else if (code) {
            return refusal(code, m_private->limits);
        }
    }
    if (m_private->done()) {
        m_private->pending.clear();
        return used - kept;
    }
    std::string rest(input.substr(used));
    if (rest.size() > m_private->limits.maxHeadBytes) {
        // The library limits the head, but neither the extensions of a chunk nor the trailers.
        return Error {ResultCode::MalformedRequest,
                      "a line exceeds the limit of " + std::to_string(m_private->limits.maxHeadBytes) + " bytes",
                      std::nullopt};
    }
    m_private->pending = std::move(rest);
    return bytes.size();
}

Result<Success> HttpMessageParser::finish()
{
    if (m_private->done()) {
        return Success {};
    }
    boost::beast::error_code code;
    m_private->putEnd(code);
    if (code) {
        return refusal(code, m_private->limits);
    }
    return Success {};
}

bool HttpMessageParser::started() const
{
    return m_private->started;
}

bool HttpMessageParser::headDone() const
{
    return m_private->headDone();
}

bool HttpMessageParser::done() const
{
    return m_private->done();
}

HttpHead HttpMessageParser::head() const
{
    return m_private->head();
}

std::string HttpMessageParser::takeBody()
{
    return std::exchange(m_private->body(), std::string());
}

} // namespace ibismast
