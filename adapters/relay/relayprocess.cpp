#include "adapters/relay/relayprocess.h"

#include "adapters/plumbing/jsontext.h"
#include "adapters/plumbing/logging.h"
#include "adapters/plumbing/processclock.h"

#include <fmt/format.h>

namespace ibismast
{

namespace
{

using ErrorCode = boost::system::error_code;

/// Path at which entries hand out their copies of the platform's records.
constexpr const char *CopyPath = "/copy";
constexpr const char *MetricsPath = "/metrics";
/// Entries greet each other this often; it carries what must not be missed.
constexpr Duration GreetingInterval = std::chrono::milliseconds(500);
constexpr Duration HousekeepingInterval = std::chrono::seconds(1);
/// Longest pause of the timer, so that reads of the store stay on time.
constexpr Duration LongestPause = std::chrono::milliseconds(100);
/// Placements in one datagram, which stays below the usual packet size unless long prompts are among them.
constexpr std::size_t PlacementsPerDatagram = 8;
/// Idle connections kept for each upstream.
constexpr std::size_t MaxIdlePerUpstream = 24;

constexpr int OkStatus = 200;
constexpr int UnavailableStatus = 503;

} // namespace

/// Sockets of one open call.
struct RelayProcess::Exchange
{
    std::shared_ptr<CallerConnection> caller;
    std::string requestId;
    std::string body;
    int attempt = 0;
    InstanceId upstream;
    std::shared_ptr<UpstreamConnection> connection;
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
    , m_callers(loop, *this, m_settings.maxConnections)
    , m_readyPage(loop)
    , m_copyPage(loop)
    , m_metricsPage(loop)
    , m_peers(loop,
              [this](const EntryNews &news) {
                  receiveNews(news);
              })
    , m_timer(loop)
{
}

RelayProcess::~RelayProcess() = default;

Result<Success> RelayProcess::start()
{
    m_readyPage.add(m_platform.readyPath, [this] {
        const bool ready = m_core.ready() && !m_stopBegun;
        return Page {ready ? OkStatus : UnavailableStatus, "text/plain", ready ? "ready\n" : "not ready\n"};
    });
    m_copyPage.add(CopyPath, [this] {
        return Page {OkStatus, "application/octet-stream", encodeRecordCopy(m_watch.copy(processNow()))};
    });
    m_metricsPage.add(MetricsPath, [this] {
        return Page {OkStatus, "text/plain; version=0.0.4", metricsText()};
    });
    std::vector<Result<Success>> results;
    results.push_back(m_callers.listen(m_settings.listen));
    results.push_back(m_readyPage.listen(m_settings.ready));
    results.push_back(m_copyPage.listen(m_settings.control));
    if (m_settings.metrics) {
        results.push_back(m_metricsPage.listen(*m_settings.metrics));
    }
    results.push_back(m_peers.open(m_settings.peers));
    for (const Result<Success> &result : results) {
        if (const Error *error = errorOf(result)) {
            return *error;
        }
    }
    for (const std::string &seed : m_settings.seeds) {
        m_core.members().named(seed, processNow());
    }
    tick();
    return Success {};
}

RelayLimits RelayProcess::limits() const
{
    const RelayConfig *config = m_core.config();
    return config != nullptr ? config->limits : RelayLimits();
}

void RelayProcess::requestReceived(const std::shared_ptr<CallerConnection> &connection, std::string body)
{
    const Result<IncomingCall> decoded = m_platform.protocol->decodeCall(connection->request());
    if (const Error *error = errorOf(decoded)) {
        refuse(*connection, {}, *error);
        return;
    }
    const auto &incoming = std::get<IncomingCall>(decoded);
    RelayActions actions;
    const Result<CallNumber> admitted = m_core.submit(incoming, processNow(), actions);
    if (const Error *error = errorOf(admitted)) {
        refuse(*connection, incoming.requestId, *error);
        return;
    }
    const CallNumber number = std::get<CallNumber>(admitted);
    auto exchange = std::make_unique<Exchange>();
    exchange->caller = connection;
    exchange->requestId = incoming.requestId;
    exchange->body = std::move(body);
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
    m_core.callerGone(number, processNow(), actions);
    perform(actions);
    closeExchange(number);
    sendNews();
}

void RelayProcess::refuse(CallerConnection &connection, const std::string &requestId, const Error &error)
{
    const ResultCodeInfo &info = resultCodeInfo(error.code);
    m_listener->onEvent(
        "call_refused",
        {{"request", requestId},
         {"code", std::string(info.name)},
         {"status", std::to_string(info.httpStatus)},
         {"reason", error.message},
         {"config_version",
          m_core.config() != nullptr ? std::to_string(m_core.config()->version.value()) : std::string("none")}});
    HttpHeadBuilder head = HttpHeadBuilder::response(info.httpStatus);
    head.headers(m_platform.protocol->ownAnswerHeaders(requestId)).header("Content-Type", "application/json");
    if (error.retryAfter) {
        head.header("Retry-After", fmt::format("{:.2f}", toSeconds(*error.retryAfter)));
    }
    connection.answer(std::move(head),
                      fmt::format(R"({{"code":{},"name":"{}","message":{}}})",
                                  static_cast<int>(error.code),
                                  info.name,
                                  jsonString(error.message)));
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
            m_process->m_platform.orders->release(holder);
        }
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
    void operator()(const SendBody &send)
    {
        m_exchange->caller->sendBody(send.bytes);
    }
    void operator()(const EndBody & /*end*/)
    {
        finish([](CallerConnection &caller) {
            caller.endBody();
        });
    }
    void operator()(const SendWhole &send)
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
    void operator()(const CutCaller & /*cut*/)
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

void RelayProcess::perform(const RelayActions &actions)
{
    for (const RelayAction &action : actions) {
        const auto found = m_exchanges.find(action.call);
        if (found == m_exchanges.end()) {
            continue;
        }
        std::visit(ActionRunner(*this, action.call, *found->second), action.action);
        const bool last = std::holds_alternative<EndBody>(action.action)
            || std::holds_alternative<SendWhole>(action.action) || std::holds_alternative<Refuse>(action.action)
            || std::holds_alternative<CutCaller>(action.action);
        if (last) {
            m_exchanges.erase(action.call);
        }
    }
}

void RelayProcess::startAttempt(CallNumber number, Exchange &exchange, const StartAttempt &start)
{
    const UpstreamRecord &upstream = start.plan.upstream;
    exchange.attempt = start.attempt;
    exchange.upstream = upstream.id;
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
    for (const AttemptHelper &holder : reserve.holders) {
        m_platform.orders->reserve(
            holder,
            reserve.hold,
            [this, number, grants, attempt = reserve.attempt, extends = reserve.extends](bool granted) {
                grants->all = grants->all && granted;
                if (--grants->open > 0 || extends) {
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
        const DecodedAnswer decoded = m_platform.protocol->decodeAnswer(head, found->second->requestId);
        if (decoded.foreign) {
            m_listener->onEvent("foreign_answer_skipped",
                                {{"request", found->second->requestId},
                                 {"upstream", found->second->upstream.value()},
                                 {"status", std::to_string(head.status)}});
            return false;
        }
        found->second->answer = head;
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
            m_pool.giveBack(found->second->upstream, found->second->connection);
            found->second->connection.reset();
        }
        step([&](RelayActions &actions) {
            m_core.answerEnded(number, attempt, processNow(), actions);
        });
    };
    handler.onFailed = [this, number, attempt, step](AttemptFailure failure, const std::string &reason) {
        step([&](RelayActions &actions) {
            m_core.attemptFailed(number, attempt, failure, reason, processNow(), actions);
        });
    };
    return handler;
}

void RelayProcess::receiveNews(const EntryNews &news)
{
    if (news.sender.id == m_settings.core.self) {
        return;
    }
    const TimePoint now = processNow();
    const MemberView::News membership = m_core.members().heard(news.sender, now);
    if (membership != MemberView::News::None) {
        m_listener->onEvent("entry_heard",
                            {{"entry", news.sender.id.value()},
                             {"address", news.sender.address},
                             {"restarted", membership == MemberView::News::Restarted ? "true" : "false"}});
        m_core.dropEntry(news.sender.id, now);
        sendOwnWork(news.sender.address, now);
    }
    for (const std::string &address : news.heard) {
        if (parseUdpEndpoint(address) != m_settings.peers) {
            m_core.members().named(address, now);
        }
    }
    m_watch.noteEntry(news.copyAddress, news.configVersion, now);
    m_core.applyNews(news.sender.id, news.load, now);
    if (m_core.config() == nullptr || news.configVersion > m_core.config()->version) {
        tick();
    }
}

void RelayProcess::sendNews()
{
    LoadNews load = m_core.takeNews();
    if (load.empty()) {
        return;
    }
    EntryNews news = emptyNews();
    news.load = std::move(load);
    m_peers.send(news, m_core.members().addresses());
}

EntryNews RelayProcess::emptyNews() const
{
    EntryNews news;
    news.sender = {m_settings.core.self,
                   m_incarnation,
                   m_settings.peers.address().to_string() + ":" + std::to_string(m_settings.peers.port())};
    news.copyAddress = m_settings.control.address().to_string() + ":" + std::to_string(m_settings.control.port());
    news.configVersion = m_core.config() != nullptr ? m_core.config()->version : RelayConfigVersion();
    news.listRevision = m_watch.listRevision();
    return news;
}

void RelayProcess::sendOwnWork(const std::string &address, TimePoint now)
{
    const std::vector<Placement> placements = m_core.ownPlacements(now);
    for (std::size_t start = 0; start < placements.size(); start += PlacementsPerDatagram) {
        EntryNews news = emptyNews();
        const std::size_t end = std::min(start + PlacementsPerDatagram, placements.size());
        news.load.placed.assign(placements.begin() + static_cast<std::ptrdiff_t>(start),
                                placements.begin() + static_cast<std::ptrdiff_t>(end));
        m_peers.send(news, {address});
    }
}

void RelayProcess::greet()
{
    EntryNews news = emptyNews();
    news.heard = m_core.members().addresses();
    std::vector<std::string> addresses = news.heard;
    for (std::string &address : m_core.members().namedAddresses()) {
        addresses.push_back(std::move(address));
    }
    m_peers.send(news, addresses);
}

void RelayProcess::carryOut(const WatchRequest &request)
{
    std::visit(
        Overloaded {[this](const ReadUpstreams &read) {
                        m_platform.store->readUpstreams(read.timeout, [this](const Result<StoredUpstreams> &result) {
                            m_watch.upstreamsRead(result, processNow());
                            armTimer();
                        });
                    },
                    [this](const ReadConfig &read) {
                        m_platform.store->readConfig(read.timeout, [this](const Result<StoredConfig> &result) {
                            m_watch.configRead(result, processNow());
                            armTimer();
                        });
                    },
                    [this](const AwaitConfig &await) {
                        m_platform.store->awaitConfig(
                            await.revision, await.wait, await.timeout, [this](const Result<StoredConfig> &result) {
                                m_watch.configAwaited(result, processNow());
                                tick();
                            });
                    },
                    [this](const AskEntry &ask) {
                        askEntry(ask);
                    }},
        request);
}

void RelayProcess::askEntry(const AskEntry &ask)
{
    const auto endpoint = parseTcpEndpoint(ask.address);
    if (!endpoint) {
        m_watch.copyReceived(
            Error {ResultCode::ProtocolError, "the entry's address is invalid: " + ask.address, std::nullopt},
            processNow());
        return;
    }
    m_copyRequester = std::make_unique<HttpRequester>(*m_loop, *endpoint);
    m_copyRequester->get(CopyPath, ask.timeout, [this](const Result<HttpAnswer> &result) {
        if (const Error *error = errorOf(result)) {
            m_watch.copyReceived(*error, processNow());
        } else {
            m_watch.copyReceived(decodeRecordCopy(std::get<HttpAnswer>(result).body), processNow());
        }
        armTimer();
    });
}

void RelayProcess::tick()
{
    const TimePoint now = processNow();
    RelayActions actions;
    m_core.tick(now, actions);
    perform(actions);
    std::vector<WatchRequest> requests;
    m_watch.expire(now);
    m_watch.tick(now, requests);
    for (const WatchRequest &request : requests) {
        carryOut(request);
    }
    if (now >= m_nextGreeting) {
        m_nextGreeting = now + GreetingInterval;
        greet();
    }
    if (now >= m_nextHousekeeping) {
        m_nextHousekeeping = now + HousekeepingInterval;
        everySecond(now);
    }
    sendNews();
    checkStop(now);
    m_armed = TimePoint::max();
    armTimer();
}

void RelayProcess::armTimer()
{
    const TimePoint now = processNow();
    TimePoint due = now + LongestPause;
    if (const std::optional<TimePoint> next = m_core.nextDue()) {
        due = std::min(due, std::max(*next, now));
    }
    if (due >= m_armed) {
        return;
    }
    m_armed = due;
    m_timer.expires_after(due - now);
    m_timer.async_wait([this](const ErrorCode &error) {
        if (!error) {
            tick();
        }
    });
}

void RelayProcess::everySecond(TimePoint now)
{
    m_callers.enforceTimes(now);
    m_readyPage.enforceTimes(now);
    m_copyPage.enforceTimes(now);
    m_metricsPage.enforceTimes(now);
    m_pool.expire(now);
}

std::string RelayProcess::metricsText()
{
    m_metrics->set("ibismast_open_calls", {}, static_cast<double>(m_core.openCalls()));
    m_metrics->set("ibismast_caller_connections", {}, static_cast<double>(m_callers.connections()));
    m_metrics->set("ibismast_upstream_connections_opened", {}, static_cast<double>(m_pool.opened()));
    m_metrics->set("ibismast_entries_heard", {}, static_cast<double>(m_core.members().others()));
    m_metrics->set("ibismast_undecodable_datagrams", {}, static_cast<double>(m_peers.undecodable()));
    return m_metrics->text();
}

void RelayProcess::stop(std::function<void(std::size_t cut)> stopped)
{
    if (m_stopBegun) {
        return;
    }
    m_stopBegun = processNow();
    m_stopped = std::move(stopped);
    m_core.beginStop(*m_stopBegun + m_settings.stop.total);
    m_callers.closeAfterAnswers();
    checkStop(*m_stopBegun);
}

void RelayProcess::checkStop(TimePoint now)
{
    if (!m_stopBegun || !m_stopped) {
        return;
    }
    const Duration elapsed = now - *m_stopBegun;
    if (!m_idleClosed && elapsed >= m_settings.stop.listen) {
        m_idleClosed = true;
        m_callers.closeIdle();
    }
    // Connections are accepted to the end: where several instances stop at once, the balancer has no other.
    const bool done = m_idleClosed && m_core.openCalls() == 0;
    if (!done && elapsed < m_settings.stop.total) {
        return;
    }
    const std::size_t cut = m_core.openCalls();
    m_peers.close();
    const auto stopped = std::exchange(m_stopped, nullptr);
    stopped(cut);
}

} // namespace ibismast
