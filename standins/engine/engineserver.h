#pragma once

#include "standins/common/standinserver.h"
#include "standins/engine/enginemodel.h"

#include <QNetworkAccessManager>
#include <QTimer>

#include <deque>

namespace ibismast
{

/// Settings of an `EngineServer`.
struct EngineServerSettings
{
    EngineModelSettings model;
    std::uint64_t seed = 1;
    /// True for an engine that cancels an attempt when its client leaves; else the attempt holds memory until it ends.
    bool cancelOnDisconnect = false;
    /// Number of cache events that clients can still ask for.
    std::size_t cacheEventLimit = 10'000;
};

/// HTTP engine around an `EngineModel`, driven by the process's clock.
///
/// Every event of a completion also carries `request_id`, so that a client can recognise a crossed answer. The handle
/// of an exported KV segment begins with the address of its engine; an engine that is asked to import a segment which
/// it does not hold fetches it from there. Own control commands: `{"stall_ms": n}` freezes the engine,
/// `{"restart": true}` replaces it by an empty one and closes all streams.
class EngineServer : public StandinServer
{
public:
    explicit EngineServer(const EngineServerSettings &settings = {});

    /// Listens as `StandinServer::start`; the model's name becomes the address.
    quint16 start(quint16 port);

protected:
    void handle(const StandinRequest &request, const StandinReplyPointer &reply) override;
    Result<QJsonObject> executeOwn(const QJsonObject &command) override;
    [[nodiscard]] QJsonObject status() const override;

private:
    void handlePost(const QByteArray &path, const QJsonObject &body, const StandinReplyPointer &reply);
    void complete(const QJsonObject &body, const StandinReplyPointer &reply);
    void submit(const EngineSubmit &command, const StandinReplyPointer &reply);
    void importThenSubmit(const EngineSubmit &command, const StandinReplyPointer &reply);
    void order(const QJsonObject &body, const StandinReplyPointer &reply);
    void held(const StandinReplyPointer &reply);
    void cacheEvents(const StandinRequest &request, StandinReply &reply) const;
    void keyValueSegment(const StandinRequest &request, StandinReply &reply);

    /// Passes @p command to the model and handles the events.
    void command(const EngineCommand &command);
    void advance();
    void handleEvents(const EngineEvents &events);
    void handleEvent(const EngineEvent &event);
    void endStream(const AttemptId &attempt, const QJsonObject &lastEvent);

    EngineServerSettings m_settings;
    EngineModel m_model;
    QTimer m_timer;
    QNetworkAccessManager m_manager;
    std::map<AttemptId, StandinReplyPointer> m_streams;
    std::deque<StandinReplyPointer> m_heldCalls;
    std::map<std::uint64_t, StandinReplyPointer> m_orders;
    std::uint64_t m_lastOrder = 0;
    EngineLoad m_load;
    std::deque<EngineCacheEvent> m_cacheEvents;
    qint64 m_submitted = 0;
    qint64 m_finished = 0;
};

} // namespace ibismast
