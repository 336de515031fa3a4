#include "adapters/engineclient.h"

#include "adapters/enginejson.h"
#include "adapters/plumbing/jsontext.h"

namespace ibismast
{

namespace
{

constexpr std::size_t MaxRefusalBytes = std::size_t {64} * 1024;

bool succeeded(const CallEnd &end)
{
    return !end.error && end.head.status == 200;
}

std::chrono::milliseconds inMilliseconds(Duration duration)
{
    return std::chrono::ceil<std::chrono::milliseconds>(duration);
}

} // namespace

EngineClient::EngineClient(const EngineClientSettings &settings, EventHandler handler)
    : m_settings(settings), m_handler(std::move(handler))
{
    connect(&m_loadTimer, &QTimer::timeout, this, &EngineClient::readLoad);
    connect(&m_cacheTimer, &QTimer::timeout, this, &EngineClient::readCacheEvents);
}

EngineClient::~EngineClient()
{
    stop();
}

void EngineClient::start()
{
    m_loadTimer.start(inMilliseconds(m_settings.loadInterval));
    m_cacheTimer.start(inMilliseconds(m_settings.cacheInterval));
    readLoad();
}

void EngineClient::stop()
{
    m_loadTimer.stop();
    m_cacheTimer.stop();
    for (auto &[attempt, stream] : std::exchange(m_streams, {})) {
        stream.call->abandon();
    }
    for (OutgoingCall *call : std::exchange(m_calls, {})) {
        call->abandon();
    }
    m_readingLoad = false;
    m_readingCache = false;
}

void EngineClient::execute(const EngineCommand &command)
{
    std::visit(Overloaded {[this](const EngineSubmit &value) {
                               submit(value);
                           },
                           [this](const EnginePrioritise &value) {
                               prioritise(value);
                           },
                           [this](const EngineCancel &value) {
                               cancel(value);
                           },
                           [this](const EngineListHeld &) {
                               listHeld();
                           },
                           [this](const EngineOrder &value) {
                               order(value);
                           }},
               command);
}

void EngineClient::setPaused(Incarnation entry, bool paused)
{
    if (paused) {
        m_paused.insert(entry);
    } else {
        m_paused.erase(entry);
    }
    std::vector<AttemptId> concerned;
    for (const auto &[attempt, stream] : m_streams) {
        if (attempt.request.entry == entry) {
            concerned.push_back(attempt);
        }
    }
    // Resuming may end streams, so the map is searched again for each.
    for (const AttemptId &attempt : concerned) {
        if (const auto stream = m_streams.find(attempt); stream != m_streams.end()) {
            stream->second.call->setPaused(paused);
        }
    }
}

std::size_t EngineClient::streamCount() const
{
    return m_streams.size();
}

void EngineClient::submit(const EngineSubmit &command)
{
    const AttemptId attempt = command.attempt;
    auto *call =
        new OutgoingCall(m_settings.endpoint, "POST", command.chat ? "/v1/chat/completions" : "/v1/completions");
    call->setBody("application/json", QByteArray::fromStdString(engineSubmitBody(command)));
    call->setBodyHandler([this, attempt](const HttpHead &head, const std::string &part) {
        onStreamPart(attempt, head, part);
    });
    m_streams.insert_or_assign(attempt, Stream {call, EventStreamReader(m_settings.maxEventBytes), {}, false, false});
    if (m_paused.contains(attempt.request.entry)) {
        call->setPaused(true);
    }
    call->start([this, attempt](const CallEnd &end) {
        onStreamEnd(attempt, end);
    });
}

void EngineClient::onStreamPart(const AttemptId &attempt, const HttpHead &head, const std::string &part)
{
    const auto found = m_streams.find(attempt);
    if (found == m_streams.end()) {
        return;
    }
    Stream &stream = found->second;
    if (head.status != 200) {
        // A refusal is one JSON object; what an engine sends beyond the limit is not kept.
        stream.refusal.append(part, 0, MaxRefusalBytes - std::min(MaxRefusalBytes, stream.refusal.size()));
        return;
    }
    for (const std::string &line : stream.reader.append(part)) {
        if (line == "[DONE]" || stream.ended || stream.cancelled) {
            continue;
        }
        const std::optional<EngineEvent> event = parseStreamEvent(attempt, line);
        if (!event) {
            stream.ended = true;
            report(EngineFailed {attempt, {ResultCode::UpstreamFailed, "an event is malformed", std::nullopt}, true});
            continue;
        }
        stream.ended = !std::holds_alternative<EngineTokens>(*event);
        report(*event);
    }
    if (stream.reader.overflowed() && !stream.ended) {
        stream.ended = true;
        report(EngineFailed {attempt, {ResultCode::UpstreamFailed, "an event is too large", std::nullopt}, true});
    }
}

void EngineClient::onStreamEnd(const AttemptId &attempt, const CallEnd &end)
{
    const auto found = m_streams.find(attempt);
    if (found == m_streams.end()) {
        return;
    }
    const Stream stream = found->second;
    m_streams.erase(found);
    if (stream.ended || stream.cancelled) {
        return;
    }
    if (!end.error && end.head.status != 200) {
        bool notRun = false;
        Error refusal = parseEngineError(stream.refusal, end.head.status, notRun);
        report(EngineFailed {attempt, std::move(refusal), !notRun});
        return;
    }
    Error error = end.error.value_or(
        Error {ResultCode::UpstreamFailed, "the engine ended the stream before its last token", std::nullopt});
    report(EngineFailed {attempt, std::move(error), end.mayHaveBeenSent});
    // A broken stream is often the first sign that the engine is gone.
    readLoad();
}

void EngineClient::prioritise(const EnginePrioritise &command)
{
    send("POST",
         "/v1/priority",
         R"({"request_id":)" + jsonString(toString(command.attempt)) + R"(,"priority":)"
             + std::to_string(command.priority) + '}',
         [](const CallEnd &) {});
}

void EngineClient::cancel(const EngineCancel &command)
{
    const AttemptId attempt = command.attempt;
    if (const auto stream = m_streams.find(attempt); stream != m_streams.end()) {
        stream->second.cancelled = true;
    }
    send("POST",
         "/v1/cancel",
         R"({"request_id":)" + jsonString(toString(attempt)) + '}',
         [this, attempt](const CallEnd &end) {
             // The core repeats a cancel that is not confirmed.
             if (end.error || (end.head.status != 200 && end.head.status != 404)) {
                 return;
             }
             if (const auto stream = m_streams.find(attempt); stream != m_streams.end()) {
                 stream->second.call->abandon();
                 m_streams.erase(stream);
             }
             report(EngineCancelled {attempt});
         });
}

void EngineClient::listHeld()
{
    send("GET", "/v1/held", {}, [this](const CallEnd &end) {
        if (const std::optional<EngineHeld> held = succeeded(end) ? parseHeld(end.body) : std::nullopt) {
            report(*held);
        }
    });
}

void EngineClient::order(const EngineOrder &command)
{
    const std::uint64_t call = command.order.call;
    send("POST", "/v1/orders", engineOrderBody(command.order), [this, call](const CallEnd &end) {
        if (succeeded(end)) {
            report(EngineOrderResult {call, std::nullopt});
            return;
        }
        bool notRun = false;
        Error error = end.error ? *end.error : parseEngineError(end.body, end.head.status, notRun);
        if (!end.error && end.head.status == 409) {
            error.code = ResultCode::StaleFencingToken;
        }
        report(EngineOrderResult {call, std::move(error)});
    });
}

void EngineClient::readLoad()
{
    if (m_readingLoad) {
        return;
    }
    m_readingLoad = true;
    send("GET", "/v1/load", {}, [this](const CallEnd &end) {
        m_readingLoad = false;
        const std::optional<EngineLoad> load = succeeded(end) ? parseLoad(end.body) : std::nullopt;
        noteReachable(load.has_value());
        if (load) {
            report(*load);
        }
    });
}

void EngineClient::readCacheEvents()
{
    if (m_readingCache || !m_up) {
        return;
    }
    m_readingCache = true;
    const QByteArray target = "/v1/cache_events?since=" + QByteArray::number(static_cast<quint64>(m_cacheSequence));
    send("GET", target, {}, [this](const CallEnd &end) {
        m_readingCache = false;
        const auto events = succeeded(end) ? parseCacheEvents(end.body) : std::nullopt;
        if (!events) {
            return;
        }
        for (const EngineCacheEvent &event : *events) {
            m_cacheSequence = std::max(m_cacheSequence, event.sequence);
            report(event);
        }
    });
}

void EngineClient::noteReachable(bool reachable)
{
    m_failures = reachable ? 0 : m_failures + 1;
    if (reachable && !m_up) {
        m_up = true;
        // A new run of the engine counts its cache events from the beginning.
        m_cacheSequence = 0;
        report(EngineUp {});
    } else if (m_up && m_failures >= m_settings.failuresUntilDown) {
        m_up = false;
        report(EngineDown {});
    }
}

void EngineClient::send(const QByteArray &method,
                        const QByteArray &target,
                        const std::string &body,
                        OutgoingCall::EndHandler end)
{
    auto *call = new OutgoingCall(m_settings.endpoint, method, target);
    call->setTimeout(m_settings.callTimeout);
    if (!body.empty()) {
        call->setBody("application/json", QByteArray::fromStdString(body));
    }
    m_calls.insert(call);
    call->start([this, call, handler = std::move(end)](CallEnd result) {
        m_calls.erase(call);
        handler(std::move(result));
    });
}

void EngineClient::report(const EngineEvent &event)
{
    m_handler(event);
}

} // namespace ibismast
