#include "adapters/httpfront.h"

#include "adapters/callerreplies.h"
#include "adapters/completionbody.h"
#include "adapters/keyhash.h"
#include "adapters/plumbing/jsontext.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace ibismast
{

namespace
{

constexpr std::string_view ServicePrefix = "/services/";
/// Longest value of a header that is echoed or kept.
constexpr std::size_t MaxHeaderValue = 256;

Error invalid(std::string message)
{
    return {ResultCode::InvalidArgument, std::move(message), std::nullopt};
}

std::optional<std::int64_t> parseInteger(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

void echoRequestId(HttpExchange &exchange)
{
    const std::string_view id = exchange.request().header("x-request-id");
    if (!id.empty()) {
        exchange.addHeader("X-Request-Id", std::string(id.substr(0, MaxHeaderValue)));
    }
}

} // namespace

HttpFront::HttpFront(const HttpFrontSettings &settings,
                     EntryPort &port,
                     const ConfigSource &config,
                     std::function<std::string()> metrics,
                     std::function<TimePoint()> clock)
    : m_settings(settings)
    , m_port(port)
    , m_config(config)
    , m_metrics(std::move(metrics))
    , m_guard(new GuardServer(settings.guard, std::move(clock)))
{
    addRoutes();
}

HttpFront::~HttpFront()
{
    // A server that was bound belongs to the HTTP server.
    if (m_guard->parent() == nullptr) {
        delete m_guard;
    }
}

void HttpFront::setTls(const QSslConfiguration &configuration)
{
    m_guard->setTls(configuration);
}

Result<Success> HttpFront::listen(const QHostAddress &address, quint16 port)
{
    if (!m_guard->listen(address, port)) {
        return Error {ResultCode::SettingsInvalid,
                      "cannot listen on " + address.toString().toStdString() + ':' + std::to_string(port) + ": "
                          + m_guard->errorString().toStdString(),
                      std::nullopt};
    }
    m_server.bind(m_guard);
    return Success {};
}

quint16 HttpFront::port() const
{
    return m_guard->serverPort();
}

void HttpFront::stopAccepting()
{
    m_guard->close();
}

void HttpFront::closeIdle()
{
    m_guard->closeIdle();
}

GuardServer &HttpFront::guard()
{
    return *m_guard;
}

void HttpFront::addRoutes()
{
    using Method = QHttpServerRequest::Method;
    m_server.route("/v1/completions", Method::Post, [this](QHttpServerResponder &&responder) {
        handleCompletion(std::move(responder), false);
    });
    m_server.route("/v1/chat/completions", Method::Post, [this](QHttpServerResponder &&responder) {
        handleCompletion(std::move(responder), true);
    });
    m_server.route("/v1/operations/<arg>", Method::Post, [this](const QString &name, QHttpServerResponder &&responder) {
        handleOperation(name, std::move(responder));
    });
    m_server.route("/v1/models", Method::Get, [this](QHttpServerResponder &&responder) {
        handleModels(std::move(responder));
    });
    m_server.route("/healthz", Method::Get, [](QHttpServerResponder &&responder) {
        HttpExchange(std::move(responder)).send(200, "text/plain", "ok\n");
    });
    m_server.route("/readyz", Method::Get, [this](QHttpServerResponder &&responder) {
        HttpExchange exchange(std::move(responder));
        if (const std::optional<Error> refusal = m_port.refusal()) {
            exchange.sendError(*refusal);
        } else {
            exchange.send(200, "text/plain", "ready\n");
        }
    });
    m_server.route("/metrics", Method::Get, [this](QHttpServerResponder &&responder) {
        HttpExchange(std::move(responder)).send(200, "text/plain; version=0.0.4", m_metrics());
    });
    m_server.setMissingHandler([this](const QHttpServerRequest & /*request*/, QHttpServerResponder &&responder) {
        handleOther(std::move(responder));
    });
}

void HttpFront::handleCompletion(QHttpServerResponder &&responder, bool chat)
{
    const auto reply = std::make_shared<CompletionReply>(std::move(responder), m_port);
    HttpExchange &exchange = reply->exchange();
    echoRequestId(exchange);
    const CustomerConfig *customer = authenticate(exchange);
    if (customer == nullptr) {
        return;
    }
    bool stream = false;
    Result<CompletionRequest> request = completionRequest(exchange, *customer, chat, stream);
    if (const Error *error = errorOf(request)) {
        exchange.sendError(*error);
        return;
    }
    auto &completion = std::get<CompletionRequest>(request);
    reply->configure(completion.model, chat, stream);
    m_port.submit(std::move(completion), reply);
}

void HttpFront::handleService(QHttpServerResponder &&responder)
{
    const auto reply = std::make_shared<HttpReply>(std::move(responder), m_port);
    HttpExchange &exchange = reply->exchange();
    echoRequestId(exchange);
    const CustomerConfig *customer = authenticate(exchange);
    if (customer == nullptr) {
        return;
    }
    Result<ServiceRequest> request = serviceRequest(exchange, *customer);
    if (const Error *error = errorOf(request)) {
        exchange.sendError(*error);
        return;
    }
    m_port.callService(std::move(std::get<ServiceRequest>(request)), reply);
}

void HttpFront::handleOperation(const QString &service, QHttpServerResponder &&responder)
{
    const auto reply = std::make_shared<HttpReply>(std::move(responder), m_port);
    HttpExchange &exchange = reply->exchange();
    echoRequestId(exchange);
    if (authenticate(exchange) == nullptr) {
        return;
    }
    const ServiceName name(service.toStdString());
    if (m_config.service(name) == nullptr) {
        exchange.sendError({ResultCode::UnknownService, "no service is named " + name.value(), std::nullopt});
        return;
    }
    const Result<Duration> timeLeft = deadline(exchange.request());
    if (const Error *error = errorOf(timeLeft)) {
        exchange.sendError(*error);
        return;
    }
    m_port.requestOperationId(name, std::get<Duration>(timeLeft), reply);
}

void HttpFront::handleModels(QHttpServerResponder &&responder)
{
    HttpExchange exchange(std::move(responder));
    echoRequestId(exchange);
    if (authenticate(exchange) == nullptr) {
        return;
    }
    std::string body = R"({"object": "list", "data": [)";
    for (const ModelName &name : m_config.models()) {
        body += body.back() == '[' ? "" : ", ";
        body += R"({"id": )" + jsonString(name.value()) + R"(, "object": "model"})";
    }
    exchange.send(200, "application/json", body + "]}");
}

void HttpFront::handleOther(QHttpServerResponder &&responder)
{
    const auto *socket = qobject_cast<GuardedSocket *>(responder.socket());
    const std::string target = socket != nullptr ? socket->requestHead().target : std::string();
    if (target.starts_with(ServicePrefix)) {
        handleService(std::move(responder));
        return;
    }
    HttpExchange exchange(std::move(responder));
    echoRequestId(exchange);
    const std::string path = target.substr(0, target.find('?'));
    static constexpr std::array Known {
        "/v1/completions", "/v1/chat/completions", "/v1/models", "/healthz", "/readyz", "/metrics"};
    if (std::ranges::find(Known, path) != Known.end() || path.starts_with("/v1/operations/")) {
        exchange.sendError({ResultCode::MethodNotAllowed,
                            path + " does not take the method " + exchange.request().method,
                            std::nullopt});
    } else {
        exchange.sendError({ResultCode::NotFound, "the path " + path + " does not exist", std::nullopt});
    }
}

const CustomerConfig *HttpFront::authenticate(HttpExchange &exchange) const
{
    if (!m_config.ready()) {
        exchange.sendError({ResultCode::NotReady, {}, Duration(std::chrono::seconds(1))});
        return nullptr;
    }
    static constexpr std::string_view Scheme = "Bearer ";
    const std::string_view value = exchange.request().header("authorization");
    const CustomerConfig *customer = nullptr;
    if (value.starts_with(Scheme)) {
        customer = m_config.customerOfKey(keyHash(value.substr(Scheme.size())));
    }
    if (customer == nullptr) {
        exchange.sendError({ResultCode::InvalidApiKey, {}, std::nullopt});
    }
    return customer;
}

Result<Duration> HttpFront::deadline(const HttpHead &head) const
{
    const std::string_view text = head.header("x-deadline-ms");
    if (text.empty()) {
        return m_settings.defaultDeadline;
    }
    const auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.maxDeadline).count();
    const std::optional<std::int64_t> value = parseInteger(text);
    if (!value || *value < 1 || *value > limit) {
        return invalid("X-Deadline-Ms must be an integer from 1 to " + std::to_string(limit));
    }
    return Duration(std::chrono::milliseconds(*value));
}

Result<CompletionRequest>
HttpFront::completionRequest(HttpExchange &exchange, const CustomerConfig &customer, bool chat, bool &stream) const
{
    CompletionRequest request;
    request.body = std::make_shared<const std::string>(exchange.takeBody());
    Result<CompletionBody> parsed = parseCompletionBody(*request.body, chat);
    if (const Error *error = errorOf(parsed)) {
        return *error;
    }
    auto &body = std::get<CompletionBody>(parsed);
    const ModelConfig *model = m_config.model(body.model);
    if (model == nullptr) {
        return Error {ResultCode::UnknownModel, "no model is named " + body.model.value(), std::nullopt};
    }
    if (body.promptTokens > model->maxPromptTokens) {
        return Error {ResultCode::PromptTooLong,
                      "the prompt has " + std::to_string(body.promptTokens.value()) + " tokens; the limit is "
                          + std::to_string(model->maxPromptTokens.value()),
                      std::nullopt};
    }
    const std::int64_t outputLimit = model->maxOutputTokens.value();
    const std::int64_t output = body.maxTokens.value_or(std::min(outputLimit, m_settings.defaultMaxTokens.value()));
    if (output < 1 || output > outputLimit) {
        return invalid("max_tokens must be an integer from 1 to " + std::to_string(outputLimit));
    }
    const Result<Duration> timeLeft = deadline(exchange.request());
    if (const Error *error = errorOf(timeLeft)) {
        return *error;
    }
    request.customer = customer.id;
    request.customerWeight = customer.weight;
    request.model = std::move(body.model);
    request.promptTokens = body.promptTokens;
    request.maxOutputTokens = Tokens(output);
    request.timeLeft = std::get<Duration>(timeLeft);
    request.prefixHashes = std::move(body.prefixHashes);
    request.chat = chat;
    stream = body.stream;
    return request;
}

Result<ServiceRequest> HttpFront::serviceRequest(HttpExchange &exchange, const CustomerConfig &customer) const
{
    const HttpHead &head = exchange.request();
    const std::string_view rest = std::string_view(head.target).substr(ServicePrefix.size());
    const std::size_t end = std::min(rest.find_first_of("/?"), rest.size());
    ServiceRequest request;
    request.service = ServiceName(std::string(rest.substr(0, end)));
    if (m_config.service(request.service) == nullptr) {
        return Error {ResultCode::UnknownService, "no service is named " + request.service.value(), std::nullopt};
    }
    const Result<Duration> timeLeft = deadline(head);
    if (const Error *error = errorOf(timeLeft)) {
        return *error;
    }
    const std::string_view operation = head.header("operation-id");
    if (!operation.empty()) {
        request.operation = parseOperationId(operation);
        if (!request.operation) {
            return Error {ResultCode::UnknownOperation, "Operation-Id has an unknown form", std::nullopt};
        }
    }
    const std::string_view key = head.header("idempotency-key");
    if (key.size() > MaxHeaderValue) {
        return invalid("Idempotency-Key must have at most " + std::to_string(MaxHeaderValue) + " bytes");
    }
    request.idempotencyKey = std::string(key);
    request.customer = customer.id;
    request.method = head.method;
    request.path = std::string(rest.substr(end));
    if (!request.path.starts_with('/')) {
        request.path.insert(0, "/");
    }
    request.contentType = std::string(head.header("content-type"));
    request.timeLeft = std::get<Duration>(timeLeft);
    request.idempotent = m_config.isIdempotent(request.service, request.method, request.path);
    request.body = std::make_shared<const std::string>(exchange.takeBody());
    return request;
}

} // namespace ibismast
