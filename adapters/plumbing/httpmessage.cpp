#include "adapters/plumbing/httpmessage.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>

namespace ibismast
{

namespace http = boost::beast::http;

namespace
{

/// Lowest version of HTTP whose messages may be chunked, as the library writes it.
constexpr unsigned ChunkedVersion = 11;
/// Statuses outside this range are invalid (RFC 9110, section 15); the library accepts any three digits.
constexpr unsigned FirstStatus = 100;
constexpr unsigned LastStatus = 599;
constexpr unsigned SwitchingProtocolsStatus = 101;

/// Body that grows with the bytes that arrive. The library's own text body reserves the length that a message claims,
/// which may be larger than the memory of the process.
struct GrowingBody
{
    // The names are given by the library.
    // NOLINTBEGIN(readability-identifier-naming)
    using value_type = std::string;

    class reader
    {
    public:
        template<bool IsRequest, typename Fields>
        reader(http::header<IsRequest, Fields> & /*head*/, value_type &body) : m_body(&body)
        {
        }
        void init(const boost::optional<std::uint64_t> & /*length*/, boost::beast::error_code &code)
        {
            code = {};
        }
        template<typename Buffers> std::size_t put(const Buffers &buffers, boost::beast::error_code &code)
        {
            code = {};
            std::size_t size = 0;
            for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers)) {
                m_body->append(static_cast<const char *>(buffer.data()), buffer.size());
                size += buffer.size();
            }
            return size;
        }
        void finish(boost::beast::error_code &code)
        {
            code = {};
        }

    private:
        value_type *m_body;
    };
    // NOLINTEND(readability-identifier-naming)
};

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

Error longLine(const HttpMessageLimits &limits)
{
    return {ResultCode::MalformedRequest,
            "a line exceeds the limit of " + std::to_string(limits.maxHeadBytes) + " bytes",
            std::nullopt};
}

/// Runs @p step of the library, which reports most faults of a message by an error code but throws for some, such as a
/// header or trailer of 64 KiB. No message may end the process, so an exception becomes an error too.
template<typename Step> std::optional<Error> runGuarded(const Step &step, const HttpMessageLimits &limits)
{
    boost::beast::error_code code;
    try {
        step(code);
    } catch (const std::exception &exception) {
        return Error {
            ResultCode::MalformedRequest, std::string("malformed HTTP message: ") + exception.what(), std::nullopt};
    }
    if (code && code != http::error::need_more) {
        return refusal(code, limits);
    }
    return std::nullopt;
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
    /// Returns why the head, which the library has accepted, begins no message that can be used; empty if it does.
    [[nodiscard]] virtual std::string_view headFault() const = 0;

    HttpMessageLimits limits;
    /// Bytes of an element that is not complete yet: a line of the head or of a chunk.
    std::string pending;
    /// Bytes of the head so far.
    std::size_t headBytes = 0;
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
    [[nodiscard]] std::string_view headFault() const override
    {
        const auto &message = m_parser.get();
        if constexpr (IsRequest) {
            const auto count = message.count(http::field::transfer_encoding);
            // The library takes a request with any other coding for one without a body.
            const bool framed = count == 0
                || (count == 1 && message.version() >= ChunkedVersion
                    && boost::beast::iequals(message[http::field::transfer_encoding], "chunked"));
            return framed ? std::string_view() : "a request body needs a length or chunks";
        } else {
            const unsigned status = message.result_int();
            if (status == SwitchingProtocolsStatus) {
                return "the protocol changes without a request to change it";
            }
            return status >= FirstStatus && status <= LastStatus ? std::string_view() : "the status is out of range";
        }
    }
    std::string &body() override
    {
        return m_parser.get().body();
    }

private:
    http::parser<IsRequest, GrowingBody> m_parser;
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
        // The library neither limits chunk extensions nor trailers, so the limit of the head holds for each step.
        const std::size_t size = std::min<std::size_t>(input.size() - used, m_private->limits.maxHeadBytes);
        std::size_t parsed = 0;
        const bool inHead = !m_private->headDone();
        const std::optional<Error> error = runGuarded(
            [&](boost::beast::error_code &code) {
                parsed = m_private->put(boost::asio::buffer(input.data() + used, size), code);
            },
            m_private->limits);
        if (error) {
            return *error;
        }
        if (inHead && m_private->headDone()) {
            if (const std::string_view fault = m_private->headFault(); !fault.empty()) {
                return Error {ResultCode::MalformedRequest, std::string(fault), std::nullopt};
            }
        }
        m_private->headBytes += inHead ? parsed : 0;
        used += parsed;
        if (parsed == 0 && size == m_private->limits.maxHeadBytes) {
            return m_private->headDone() ? longLine(m_private->limits)
                                         : refusal(http::error::header_limit, m_private->limits);
        }
        if (parsed == 0) {
            break;
        }
    }
    if (m_private->done()) {
        m_private->pending.clear();
        return used - kept;
    }
    m_private->pending = std::string(input.substr(used));
    return bytes.size();
}

Result<Success> HttpMessageParser::finish()
{
    if (m_private->done()) {
        return Success {};
    }
    const std::optional<Error> error = runGuarded(
        [this](boost::beast::error_code &code) {
            m_private->putEnd(code);
        },
        m_private->limits);
    return error ? Result<Success>(*error) : Result<Success>(Success {});
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

std::size_t HttpMessageParser::heldBytes() const
{
    return m_private->headBytes + m_private->pending.size() + m_private->body().size();
}

std::string HttpMessageParser::takeBody()
{
    return std::exchange(m_private->body(), std::string());
}

} // namespace ibismast
