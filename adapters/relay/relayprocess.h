#pragma once

#include "adapters/plumbing/metrics.h"
#include "adapters/relay/callerserver.h"
#include "adapters/relay/clusterstore.h"
#include "adapters/relay/engineorders.h"
#include "adapters/relay/entrypeers.h"
#include "adapters/relay/httprequester.h"
#include "adapters/relay/pageserver.h"
#include "adapters/relay/relaysettings.h"
#include "adapters/relay/upstreampool.h"

#include "ibismast/relay/reservationorders.h"

#include <functional>

namespace ibismast
{

/// Entry instance that relays calls with opaque bodies: the sockets and timers around `RelayCore` and `ClusterWatch`.
class RelayProcess final : public CallerHandler
{
public:
    /// Parts that speak the platform's formats. They must outlive the process.
    struct Platform
    {
        const CallProtocol *protocol = nullptr;
        const RecordDecoder *decoder = nullptr;
        ClusterStore *store = nullptr;
        EngineOrders *orders = nullptr;
        /// Path of the balancer's question.
        std::string readyPath;
    };

    RelayProcess(boost::asio::io_context &loop,
                 RelaySettings settings,
                 const Platform &platform,
                 Incarnation incarnation,
                 EventListener &listener,
                 Metrics &metrics);
    ~RelayProcess() override;
    RelayProcess(const RelayProcess &) = delete;
    RelayProcess &operator=(const RelayProcess &) = delete;

    /// Opens all sockets. Fails with `SettingsInvalid` if an address cannot be used.
    [[nodiscard]] Result<Success> start();
    /// Begins a planned stop; @p stopped is called with the number of requests that were cut.
    void stop(std::function<void(std::size_t cut)> stopped);

    void requestReceived(const std::shared_ptr<CallerConnection> &connection, std::string body) override;
    void callerGone(const std::shared_ptr<CallerConnection> &connection) override;
    void outputSent(const std::shared_ptr<CallerConnection> &connection) override;
    void unsentBytesChanged(std::int64_t change) override;
    [[nodiscard]] RelayLimits limits() const override;

private:
    struct Exchange;
    class ActionRunner;

    void perform(const RelayActions &actions);
    void startAttempt(CallNumber number, Exchange &exchange, const StartAttempt &start);
    void reserveMemory(CallNumber number, const ReserveEngineMemory &reserve);
    /// Sends the releases of engine memory that are due.
    void sendReleases();
    void releaseAnswered(const DueRelease &release);
    void inspectMemory(CallNumber number, const InspectEngineMemory &inspect);
    /// Tells the core how much the caller of an open call has not read yet, if that matters.
    void reportBacklog(CallNumber number, const CallerConnection &caller);
    [[nodiscard]] AnswerHandler answerHandler(CallNumber number, int attempt);
    void headArrived(CallNumber number, int attempt, const HttpHead &head);
    void refuse(CallerConnection &connection, const std::string &requestId, const Error &error);
    [[nodiscard]] HttpHeadBuilder answerHead(const Exchange &exchange) const;
    void closeExchange(CallNumber number);

    void receiveNews(const EntryNews &news);
    void sendNews();
    /// Tells an entry that has just appeared what this one has under way.
    void sendOwnWork(const std::string &address, TimePoint now);
    /// Sends a heartbeat to the entries of the own cell. If @p regular is true, which it is every `GreetingInterval`,
    /// it also goes to some entries of other domains and to those that are not known yet.
    void greet(bool regular);
    /// Returns a message with everything that each one carries.
    [[nodiscard]] EntryNews emptyNews() const;
    void carryOut(const WatchRequest &request);
    void askEntry(const FetchRecordCopy &ask);

    /// Runs everything that is due and waits for the next time.
    void tick();
    void armTimer();
    void everySecond(TimePoint now);
    /// Logs how many clients have given way since the last call.
    void reportGivenWay();
    [[nodiscard]] std::string metricsText();
    void checkStop(TimePoint now);

    boost::asio::io_context *m_loop;
    RelaySettings m_settings;
    Platform m_platform;
    Incarnation m_incarnation;
    EventListener *m_listener;
    Metrics *m_metrics;
    RelayCore m_core;
    ClusterWatch m_watch;
    UpstreamPool m_pool;
    CallerServer m_callers;
    PageServer m_readyPage;
    PageServer m_copyPage;
    PageServer m_metricsPage;
    EntryPeers m_peers;
    ReservationOrders m_reservations {ReservationOrdersSettings()};
    std::unique_ptr<HttpRequester> m_copyRequester;
    boost::asio::steady_timer m_timer;
    TimePoint m_armed = TimePoint::max();
    std::map<CallNumber, std::unique_ptr<Exchange>> m_exchanges;
    std::map<const CallerConnection *, CallNumber> m_callOf;
    /// Clients that have given way, as far as they have been logged.
    std::map<GiveWayReason, std::uint64_t> m_givenWayReported;
    TimePoint m_nextGreeting = TimePoint::min();
    TimePoint m_nextHousekeeping = TimePoint::min();
    std::optional<TimePoint> m_stopBegun;
    bool m_idleClosed = false;
    std::function<void(std::size_t cut)> m_stopped;
};

} // namespace ibismast
