#include "adapters/relay/relayprocess.h"

#include "adapters/plumbing/processclock.h"

namespace ibismast
{

namespace
{

/// Idle connections kept for each upstream.
constexpr std::size_t MaxIdlePerUpstream = 24;

} // namespace

// The part of RelayProcess between callers' and upstreams' connections. Constructor and destructor stand here, where
// the type of an exchange is complete.

/// Sockets of one open call.
struct RelayProcess::Exchange
{
    std::shared_ptr<CallerConnection> caller;
    std::string requestId;
    std::string body;
    /// Account of the body and of its copy in the connection to the upstream.
    std::optional<HeldRequest> held;
    int attempt = 0;
    UpstreamRecord upstream;
    std::shared_ptr<UpstreamConnection> connection;
    /// True while the answer is not read since the caller is slow.
    bool paused = false;
    /// Head of the answer of the present attempt.
    HttpHead answer;
};

RelayProcess::RelayProcess(boost::asio::io_context &loop,
                           RelaySettings settings,
                           const Platform &platform,
                           Incarnation incarnation,
                           EventListener &listener,
                           Metrics &metrics)
    : m_loop(&loop)
    , m_settings(std::move(settings))
    , m_platform(platform)
    , m_incarnation(incarnation)
    , m_listener(&listener)
    , m_metrics(&metrics)
    , m_core(m_settings.core, incarnation.value(), listener)
    , m_watch(m_settings.watch, *platform.decoder, m_core, incarnation.value() + 1, listener)
    , m_pool(loop, m_settings.upstream, MaxIdlePerUpstream)
    , m_callers(loop, *this, m_settings.clients)
    , m_readyPage(loop)
    , m_copyPage(loop)
    , m_metricsPage(loop)
    , m_peers(loop,
              [this](const EntryNews &news) {
                  receiveNews(news);
              })
    , m_timer(loop)
{
    m_platform.orders->setNoticeHandler([this](const UpstreamRecord &engine, const UpstreamNotice &notice) {
        m_core.sideNoticeReceived(engine, notice, processNow());
    });
}

RelayProcess::~RelayProcess()
{
    m_platform.orders->setNoticeHandler(nullptr);
}

void RelayProcess::requestReceived(const std::shared_ptr<CallerConnection> &connection, std::string body)
{
    const HttpHead &request = connection->request();
    Result<IncomingCall> decoded = m_platform.protocol->decodeCall(request);
    if (const Error *error = errorOf(decoded)) {
        refuse(*connection, {}, *error);
        return;
    }
    // An entry that has fallen behind reads requests whose callers have left meanwhile.
    if (connection->callerHasLeft()) {
        connection->cut();
        return;
    }
    auto &incoming = std::get<IncomingCall>(decoded);
    incoming.contentHash = requestContentHash(request.method, request.target, body);
    incoming.bodyBytes = static_cast<std::int64_t>(body.size());
    const auto held = static_cast<std::int64_t>(2 * body.size());
    if (!m_callers.limits().mayStart(held)) {
        refuse(*connection, incoming.requestId, {ResultCode::QueueFull, "requests hold too much memory", std::nullopt});
        return;
    }
    RelayActions actions;
    const Result<CallNumber> admitted = m_core.submit(incoming, processNow(), actions);
    if (const Error *error = errorOf(admitted)) {
        refuse(*connection, incoming.requestId, *error);
        return;
    }
    const CallNumber number = std::get<CallNumber>(admitted);
    if (const std::optional<TimePoint> deadline = m_core.deadlineOf(number)) {
        connection->keepUnreadUntil(*deadline);
    }
    auto exchange = std::make_unique<Exchange>();
    exchange->caller = connection;
    exchange->requestId = incoming.requestId;
    exchange->body = std::move(body);
    exchange->held.emplace(m_callers.limits(), held);
    m_exchanges.emplace(number, std::move(exchange));
    m_callOf.emplace(connection.get(), number);
    perform(actions);
    sendNews();
    armTimer();
}

void RelayProcess::callerGone(const std::shared_ptr<CallerConnection> &connection)
{
    const auto found = m_callOf.find(connection.get());
    if (found == m_callOf.end()) {
        return;
    }
    const CallNumber number = found->second;
    RelayActions actions;
    m_core.callerDisconnected(number, processNow(), actions);
    perform(actions);
    closeExchange(number);
    sendNews();
}

void RelayProcess::closeExchange(CallNumber number)
{
    const auto found = m_exchanges.find(number);
    if (found == m_exchanges.end()) {
        return;
    }
    if (found->second->connection) {
        found->second->connection->close();
    }
    m_callOf.erase(found->second->caller.get());
    m_exchanges.erase(found);
}

HttpHeadBuilder RelayProcess::answerHead(const Exchange &exchange) const
{
    HttpHeadBuilder head = HttpHeadBuilder::response(exchange.answer.status);
    head.endToEnd(exchange.answer, [](std::string_view /*name*/) {
        return false;
    });
    return head;
}

/// Carries out the actions for one call.
class RelayProcess::ActionRunner
{
public:
    ActionRunner(RelayProcess &process, CallNumber number, Exchange &exchange)
        : m_process(&process), m_number(number), m_exchange(&exchange)
    {
    }

    void operator()(const StartAttempt &start)
    {
        m_process->startAttempt(m_number, *m_exchange, start);
    }
    void operator()(const ReserveEngineMemory &reserve)
    {
        m_process->reserveMemory(m_number, reserve);
    }
    void operator()(const ReleaseEngineMemory &release)
    {
        for (const AttemptHelper &holder : release.holders) {
            m_process->m_reservations.release(holder, processNow());
        }
        m_process->sendReleases();
    }
    void operator()(const InspectEngineMemory &inspect)
    {
        m_process->inspectMemory(m_number, inspect);
    }
    void operator()(const AbortAttempt & /*abort*/)
    {
        if (m_exchange->connection) {
            m_exchange->connection->close();
            m_exchange->connection.reset();
        }
    }
    void operator()(const SendHead & /*send*/)
    {
        m_exchange->caller->beginBody(m_process->answerHead(*m_exchange));
    }
    void operator()(const SetResponsePaused &pause)
    {
        m_exchange->paused = pause.paused;
        if (m_exchange->connection) {
            m_exchange->connection->setPaused(pause.paused);
        }
    }
    void operator()(const SendBody &send)
    {
        const std::shared_ptr<CallerConnection> caller = m_exchange->caller;
        caller->sendBody(send.bytes);
        m_process->reportBacklog(m_number, *caller);
    }
    void operator()(const EndBody & /*end*/)
    {
        finish([](CallerConnection &caller) {
            caller.endBody();
        });
    }
    void operator()(const SendFullResponse &send)
    {
        finish([&](CallerConnection &caller) {
            caller.answer(m_process->answerHead(*m_exchange), send.body);
        });
    }
    void operator()(const Refuse &refusal)
    {
        finish([&](CallerConnection &caller) {
            m_process->refuse(caller, m_exchange->requestId, {refusal.code, refusal.reason, refusal.retryAfter});
        });
    }
    void operator()(const CloseCallerConnection & /*cut*/)
    {
        finish([](CallerConnection &caller) {
            caller.cut();
        });
    }

private:
    /// The caller may send its next request while its answer ends, so the call is forgotten first.
    template<typename Answer> void finish(Answer answer)
    {
        m_process->m_callOf.erase(m_exchange->caller.get());
        const std::shared_ptr<CallerConnection> caller = m_exchange->caller;
        answer(*caller);
    }

    RelayProcess *m_process;
    CallNumber m_number;
    Exchange *m_exchange;
};

void RelayProcess::reportBacklog(CallNumber number, const CallerConnection &caller)
{
    const auto found = m_exchanges.find(number);
    if (found == m_exchanges.end()) {
        return;
    }
    const std::size_t unsent = caller.unsentBytes();
    if (!found->second->paused && unsent <= m_settings.core.call.maxCallerBacklog) {
        return;
    }
    RelayActions actions;
    m_core.callerBacklogChanged(number, unsent, processNow(), actions);
    perform(actions);
    armTimer();
}

void RelayProcess::outputSent(const std::shared_ptr<CallerConnection> &connection)
{
    if (const auto call = m_callOf.find(connection.get()); call != m_callOf.end()) {
        reportBacklog(call->second, *connection);
    }
}

void RelayProcess::perform(const RelayActions &actions)
{
    for (const RelayAction &action : actions) {
        const auto found = m_exchanges.find(action.call);
        if (found == m_exchanges.end()) {
            continue;
        }
        std::visit(ActionRunner(*this, action.call, *found->second), action.action);
        const bool last = std::holds_alternative<EndBody>(action.action)
            || std::holds_alternative<SendFullResponse>(action.action) || std::holds_alternative<Refuse>(action.action)
            || std::holds_alternative<CloseCallerConnection>(action.action);
        if (last) {
            m_exchanges.erase(action.call);
        }
    }
}

void RelayProcess::startAttempt(CallNumber number, Exchange &exchange, const StartAttempt &start)
{
    const UpstreamRecord &upstream = start.plan.upstream;
    exchange.attempt = start.attempt;
    exchange.paused = false;
    exchange.upstream = upstream;
    const auto endpoint = parseTcpEndpoint(upstream.address.value());
    if (!endpoint) {
        boost::asio::post(*m_loop, [this, number, attempt = start.attempt] {
            answerHandler(number, attempt).onFailed(AttemptFailure::NotSent, "the upstream's address is invalid");
        });
        return;
    }
    UpstreamCallDetails details;
    details.requestId = exchange.requestId;
    details.upstream = upstream.id;
    details.lastEventId = start.lastEventId;
    details.timeLeft = start.timeLeft;
    details.customer = m_core.customerOf(number);
    details.helpers = start.plan.helpers;
    details.rank = start.rank;
    const HttpHead &request = exchange.caller->request();
    HttpHeadBuilder head = HttpHeadBuilder::request(request.method, request.target);
    head.endToEnd(request, [this](std::string_view name) {
        return m_platform.protocol->isReplaced(name);
    });
    head.headers(m_platform.protocol->upstreamHeaders(details));
    if (!exchange.body.empty() || !request.header("Content-Length").empty()
        || !request.header("Transfer-Encoding").empty()) {
        head.header("Content-Length", std::to_string(exchange.body.size()));
    }
    exchange.connection = m_pool.take(upstream.id, *endpoint, processNow());
    exchange.connection->send(head.build() + exchange.body, answerHandler(number, start.attempt));
}

void RelayProcess::reserveMemory(CallNumber number, const ReserveEngineMemory &reserve)
{
    struct Grants
    {
        std::size_t open = 0;
        bool all = true;
    };
    const auto grants = std::make_shared<Grants>();
    grants->open = reserve.holders.size();
    const TimePoint now = processNow();
    for (const AttemptHelper &holder : reserve.holders) {
        Duration hold = reserve.ttl;
        if (const std::optional<TimePoint> pauseEnd = m_core.pauseEnd(holder.upstream, now);
            pauseEnd && reserve.extends) {
            // The call loses its memory unless the one order that a paused engine takes extends it beyond the pause.
            if (!extensionIsUrgent(m_reservations.heldUntil(holder.reservationId), now)
                || !m_core.takeOrder(holder.upstream, PausedOrder::Extend, now)) {
                continue;
            }
            hold = holdThroughPause(hold, reserve.latestEnd, *pauseEnd, now);
        }
        m_reservations.reserveSent(holder.reservationId, now + hold, now);
        m_platform.orders->reserve(holder,
                                   hold,
                                   [this,
                                    number,
                                    grants,
                                    reservation = holder.reservationId,
                                    end = now + hold,
                                    attempt = reserve.attempt,
                                    extends = reserve.extends](ReserveOutcome outcome) {
                                       m_reservations.reserveEnded(
                                           reservation, outcome != ReserveOutcome::Unanswered, processNow());
                                       if (outcome == ReserveOutcome::Granted) {
                                           m_reservations.granted(reservation, end);
                                       }
                                       grants->all = grants->all && outcome == ReserveOutcome::Granted;
                                       if (--grants->open > 0 || extends) {
                                           armTimer();
                                           return;
                                       }
                                       RelayActions actions;
                                       m_core.memoryReserved(number, attempt, grants->all, processNow(), actions);
                                       perform(actions);
                                       sendNews();
                                       armTimer();
                                   });
    }
}

void RelayProcess::inspectMemory(CallNumber number, const InspectEngineMemory &inspect)
{
    if (m_core.pauseEnd(inspect.holder.upstream, processNow())) {
        return;
    }
    m_platform.orders->inspect(
        inspect.holder,
        [this, number, attempt = inspect.attempt, reservation = inspect.holder.reservationId](ReservationState state) {
            RelayActions actions;
            m_core.reservationInspected(number, attempt, reservation, state, processNow(), actions);
            perform(actions);
            sendNews();
            armTimer();
        });
}

AnswerHandler RelayProcess::answerHandler(CallNumber number, int attempt)
{
    // Runs a step of the core and everything that follows from it.
    const auto step = [this](const auto &call) {
        RelayActions actions;
        call(actions);
        perform(actions);
        sendNews();
        armTimer();
    };
    AnswerHandler handler;
    handler.onHead = [this, number, attempt, step](const HttpHead &head) {
        const auto found = m_exchanges.find(number);
        if (found == m_exchanges.end()) {
            return true;
        }
        Exchange &exchange = *found->second;
        const DecodedAnswer decoded = m_platform.protocol->decodeAnswer(head, exchange.requestId);
        // On a new connection there is no earlier answer to repeat, and none but this one to wait for.
        const bool kept = exchange.connection && exchange.connection->hasAnswered();
        if (decoded.foreign || (decoded.unidentified && kept)) {
            m_listener->onEvent("foreign_answer_skipped",
                                {{"request", exchange.requestId},
                                 {"upstream", exchange.upstream.id.value()},
                                 {"status", std::to_string(head.status)},
                                 {"identified", decoded.foreign ? "true" : "false"}});
            // A late response may be of any age, but a shutdown is not taken back.
            m_core.sideNoticeReceived(exchange.upstream, {.leaving = decoded.head.notice.leaving}, processNow());
            return false;
        }
        exchange.answer = head;
        step([&](RelayActions &actions) {
            m_core.headReceived(number, attempt, decoded.head, processNow(), actions);
        });
        return true;
    };
    handler.onBody = [this, number, attempt, step](std::string_view bytes) {
        step([&](RelayActions &actions) {
            m_core.bodyReceived(number, attempt, bytes, processNow(), actions);
        });
    };
    handler.onEnd = [this, number, attempt, step] {
        const auto found = m_exchanges.find(number);
        if (found != m_exchanges.end() && found->second->connection) {
            m_pool.giveBack(found->second->upstream.id, found->second->connection);
            found->second->connection.reset();
        }
        step([&](RelayActions &actions) {
            m_core.responseCompleted(number, attempt, processNow(), actions);
        });
    };
    handler.onFailed = [this, number, attempt, step](AttemptFailure failure, const std::string &reason) {
        step([&](RelayActions &actions) {
            m_core.attemptFailed(number, attempt, failure, reason, processNow(), actions);
        });
    };
    return handler;
}

} // namespace ibismast
