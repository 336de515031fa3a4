#pragma once

#include "adapters/eventstream.h"
#include "adapters/outgoingcall.h"

#include "ibismast/core/upstreammessages.h"

#include <map>
#include <set>

namespace ibismast
{

/// Settings of the connection to the engine.
struct EngineClientSettings
{
    HttpEndpoint endpoint;
    /// Interval at which the engine's load is read. It also shows whether the engine is reachable.
    Duration loadInterval = std::chrono::milliseconds(200);
    /// Interval at which the engine's cache events are read.
    Duration cacheInterval = std::chrono::seconds(1);
    /// Time for the short calls. Streams have no limit here: the core ends them at their deadline.
    Duration callTimeout = std::chrono::seconds(2);
    /// Failed reads of the load after which the engine counts as unreachable.
    unsigned failuresUntilDown = 3;
    /// Largest event of a stream in bytes.
    std::size_t maxEventBytes = std::size_t {1024} * 1024;
};

/// Carries out the agent's commands on the engine and reports its events.
class EngineClient : public QObject
{
public:
    using EventHandler = std::function<void(const EngineEvent &event)>;

    EngineClient(const EngineClientSettings &settings, EventHandler handler);
    ~EngineClient() override;

    /// Begins to read the engine's load and cache events.
    void start();
    /// Stops reading and closes all streams; the engine cancels or keeps them.
    void stop();
    /// Carries out @p command.
    void execute(const EngineCommand &command);
    /// Stops or resumes reading the streams of the entry of incarnation @p entry.
    void setPaused(Incarnation entry, bool paused);
    /// Number of open streams.
    [[nodiscard]] std::size_t streamCount() const;

private:
    struct Stream
    {
        OutgoingCall *call = nullptr;
        EventStreamReader reader;
        /// Answer of an engine that refused the call.
        std::string refusal;
        /// True once an event has told the end of the attempt.
        bool ended = false;
        /// True once a cancel is on its way; the stream's events are of no interest any more.
        bool cancelled = false;
    };

    void submit(const EngineSubmit &command);
    void onStreamPart(const AttemptId &attempt, const HttpHead &head, const std::string &part);
    void onStreamEnd(const AttemptId &attempt, const CallEnd &end);
    void prioritise(const EnginePrioritise &command);
    void cancel(const EngineCancel &command);
    void listHeld();
    void order(const EngineOrder &command);
    void readLoad();
    void readCacheEvents();
    void noteReachable(bool reachable);
    void
    send(const QByteArray &method, const QByteArray &target, const std::string &body, OutgoingCall::EndHandler end);
    void report(const EngineEvent &event);

    EngineClientSettings m_settings;
    EventHandler m_handler;
    QTimer m_loadTimer;
    QTimer m_cacheTimer;
    std::map<AttemptId, Stream> m_streams;
    /// Short calls in progress, closed when this object goes.
    std::set<OutgoingCall *> m_calls;
    std::set<Incarnation> m_paused;
    std::uint64_t m_cacheSequence = 0;
    unsigned m_failures = 0;
    bool m_up = false;
    bool m_readingLoad = false;
    bool m_readingCache = false;
};

} // namespace ibismast
