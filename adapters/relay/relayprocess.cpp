#include "adapters/relay/relayprocess.h"

#include "adapters/plumbing/jsontext.h"
#include "adapters/plumbing/processclock.h"
#include "adapters/relay/copyquery.h"

#include <fmt/format.h>

namespace ibismast
{

namespace
{

using ErrorCode = boost::system::error_code;

/// Path at which entries hand out their copies of the platform's records.
constexpr const char *CopyPath = "/copy";
constexpr const char *MetricsPath = "/metrics";
/// Largest copy of the records of a large fleet with a large configuration.
constexpr std::uint64_t MaxCopyBytes = std::uint64_t {16} * 1024 * 1024;
/// Entries greet each other this often; it carries what must not be missed.
constexpr Duration GreetingInterval = std::chrono::milliseconds(500);
constexpr Duration HousekeepingInterval = std::chrono::seconds(1);
/// Longest pause of the timer, so that reads of the store stay on time.
constexpr Duration LongestPause = std::chrono::milliseconds(100);

constexpr int OkStatus = 200;
constexpr int UnavailableStatus = 503;

/// Formats @p duration in whole milliseconds for a field of a log event.
std::string inMs(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

Result<Success> RelayProcess::start()
{
    m_readyPage.add(m_platform.readyPath, [this](std::string_view /*query*/) {
        const bool ready = m_core.ready() && !m_stopBegun;
        return Page {ready ? OkStatus : UnavailableStatus, "text/plain", ready ? "ready\n" : "not ready\n"};
    });
    m_copyPage.add(CopyPath, [this](std::string_view query) {
        const RecordCopy copy = m_watch.copy(decodeCopyQuery(query), processNow());
        return Page {OkStatus, "application/octet-stream", encodeRecordCopy(copy)};
    });
    m_metricsPage.add(MetricsPath, [this](std::string_view /*query*/) {
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
        m_core.members().addressReported(seed, processNow());
    }
    tick();
    return Success {};
}

RelayLimits RelayProcess::limits() const
{
    const RelayConfig *config = m_core.config();
    return config != nullptr ? config->limits : RelayLimits();
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

void RelayProcess::unsentBytesChanged(std::int64_t change)
{
    m_core.unsentBytesChanged(change);
    m_callers.limits().setBuffered(m_core.bufferedBytes());
}

void RelayProcess::carryOut(const WatchRequest &request)
{
    std::visit(
        Overloaded {[this](const ReadUpstreams &read) {
                        m_platform.store->readUpstreams(read.timeout, [this](const Result<StoredUpstreams> &result) {
                            m_watch.upstreamsRead(result, processNow());
                            tick();
                        });
                    },
                    [this](const ReadConfig &read) {
                        m_platform.store->readConfig(read.timeout, [this](const Result<StoredConfig> &result) {
                            m_watch.configRead(result, processNow());
                            tick();
                        });
                    },
                    [this](const AwaitConfig &await) {
                        m_platform.store->awaitConfig(
                            await.revision, await.wait, await.timeout, [this](const Result<StoredConfig> &result) {
                                m_watch.configAwaited(result, processNow());
                                tick();
                            });
                    },
                    [this](const FetchRecordCopy &ask) {
                        askEntry(ask);
                    }},
        request);
}

void RelayProcess::askEntry(const FetchRecordCopy &ask)
{
    const auto endpoint = parseTcpEndpoint(ask.address);
    if (!endpoint) {
        m_watch.copyReceived(
            Error {ResultCode::ProtocolError, "the entry's address is invalid: " + ask.address, std::nullopt},
            processNow());
        return;
    }
    m_copyRequester = std::make_unique<HttpRequester>(*m_loop, *endpoint, MaxCopyBytes);
    const std::string target = std::string(CopyPath) + "?" + encodeCopyQuery(ask.contents);
    m_copyRequester->get(target, ask.timeout, [this](const Result<HttpAnswer> &result) {
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
    sendReleases();
    std::vector<WatchRequest> requests;
    m_watch.expire(now);
    m_watch.tick(now, requests);
    for (const WatchRequest &request : requests) {
        carryOut(request);
    }
    const bool announce = m_watch.takeAnnouncementDue();
    const bool regular = now >= m_nextGreeting || (announce && !m_core.inCell());
    if (announce || regular) {
        m_nextGreeting = regular ? now + GreetingInterval : m_nextGreeting;
        greet(regular);
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

void RelayProcess::sendReleases()
{
    const TimePoint now = processNow();
    for (const DueRelease &due : m_reservations.takeDueReleases(now)) {
        if (!m_core.takeOrder(due.holder.upstream, PausedOrder::Release, now)) {
            continue;
        }
        m_platform.orders->release(due.holder, [this, due](bool answered) {
            if (answered) {
                releaseAnswered(due);
            }
        });
    }
}

void RelayProcess::releaseAnswered(const DueRelease &release)
{
    const std::optional<ReservationSummary> summary =
        m_reservations.releaseAnswered(release.holder.reservationId, release.number, processNow());
    if (summary) {
        m_listener->onEvent("reservation_released",
                            {{"upstream", release.holder.upstream.id.value()},
                             {"ticket", release.holder.reservationId},
                             {"age_ms", inMs(summary->age)},
                             {"last_reserve_ms", inMs(summary->sinceLastReserve)},
                             {"releases", std::to_string(summary->releases)},
                             {"unanswered_reserves", std::to_string(summary->unansweredReserves)}});
    }
}

void RelayProcess::armTimer()
{
    const TimePoint now = processNow();
    TimePoint due = now + LongestPause;
    if (const std::optional<TimePoint> next = m_core.nextDue()) {
        due = std::min(due, std::max(*next, now));
    }
    if (const std::optional<TimePoint> next = m_reservations.nextDue()) {
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
    m_callers.limits().setBuffered(m_core.bufferedBytes());
    m_callers.enforceTimes(now);
    reportGivenWay();
    m_readyPage.enforceTimes(now);
    m_copyPage.enforceTimes(now);
    m_metricsPage.enforceTimes(now);
    m_pool.expire(now);
}

void RelayProcess::reportGivenWay()
{
    // One line a second and reason at most, whatever the number of clients.
    for (const auto &[reason, count] : m_callers.givenWay()) {
        std::uint64_t &reported = m_givenWayReported[reason];
        if (count == reported) {
            continue;
        }
        const ClientLimits &limits = m_callers.limits();
        m_listener->onEvent("clients_gave_way",
                            {{"reason", std::string(toString(reason))},
                             {"count", std::to_string(count - reported)},
                             {"connections", std::to_string(m_callers.connections())},
                             {"held_bytes", std::to_string(limits.heldBytes())},
                             {"unfinished_bytes", std::to_string(limits.unfinishedBytes())}});
        reported = count;
    }
}

std::string RelayProcess::metricsText()
{
    m_metrics->set("ibismast_open_calls", {}, static_cast<double>(m_core.openCalls()));
    m_metrics->set("ibismast_caller_connections", {}, static_cast<double>(m_callers.connections()));
    m_metrics->set("ibismast_upstream_connections_opened", {}, static_cast<double>(m_pool.opened()));
    m_metrics->set("ibismast_entries_heard", {}, static_cast<double>(m_core.members().otherCount()));
    m_metrics->set("ibismast_quarantined_prompt_parts", {}, static_cast<double>(m_core.quarantinedParts(processNow())));
    m_metrics->set("ibismast_cold_upstreams", {}, static_cast<double>(m_core.coldUpstreams(processNow())));
    m_metrics->set("ibismast_paced_upstreams", {}, static_cast<double>(m_core.pacedUpstreams()));
    m_metrics->set("ibismast_paused_upstreams", {}, static_cast<double>(m_core.pausedUpstreams()));
    m_metrics->set("ibismast_evacuated_domains", {}, static_cast<double>(m_core.evacuations().size()));
    m_metrics->set("ibismast_buffered_bytes", {}, static_cast<double>(m_core.bufferedBytes()));
    m_metrics->set("ibismast_unsent_bytes", {}, static_cast<double>(m_core.unsentBytes()));
    const WaitCounts &waits = m_core.waitCounts();
    m_metrics->set("ibismast_waiting_calls", {}, static_cast<double>(m_core.waitingRoom().size()));
    m_metrics->set("ibismast_waiting_bytes", {}, static_cast<double>(m_core.waitingRoom().bytes()));
    m_metrics->set("ibismast_waits_total", {{"outcome", "entered"}}, static_cast<double>(waits.entered));
    m_metrics->set("ibismast_waits_total", {{"outcome", "started"}}, static_cast<double>(waits.started));
    m_metrics->set("ibismast_waits_total", {{"outcome", "refused_at_once"}}, static_cast<double>(waits.refusedAtOnce));
    m_metrics->set("ibismast_waits_total", {{"outcome", "refused_later"}}, static_cast<double>(waits.refusedLater));
    m_metrics->set("ibismast_new_calls_per_second", {}, m_core.newCalls().rate(processNow()));
    m_metrics->set("ibismast_reserved_slots", {}, static_cast<double>(m_core.newCalls().slots(processNow())));
    m_metrics->set("ibismast_held_bytes", {}, static_cast<double>(m_callers.limits().heldBytes()));
    m_metrics->set("ibismast_unfinished_request_bytes", {}, static_cast<double>(m_callers.limits().unfinishedBytes()));
    m_metrics->set("ibismast_open_request_bytes", {}, static_cast<double>(m_callers.limits().openRequestBytes()));
    for (const auto &[reason, count] : m_callers.givenWay()) {
        m_metrics->set(
            "ibismast_clients_gave_way", {{"reason", std::string(toString(reason))}}, static_cast<double>(count));
    }
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
    // Answers are kept until the kernel holds them whole, which delivers them behind the end of the process.
    const bool done =
        m_idleClosed && m_core.openCalls() == 0 && m_core.unsentBytes() == 0 && !m_reservations.hasOpenReleases();
    if (!done && elapsed < m_settings.stop.total) {
        return;
    }
    const std::size_t cut = m_core.openCalls() + m_callers.unsentAnswers();
    m_peers.close();
    const auto stopped = std::exchange(m_stopped, nullptr);
    stopped(cut);
}

} // namespace ibismast