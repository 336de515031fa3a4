#pragma once

#include "adapters/configsource.h"
#include "adapters/entryport.h"
#include "adapters/guardserver.h"

#include <QtHttpServer/QHttpServer>

namespace ibismast
{

class CompletionReply;
class HttpExchange;
class HttpReply;

/// Settings of the HTTP front end.
struct HttpFrontSettings
{
    HttpGuardSettings guard;
    /// Deadline of a request that sends no `X-Deadline-Ms`.
    Duration defaultDeadline = std::chrono::seconds(120);
    /// Largest deadline that a caller may ask for.
    Duration maxDeadline = std::chrono::hours(1);
    /// Output limit of a request that sends no `max_tokens`.
    Tokens defaultMaxTokens {256};
};

/// HTTP interface of an entry: authentication, validation, and answers in the documented form.
class HttpFront
{
public:
    /// @p metrics returns the text of `/metrics`. The references must outlive the front end.
    HttpFront(const HttpFrontSettings &settings,
              EntryPort &port,
              const ConfigSource &config,
              std::function<std::string()> metrics,
              std::function<TimePoint()> clock);
    ~HttpFront();
    HttpFront(const HttpFront &) = delete;
    HttpFront &operator=(const HttpFront &) = delete;

    /// Encrypts connections that are accepted from now on.
    void setTls(const QSslConfiguration &configuration);
    /// Listens on @p address; port 0 lets the system choose. Fails with `SettingsInvalid`.
    [[nodiscard]] Result<Success> listen(const QHostAddress &address, quint16 port);
    /// Returns the port that is listened on.
    [[nodiscard]] quint16 port() const;
    /// Stops accepting connections; requests in progress go on.
    void stopAccepting();
    /// Closes connections without a request.
    void closeIdle();
    /// Returns the guarding server, for its time limits.
    [[nodiscard]] GuardServer &guard();

private:
    void addRoutes();
    void handleCompletion(QHttpServerResponder &&responder, bool chat);
    void handleService(QHttpServerResponder &&responder);
    void handleOperation(const QString &service, QHttpServerResponder &&responder);
    void handleModels(QHttpServerResponder &&responder);
    void handleOther(QHttpServerResponder &&responder);

    /// Answers with an error and returns null if the caller may not be served.
    const CustomerConfig *authenticate(HttpExchange &exchange) const;
    [[nodiscard]] Result<Duration> deadline(const HttpHead &head) const;
    [[nodiscard]] Result<CompletionRequest>
    completionRequest(HttpExchange &exchange, const CustomerConfig &customer, bool chat, bool &stream) const;
    [[nodiscard]] Result<ServiceRequest> serviceRequest(HttpExchange &exchange, const CustomerConfig &customer) const;

    HttpFrontSettings m_settings;
    EntryPort &m_port;
    const ConfigSource &m_config;
    std::function<std::string()> m_metrics;
    GuardServer *m_guard;
    QHttpServer m_server;
};

} // namespace ibismast
