#include "standins/engine/engineserver.h"

#include "standins/engine/enginejson.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QNetworkReply>
#include <QUrlQuery>

namespace ibismast
{

namespace
{

const QByteArray KeyValuePrefix = "/v1/kv/";

QByteArray eventLine(const QJsonObject &event)
{
    return "data: " + QJsonDocument(event).toJson(QJsonDocument::Compact) + "\n\n";
}

void refuse(StandinReply &reply, int status, const Error &error)
{
    reply.sendJson(status, {{"error", enginejson::toJson(error, true)}});
}

} // namespace

EngineServer::EngineServer(const EngineServerSettings &settings)
    : m_settings(settings), m_model(settings.model, settings.seed)
{
    m_load.memoryCapacity = settings.model.memoryCapacity;
    m_load.models = settings.model.models;
    m_timer.setSingleShot(true);
    m_timer.setTimerType(Qt::PreciseTimer);
    m_timer.callOnTimeout([this] {
        advance();
    });
}

quint16 EngineServer::start(quint16 port)
{
    const quint16 chosen = StandinServer::start(port);
    m_settings.model.name = "127.0.0.1:" + std::to_string(chosen);
    m_model = EngineModel(m_settings.model, m_settings.seed);
    EngineEvents events;
    m_model.restart(monotonicNow(), events);
    handleEvents(events);
    return chosen;
}

void EngineServer::handle(const StandinRequest &request, const StandinReplyPointer &reply)
{
    if (request.path.startsWith(KeyValuePrefix)) {
        keyValueSegment(request, *reply);
    } else if (request.method == "GET" && request.path == "/v1/load") {
        reply->sendJson(200, enginejson::toJson(m_load));
    } else if (request.method == "GET" && request.path == "/v1/held") {
        held(reply);
    } else if (request.method == "GET" && request.path == "/v1/cache_events") {
        cacheEvents(request, *reply);
    } else if (request.method == "POST") {
        const std::optional<QJsonObject> body = request.json();
        if (body) {
            handlePost(request.path, *body, reply);
        } else {
            refuse(*reply, 400, {ResultCode::MalformedRequest, "The body is not a JSON object.", std::nullopt});
        }
    } else {
        refuse(*reply, 404, {ResultCode::NotFound, "The path does not exist.", std::nullopt});
    }
}

void EngineServer::handlePost(const QByteArray &path, const QJsonObject &body, const StandinReplyPointer &reply)
{
    if (path == "/v1/completions" || path == "/v1/chat/completions") {
        complete(body, reply);
        return;
    }
    if (path == "/v1/orders") {
        order(body, reply);
        return;
    }
    const std::optional<AttemptId> attempt = parseAttemptId(body["request_id"].toString().toStdString());
    if (path != "/v1/priority" && path != "/v1/cancel") {
        refuse(*reply, 404, {ResultCode::NotFound, "The path does not exist.", std::nullopt});
    } else if (!attempt) {
        refuse(*reply, 400, {ResultCode::InvalidArgument, "request_id: not an attempt id", std::nullopt});
    } else {
        if (path == "/v1/priority") {
            command(EnginePrioritise {*attempt, body["priority"].toInt()});
        } else {
            command(EngineCancel {*attempt});
        }
        reply->sendJson(200, {{"ok", true}});
    }
}

void EngineServer::complete(const QJsonObject &body, const StandinReplyPointer &reply)
{
    const Result<EngineSubmit> parsed = enginejson::parseSubmit(body);
    if (const Error *error = errorOf(parsed)) {
        refuse(*reply, 400, *error);
        return;
    }
    const auto &command = std::get<EngineSubmit>(parsed);
    if (m_streams.contains(command.attempt)) {
        refuse(*reply, 409, {ResultCode::InvalidArgument, "The attempt runs already.", std::nullopt});
        return;
    }
    const bool needsImport =
        command.group && !command.group->importHandle.empty() && !m_model.exportedSegment(command.group->importHandle);
    if (needsImport) {
        importThenSubmit(command, reply);
    } else {
        submit(command, reply);
    }
}

void EngineServer::importThenSubmit(const EngineSubmit &command, const StandinReplyPointer &reply)
{
    const std::string &handle = command.group->importHandle;
    const QString address = QString::fromStdString(handle.substr(0, handle.find('/')));
    QNetworkReply *fetch =
        m_manager.get(QNetworkRequest(QUrl("http://" + address + KeyValuePrefix + QString::fromStdString(handle))));
    QObject::connect(fetch, &QNetworkReply::finished, this, [this, fetch, command, reply, handle] {
        fetch->deleteLater();
        const QJsonObject segment = QJsonDocument::fromJson(fetch->readAll()).object();
        if (fetch->error() == QNetworkReply::NoError && segment.contains("end")) {
            m_model.importSegment(handle, KvSegment {Tokens(segment["end"].toInteger())});
        }
        // Without the segment the model refuses the attempt.
        submit(command, reply);
    });
}

void EngineServer::submit(const EngineSubmit &command, const StandinReplyPointer &reply)
{
    ++m_submitted;
    reply->beginStream("text/event-stream");
    m_streams[command.attempt] = reply;
    if (m_settings.cancelOnDisconnect) {
        reply->onClosed([this, attempt = command.attempt] {
            if (m_streams.contains(attempt)) {
                this->command(EngineCancel {attempt});
            }
        });
    }
    this->command(command);
}

void EngineServer::order(const QJsonObject &body, const StandinReplyPointer &reply)
{
    const Result<UpstreamOrder> parsed = enginejson::parseOrder(body);
    if (const Error *error = errorOf(parsed)) {
        refuse(*reply, 400, *error);
        return;
    }
    EngineOrder order {std::get<UpstreamOrder>(parsed)};
    order.order.call = ++m_lastOrder;
    m_orders[order.order.call] = reply;
    command(order);
}

void EngineServer::held(const StandinReplyPointer &reply)
{
    m_heldCalls.push_back(reply);
    command(EngineListHeld {});
}

void EngineServer::cacheEvents(const StandinRequest &request, StandinReply &reply) const
{
    const auto since = QUrlQuery(QString::fromUtf8(request.query)).queryItemValue("since").toULongLong();
    QJsonArray events;
    for (const EngineCacheEvent &event : m_cacheEvents) {
        if (event.sequence > since) {
            events.append(enginejson::toJson(event));
        }
    }
    reply.sendJson(200, {{"events", events}});
}

void EngineServer::keyValueSegment(const StandinRequest &request, StandinReply &reply)
{
    const std::string handle = request.path.mid(KeyValuePrefix.size()).toStdString();
    if (request.method == "POST") {
        const std::optional<QJsonObject> body = request.json();
        if (!body || !body->contains("end")) {
            refuse(reply, 400, {ResultCode::InvalidArgument, "end: missing", std::nullopt});
            return;
        }
        m_model.importSegment(handle, KvSegment {Tokens((*body)["end"].toInteger())});
        reply.sendJson(200, {{"ok", true}});
        return;
    }
    const std::optional<KvSegment> segment = m_model.exportedSegment(handle);
    if (!segment) {
        refuse(reply, 404, {ResultCode::NotFound, "The engine holds no such segment.", std::nullopt});
        return;
    }
    reply.sendJson(200, {{"end", static_cast<qint64>(segment->end.value())}});
}

Result<QJsonObject> EngineServer::executeOwn(const QJsonObject &command)
{
    if (command.contains("stall_ms")) {
        m_model.stall(monotonicNow() + std::chrono::milliseconds(command["stall_ms"].toInteger()));
        advance();
        return QJsonObject {{"ok", true}};
    }
    if (command["restart"].toBool()) {
        for (const auto &[attempt, reply] : std::exchange(m_streams, {})) {
            reply->abort();
        }
        for (const auto &[call, reply] : std::exchange(m_orders, {})) {
            reply->abort();
        }
        for (const StandinReplyPointer &reply : std::exchange(m_heldCalls, {})) {
            reply->abort();
        }
        EngineEvents events;
        m_model.restart(monotonicNow(), events);
        handleEvents(events);
        advance();
        return QJsonObject {{"ok", true}};
    }
    return StandinServer::executeOwn(command);
}

QJsonObject EngineServer::status() const
{
    return {{"submitted", m_submitted},
            {"finished", m_finished},
            {"open_attempts", static_cast<qint64>(m_model.openAttempts())},
            {"used_tokens", static_cast<qint64>(m_model.usedMemory().value())},
            {"prefilled_tokens", static_cast<qint64>(m_model.prefilledTokens())}};
}

void EngineServer::command(const EngineCommand &command)
{
    EngineEvents events;
    m_model.handle(command, monotonicNow(), events);
    handleEvents(events);
    advance();
}

void EngineServer::advance()
{
    EngineEvents events;
    m_model.advance(monotonicNow(), events);
    handleEvents(events);
    const TimePoint next = m_model.nextEvent();
    if (next == TimePoint::max()) {
        m_timer.stop();
        return;
    }
    const Duration wait = std::max(next - monotonicNow(), Duration::zero());
    m_timer.start(std::chrono::ceil<std::chrono::milliseconds>(wait));
}

void EngineServer::handleEvents(const EngineEvents &events)
{
    for (const EngineEvent &event : events) {
        handleEvent(event);
    }
}

void EngineServer::handleEvent(const EngineEvent &event)
{
    std::visit(Overloaded {
                   [this](const EngineTokens &tokens) {
                       if (const auto stream = m_streams.find(tokens.attempt); stream != m_streams.end()) {
                           stream->second->writeChunk(eventLine(enginejson::toJson(tokens)));
                       }
                   },
                   [this](const EngineFinished &finished) {
                       ++m_finished;
                       endStream(finished.attempt, enginejson::toJson(finished));
                   },
                   [this](const EngineSegmentExported &exported) {
                       endStream(exported.attempt,
                                 {{"request_id", QString::fromStdString(toString(exported.attempt))},
                                  {"segment_handle", QString::fromStdString(exported.handle)}});
                   },
                   [this](const EngineFailed &failed) {
                       endStream(failed.attempt, {{"error", enginejson::toJson(failed.error, !failed.mayHaveStarted)}});
                   },
                   [this](const EngineCancelled &cancelled) {
                       const Error error {ResultCode::AttemptCancelled, "The attempt was cancelled.", std::nullopt};
                       endStream(cancelled.attempt, {{"error", enginejson::toJson(error, false)}});
                   },
                   [this](const EngineHeld &held) {
                       QJsonArray list;
                       for (const AttemptId &attempt : held.attempts) {
                           list.append(QString::fromStdString(toString(attempt)));
                       }
                       const StandinReplyPointer reply = m_heldCalls.front();
                       m_heldCalls.pop_front();
                       reply->sendJson(200, {{"request_ids", list}});
                   },
                   [this](const EngineLoad &load) {
                       m_load = load;
                   },
                   [this](const EngineCacheEvent &cacheEvent) {
                       m_cacheEvents.push_back(cacheEvent);
                       if (m_cacheEvents.size() > m_settings.cacheEventLimit) {
                           m_cacheEvents.pop_front();
                       }
                   },
                   [this](const EngineOrderResult &result) {
                       const StandinReplyPointer reply = m_orders.extract(result.call).mapped();
                       if (result.error) {
                           const bool stale = result.error->code == ResultCode::StaleFencingToken;
                           refuse(*reply, stale ? 409 : 503, *result.error);
                       } else {
                           reply->sendJson(200, {{"ok", true}});
                       }
                   },
                   [](const EngineUp &) {},
                   [](const EngineDown &) {},
               },
               event);
}

void EngineServer::endStream(const AttemptId &attempt, const QJsonObject &lastEvent)
{
    const auto stream = m_streams.find(attempt);
    if (stream == m_streams.end()) {
        return;
    }
    const StandinReplyPointer reply = stream->second;
    m_streams.erase(stream);
    QJsonObject event = lastEvent;
    event["request_id"] = QString::fromStdString(toString(attempt));
    reply->writeChunk(eventLine(event) + "data: [DONE]\n\n");
    reply->endStream();
}

} // namespace ibismast
