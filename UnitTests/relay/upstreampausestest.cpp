#include "ibismast/relay/relaycore.h"
#include "platform/platformprotocol.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

/// Upstreams of two services that refuse calls with `Retry-After` for a time, entries that relay calls to them, and
/// callers that return after a refusal.
class PausingFleet
{
public:
    struct Settings
    {
        std::size_t entries = 1;
        /// Upstreams of each service, and those of them that refuse.
        std::size_t upstreams = 4;
        std::size_t refusing = 4;
        std::string retryAfter;
        /// Whether the streams of an upstream break off when it begins to refuse.
        bool breaksStreams = false;
    };

    explicit PausingFleet(const Settings &settings) : m_settings(settings)
    {
        RelayConfig config;
        config.version = RelayConfigVersion(1);
        addRoute(config, "/g/", CallKind::ResumableStream, "pool");
        addRoute(config, "/s/", CallKind::Stream, "pool");
        addRoute(config, "/p/", CallKind::Idempotent, "plain");
        addRoute(config, "/u/", CallKind::AtMostOnce, "plain");
        EngineProfile engine;
        engine.slots = 16;
        engine.memory = Tokens(315'000);
        config.services.emplace(ServiceName("pool"), RelayService {ServiceName("pool"), 64, engine});
        config.services.emplace(ServiceName("plain"), RelayService {ServiceName("plain"), 64, std::nullopt});
        UpstreamList list;
        list.revision.number = 1;
        for (const std::string service : {"pool", "plain"}) {
            for (std::size_t index = 0; index < settings.upstreams; ++index) {
                UpstreamRecord &record = list.records.emplace_back();
                record.id = InstanceId(service + std::to_string(index));
                record.service = ServiceName(service);
                record.address = UpstreamAddress("10.0.0.1:" + std::to_string(list.records.size()));
                if (index < settings.refusing) {
                    m_refusing.insert(record.id);
                }
            }
        }
        for (std::size_t index = 0; index < settings.entries; ++index) {
            RelayCoreSettings core;
            core.self = InstanceId("entry" + std::to_string(index));
            m_entries.push_back(std::make_unique<RelayCore>(core, index + 1, m_listener));
            m_entries.back()->applyConfig(config, m_now);
            m_entries.back()->directory().apply(list, m_now);
        }
    }

    /// Plays @p rate calls a second at @p path for @p time. The refusing upstreams refuse if @p refuse is true.
    void play(const std::string &path, double rate, Duration time, bool refuse)
    {
        if (refuse && !m_refuse && m_settings.breaksStreams) {
            breakStreams();
        }
        m_refuse = refuse;
        const TimePoint end = m_now + time;
        TimePoint nextCall = m_now;
        for (; m_now < end; m_now += 10ms) {
            for (; nextCall <= m_now; nextCall += fromSeconds(1.0 / rate)) {
                submit(path, m_calls++ % m_entries.size(), true);
            }
            while (!m_events.empty() && m_events.begin()->first <= m_now) {
                const std::function<void()> event = std::move(m_events.begin()->second);
                m_events.erase(m_events.begin());
                event();
            }
            for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
                RelayActions actions;
                m_entries[entry]->tick(m_now, actions);
                perform(entry, actions);
            }
        }
    }
    /// Largest number of requests that a refusing upstream has got from an entry between half a second after a refusal
    /// and the end of the time that this refusal named.
    [[nodiscard]] std::size_t mostInPause(Duration pause) const
    {
        std::size_t most = 0;
        for (const auto &[link, refusals] : m_refusals) {
            const std::vector<TimePoint> &arrivals = m_arrivals.at(link);
            for (const TimePoint refusal : refusals) {
                const auto first = std::ranges::upper_bound(arrivals, refusal + 500ms);
                const auto last = std::ranges::lower_bound(arrivals, refusal + pause);
                most = std::max(most, first < last ? static_cast<std::size_t>(last - first) : 0);
            }
        }
        return most;
    }

    /// Calls that were answered, and calls that were refused for good.
    int answered = 0;
    int refused = 0;
    /// Longest time between the arrival of a call and its refusal.
    Duration longestHold {};
    /// `Retry-After` of the last refusal.
    std::optional<Duration> lastRetryAfter;

private:
    using Link = std::pair<InstanceId, std::size_t>;
    struct Call
    {
        std::string path;
        TimePoint arrived;
        /// True if its caller returns after a refusal.
        bool mayReturn = false;
        InstanceId upstream;
        int attempt = 0;
        int events = 0;
    };
    using CallKey = std::pair<std::size_t, CallNumber>;

    static void addRoute(RelayConfig &config, const std::string &prefix, CallKind kind, const std::string &service)
    {
        RelayRoute route;
        route.host = "h";
        route.pathPrefix = prefix;
        route.kind = kind;
        route.shares = {{ServiceName(service), 1}};
        route.maxAttempts = 2;
        route.isPublic = true;
        config.routes.push_back(route);
    }
    void after(Duration delay, std::function<void()> event)
    {
        m_events.emplace(m_now + delay, std::move(event));
    }
    void submit(const std::string &path, std::size_t entry, bool mayReturn)
    {
        IncomingCall incoming;
        incoming.requestId = "r1";
        incoming.host = "h";
        incoming.path = path;
        const bool generation = path == "/g/" || path == "/s/";
        incoming.size = {Tokens(generation ? 1'000 : 0), Tokens(100)};
        RelayActions actions;
        const Result<CallNumber> call = m_entries[entry]->submit(incoming, m_now, actions);
        REQUIRE(errorOf(call) == nullptr);
        m_open[{entry, std::get<CallNumber>(call)}] = Call {path, m_now, mayReturn, {}, 0, 0};
        perform(entry, actions);
    }
    void perform(std::size_t entry, const RelayActions &actions)
    {
        for (const RelayAction &action : actions) {
            const CallKey key {entry, action.call};
            if (const auto *start = std::get_if<StartAttempt>(&action.action)) {
                after(1ms, [this, key, upstream = start->plan.upstream.id, attempt = start->attempt] {
                    arrive(key, upstream, attempt);
                });
            } else if (const auto *refuse = std::get_if<Refuse>(&action.action)) {
                const Call call = m_open.at(key);
                m_open.erase(key);
                longestHold = std::max(longestHold, m_now - call.arrived);
                lastRetryAfter = refuse->retryAfter;
                if (!call.mayReturn) {
                    ++refused;
                    continue;
                }
                // Callers that cannot wait as long as they are told return early.
                after(std::min<Duration>(refuse->retryAfter.value_or(500ms), 3s), [this, path = call.path, entry] {
                    submit(path, (entry + 1) % m_entries.size(), false);
                });
            } else if (std::holds_alternative<EndBody>(action.action)
                       || std::holds_alternative<SendFullResponse>(action.action)) {
                m_open.erase(key);
                ++answered;
            } else if (std::holds_alternative<CloseCallerConnection>(action.action)) {
                m_open.erase(key);
                ++refused;
            }
        }
    }
    /// A request arrives at @p upstream.
    void arrive(const CallKey &key, const InstanceId &upstream, int attempt)
    {
        const Link link {upstream, key.first};
        m_arrivals[link].push_back(m_now);
        const auto call = m_open.find(key);
        if (call == m_open.end()) {
            return;
        }
        call->second.upstream = upstream;
        call->second.attempt = attempt;
        HttpHead head;
        head.headers = {{"Ibismast-Attempt-Id", "r1"}};
        head.status = 200;
        if (m_refuse && m_refusing.contains(upstream)) {
            m_refusals[link].push_back(m_now);
            head.status = 503;
            head.headers.emplace_back("Ibismast-Not-Executed", "1");
            head.headers.emplace_back("Retry-After", m_settings.retryAfter);
        } else {
            head.headers.emplace_back("Ibismast-Response-Seal", "s");
        }
        after(1ms, [this, key, attempt, head] {
            step(key, [&](RelayCore &core, RelayActions &actions) {
                core.headReceived(
                    key.second, attempt, PlatformProtocol().decodeAnswer(head, "r1").head, m_now, actions);
            });
        });
        if (head.status == 200) {
            for (int event = 0; event < 10; ++event) {
                after(20ms * (event + 1), [this, key, attempt] {
                    sendEvent(key, attempt);
                });
            }
        }
    }
    void sendEvent(const CallKey &key, int attempt)
    {
        const auto call = m_open.find(key);
        if (call == m_open.end() || call->second.attempt != attempt) {
            return;
        }
        const int id = ++call->second.events;
        step(key, [&](RelayCore &core, RelayActions &actions) {
            core.bodyReceived(key.second, attempt, "id: " + std::to_string(id) + "\ndata: x\n\n", m_now, actions);
            if (id == 10) {
                core.responseCompleted(key.second, attempt, m_now, actions);
            }
        });
    }
    void breakStreams()
    {
        const std::map<CallKey, Call> open = m_open;
        for (const auto &[key, call] : open) {
            if (m_refusing.contains(call.upstream)) {
                m_open.at(key).attempt = 0;
                step(key, [&](RelayCore &core, RelayActions &actions) {
                    core.attemptFailed(
                        key.second, call.attempt, AttemptFailure::Broken, "the connection broke", m_now, actions);
                });
            }
        }
    }
    void step(const CallKey &key, const std::function<void(RelayCore &, RelayActions &)> &call)
    {
        RelayActions actions;
        call(*m_entries[key.first], actions);
        perform(key.first, actions);
    }

    Settings m_settings;
    TimePoint m_now {1'000s};
    EventListener m_listener;
    std::vector<std::unique_ptr<RelayCore>> m_entries;
    std::set<InstanceId> m_refusing;
    bool m_refuse = false;
    std::size_t m_calls = 0;
    std::map<CallKey, Call> m_open;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::map<Link, std::vector<TimePoint>> m_arrivals;
    std::map<Link, std::vector<TimePoint>> m_refusals;
};

} // namespace

// Load: some or all upstreams of a service refuse calls and name a time in which they want none, and callers return.
// Guards against entries that send such an upstream more than two requests in that time (issue 34, BUDGET).
TEST_CASE("an upstream that has named a Retry-After gets no requests until it is over", "[relay][load]")
{
    struct Row
    {
        std::string retryAfter;
        Duration pause;
    };
    const Row row = GENERATE(values<Row>({
        {"5", 5s},
        {"2.5", 2'500ms},
        {"0.75", 750ms},
        {"86400", 24h},
    }));
    const std::string path = GENERATE(as<std::string> {}, "/g/", "/s/", "/p/", "/u/");
    const bool breaksStreams = GENERATE(false, true);
    const auto [entries, upstreams, refusing] = GENERATE(table<std::size_t, std::size_t, std::size_t>({
        {1, 1, 1},
        {1, 4, 4},
        {3, 4, 4},
        {3, 4, 3},
    }));
    CAPTURE(row.retryAfter, path, breaksStreams, entries, upstreams, refusing);
    PausingFleet fleet({entries, upstreams, refusing, row.retryAfter, breaksStreams});
    fleet.play(path, 40.0, 2s, false);
    // Long enough for pauses that follow each other.
    fleet.play(path, 40.0, 8s, true);
    CHECK(fleet.mostInPause(row.pause) <= 2);
    if (!breaksStreams) {
        // What cannot be served is refused at once.
        CHECK(fleet.longestHold < 100ms);
    }
    if (refusing == upstreams && entries == 1 && row.pause > 10s) {
        // Callers learn when an upstream takes requests again.
        REQUIRE(fleet.lastRetryAfter);
        CHECK(*fleet.lastRetryAfter > row.pause - 10s);
        CHECK(*fleet.lastRetryAfter <= row.pause);
    }
    const int before = fleet.answered;
    fleet.play(path, 40.0, 12s, false);
    CHECK(fleet.mostInPause(row.pause) <= 2);
    const bool servedAgain = row.pause < 10s || refusing < upstreams;
    CHECK((fleet.answered > before + 100) == servedAgain);
}

namespace
{

constexpr UpstreamRunKey Upstream {7};
constexpr UpstreamRunKey OtherUpstream {8};

} // namespace

// Guards against a pause that a later refusal with a shorter time cuts, that outlasts its time, or that holds for
// another upstream or another run of the same one.
TEST_CASE("a pause lasts for the longest time that is asked for", "[relay]")
{
    struct Request
    {
        Duration at;
        Duration pause;
    };
    struct Row
    {
        std::vector<Request> requests;
        Duration end;
    };
    const auto row = GENERATE(values<Row>({
        {{}, 0s},
        {{{0s, 0s}}, 0s},
        {{{0s, 3s}}, 3s},
        {{{0s, 3s}, {1s, 1s}}, 3s},
        {{{0s, 3s}, {1s, 3s}}, 4s},
        {{{0s, 3s}, {1s, 0s}}, 3s},
        {{{0s, 1s}, {2s, 2s}}, 4s},
        {{{0s, 24h}}, 24h},
        {{{0s, 48h}}, 24h},
    }));
    UpstreamPauses pauses {UpstreamPausesSettings()};
    const TimePoint start {1'000s};
    for (const Request &request : row.requests) {
        pauses.expire(start + request.at);
        (void)pauses.begin(Upstream, request.pause, start + request.at);
    }
    const TimePoint last = row.requests.empty() ? start : start + row.requests.back().at;
    const TimePoint end = start + row.end;
    CHECK(pauses.endOf(Upstream, last) == (end > last ? std::optional(end) : std::nullopt));
    CHECK_FALSE(pauses.endOf(Upstream, end));
    CHECK_FALSE(pauses.endOf(OtherUpstream, last));
    pauses.expire(end);
    CHECK(pauses.size() == 0);
}

// Guards against orders that are repeated to a paused engine: what keeps the memory of a running call and what frees it
// is sent once each, also if the engine asks for more time meanwhile.
TEST_CASE("a paused engine gets one order of each kind", "[relay]")
{
    UpstreamPauses pauses {UpstreamPausesSettings()};
    const TimePoint start {1'000s};
    CHECK(pauses.takeOrder(Upstream, PausedOrder::Release, start));
    REQUIRE(pauses.begin(Upstream, 3s, start));
    CHECK(pauses.takeOrder(Upstream, PausedOrder::Release, start + 1s));
    CHECK(pauses.takeOrder(Upstream, PausedOrder::Extend, start + 1s));
    CHECK_FALSE(pauses.begin(Upstream, 3s, start + 2s));
    CHECK_FALSE(pauses.takeOrder(Upstream, PausedOrder::Release, start + 4s));
    CHECK_FALSE(pauses.takeOrder(Upstream, PausedOrder::Extend, start + 4s));
    CHECK(pauses.takeOrder(OtherUpstream, PausedOrder::Release, start + 4s));
    CHECK(pauses.takeOrder(Upstream, PausedOrder::Release, start + 5s));
}

// Guards against memory that grows with the runs of upstreams.
TEST_CASE("the number of pauses is bounded", "[relay]")
{
    UpstreamPausesSettings settings;
    settings.maxUpstreams = 10;
    UpstreamPauses pauses(settings);
    const TimePoint now {1'000s};
    for (std::uint64_t key = 1; key <= 20; ++key) {
        (void)pauses.begin(UpstreamRunKey(key), 1s * key, now);
    }
    CHECK(pauses.size() == 10);
    CHECK(pauses.endOf(UpstreamRunKey(20), now));
}

// Guards against a plan that is sent although one of its upstreams has asked for a pause while it waited, and against a
// pause of an earlier run that keeps requests from a new one.
TEST_CASE("a pause invalidates the plans that use its upstream, until the upstream restarts", "[relay]")
{
    const auto [paused, restarted, usable] = GENERATE(table<std::string, bool, bool>({
        {"none", false, true},
        {"upstream", false, false},
        {"helper", false, false},
        {"upstream", true, true},
        {"helper", true, true},
    }));
    EventListener listener;
    RelayCoreSettings settings;
    settings.self = InstanceId("entry");
    RelayCore core(settings, 1, listener);
    RelayConfig config;
    config.version = RelayConfigVersion(1);
    config.services.emplace(ServiceName("pool"), RelayService {ServiceName("pool"), 64, EngineProfile()});
    const TimePoint now {1'000s};
    core.applyConfig(config, now);
    UpstreamList list;
    for (const std::string name : {"upstream", "helper"}) {
        UpstreamRecord &record = list.records.emplace_back();
        record.id = InstanceId(name);
        record.service = ServiceName("pool");
        record.incarnation = Incarnation(1);
    }
    for (const UpstreamRecord &record : list.records) {
        if (record.id.value() == paused) {
            core.sideNoticeReceived(record, {.pause = 5s}, now);
        }
    }
    for (UpstreamRecord &record : list.records) {
        record.incarnation = Incarnation(restarted ? 2 : 1);
    }
    core.directory().apply(list, now);
    RelayCall call;
    call.service = ServiceName("pool");
    AttemptPlan plan;
    plan.upstream = list.records[0];
    plan.helpers.push_back({list.records[1], Tokens(1'000), {}});
    const std::optional<PlanFault> fault = core.planFault(call, plan, now + 1s);
    CHECK((!fault || !fault->unusable) == usable);
    CHECK_FALSE(core.planFault(call, plan, now + 5s));
}
