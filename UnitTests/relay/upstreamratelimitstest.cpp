#include "ibismast/relay/relaycore.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

/// Entries that serve calls on the same engines, which name a rate limit in their responses.
class LimitedFleet
{
public:
    LimitedFleet(std::size_t entries, std::size_t engines, std::size_t limitedEngines)
    {
        RelayConfig config;
        config.version = RelayConfigVersion(1);
        RelayRoute route;
        route.host = "h";
        route.pathPrefix = "/g/";
        route.kind = CallKind::ResumableStream;
        route.shares = {{ServiceName("pool"), 1}};
        route.maxAttempts = 2;
        route.isPublic = true;
        config.routes.push_back(route);
        route.pathPrefix = "/p/";
        route.kind = CallKind::Idempotent;
        route.shares = {{ServiceName("plain"), 1}};
        config.routes.push_back(route);
        EngineProfile engine;
        engine.slots = 16;
        engine.memory = Tokens(315'000);
        config.services.emplace(ServiceName("pool"), RelayService {ServiceName("pool"), 64, engine});
        config.services.emplace(ServiceName("plain"), RelayService {ServiceName("plain"), 64, std::nullopt});
        UpstreamList list;
        list.revision.number = 1;
        for (const std::string service : {"pool", "plain"}) {
            for (std::size_t index = 0; index < engines; ++index) {
                UpstreamRecord &record = list.records.emplace_back();
                record.id = InstanceId(service + std::to_string(index));
                record.service = ServiceName(service);
                record.address = UpstreamAddress("10.0.0.1:" + std::to_string(list.records.size()));
                if (index < limitedEngines) {
                    m_limited.insert(record.id);
                }
            }
        }
        for (std::size_t index = 0; index < entries; ++index) {
            RelayCoreSettings settings;
            settings.self = InstanceId("entry" + std::to_string(index));
            m_entries.push_back(std::make_unique<RelayCore>(settings, index + 1, m_listener));
            m_entries.back()->applyConfig(config, m_now);
            m_entries.back()->directory().apply(list, m_now);
        }
    }

    /// Lets the entries serve @p rate calls a second at @p path in turn for @p time, while the engines name @p limit.
    void serve(const std::string &path, double rate, Duration time, std::optional<RequestRate> limit)
    {
        const TimePoint end = m_now + time;
        for (std::size_t index = 0; m_now < end; ++index) {
            m_now += fromSeconds(1.0 / rate);
            serveCall(path, index % m_entries.size(), limit);
        }
    }
    /// Largest number of calls that a limited engine has got in four seconds, counted from @p start.
    [[nodiscard]] std::size_t largestWindow(TimePoint start) const
    {
        std::size_t largest = 0;
        for (const auto &[engine, times] : m_sent) {
            for (auto first = std::ranges::lower_bound(times, start); first != times.end(); ++first) {
                const auto last = std::ranges::lower_bound(times, *first + 4s);
                largest = std::max(largest, static_cast<std::size_t>(last - first));
            }
        }
        return largest;
    }
    /// Number of calls that limited engines have got since @p start.
    [[nodiscard]] std::size_t sentSince(TimePoint start) const
    {
        std::size_t count = 0;
        for (const auto &[engine, times] : m_sent) {
            count += static_cast<std::size_t>(times.end() - std::ranges::lower_bound(times, start));
        }
        return count;
    }
    [[nodiscard]] TimePoint now() const
    {
        return m_now;
    }
    [[nodiscard]] int refused() const
    {
        return m_refused;
    }

private:
    void serveCall(const std::string &path, std::size_t index, std::optional<RequestRate> limit)
    {
        RelayCore &entry = *m_entries[index];
        IncomingCall incoming;
        incoming.requestId = "r";
        incoming.host = "h";
        incoming.path = path;
        incoming.size = {Tokens(path == "/g/" ? 1'000 : 0), Tokens(100)};
        RelayActions actions;
        entry.tick(m_now, actions);
        const Result<CallNumber> call = entry.submit(incoming, m_now, actions);
        REQUIRE(errorOf(call) == nullptr);
        for (std::size_t next = 0; next < actions.size(); ++next) {
            const auto *start = std::get_if<StartAttempt>(&actions[next].action);
            m_refused += std::holds_alternative<Refuse>(actions[next].action) ? 1 : 0;
            if (start == nullptr) {
                continue;
            }
            const InstanceId engine = start->plan.upstream.id;
            const bool limited = m_limited.contains(engine);
            if (limited) {
                m_sent[engine].push_back(m_now);
            }
            const int attempt = start->attempt;
            const CallNumber number = actions[next].call;
            RelayActions answers;
            ResponseHead head {200, false, true, {}, {false, limited ? limit : std::nullopt, {}}};
            entry.headReceived(number, attempt, head, m_now, answers);
            entry.bodyReceived(number, attempt, "id: 1\ndata: x\n\n", m_now, answers);
            entry.responseCompleted(number, attempt, m_now, answers);
        }
        const LoadUpdate update = entry.takeLoadUpdate();
        for (std::size_t other = 0; other < m_entries.size(); ++other) {
            if (other != index) {
                m_entries[other]->applyLoadUpdate(entry.self(), update, m_now);
            }
        }
    }

    TimePoint m_now {1'000s};
    EventListener m_listener;
    std::vector<std::unique_ptr<RelayCore>> m_entries;
    std::set<InstanceId> m_limited;
    std::map<InstanceId, std::vector<TimePoint>> m_sent;
    int m_refused = 0;
};

} // namespace

// Load: more calls than some or all engines take. Guards against entries that send an engine more requests than the
// limit that it names (issue 26, LIMIT), each of them alone or all of them together, and against calls that are refused
// although other engines take them.
TEST_CASE("an upstream gets no more requests than the limit that it names", "[relay][load]")
{
    const std::size_t entries = GENERATE(std::size_t {1}, std::size_t {3}, std::size_t {24});
    const std::string path = GENERATE(std::string("/g/"), std::string("/p/"));
    const std::size_t limitedEngines = GENERATE(std::size_t {3}, std::size_t {4});
    const double limit = GENERATE(0.0, 0.5, 1.0, 2.8, 12.0);
    LimitedFleet fleet(entries, 4, limitedEngines);
    fleet.serve(path, 60.0, 1s, std::nullopt);
    fleet.serve(path, 60.0, 500ms, RequestRate {limit});
    const TimePoint start = fleet.now();
    fleet.serve(path, 60.0, 20s, RequestRate {limit});
    CHECK(static_cast<double>(fleet.largestWindow(start)) <= 1.5 * 4.0 * limit + 5.0);
    if (limitedEngines < 4) {
        CHECK(fleet.refused() == 0);
    } else {
        // The limits are used.
        CHECK(static_cast<double>(fleet.sentSince(start)) >= 0.8 * 20.0 * limit * 4.0);
    }
}

namespace
{

constexpr UpstreamRunKey Engine {7};

/// Limits as two entries know them.
class RateLimitFixture
{
protected:
    /// Sends as many requests from @p entry as it allows, and returns their number.
    int sendAllowed(UpstreamRateLimits &entry)
    {
        int sent = 0;
        while (sent < 1'000 && entry.allows(Engine, now)) {
            (void)entry.noteSent(Engine, now);
            ++sent;
        }
        return sent;
    }
    /// The report on the engine that @p from sends arrives at @p to.
    void report(const UpstreamRateLimits &from, UpstreamRateLimits &to)
    {
        const std::optional<RateLimitReport> sent = from.report(Engine, now);
        REQUIRE(sent);
        to.apply(InstanceId(&from == &first ? "first" : "second"), {*sent}, now);
    }

    TimePoint now {1'000s};
    UpstreamRateLimits first {UpstreamRateLimitsSettings()};
    UpstreamRateLimits second {UpstreamRateLimitsSettings()};
};

} // namespace

// Guards against entries that each use a whole limit, also if some of their messages are lost or arrive twice.
TEST_CASE_METHOD(RateLimitFixture, "entries use a limit together", "[relay]")
{
    const int arriving = GENERATE(1, 2, 5);
    const int copies = GENERATE(1, 2);
    CHECK(first.noteResponse(Engine, RequestRate {10.0}, now));
    report(first, second);
    now += 1s;
    CHECK(second.allows(Engine, now));
    for (int call = 1; call <= 10; ++call) {
        CHECK(first.noteSent(Engine, now));
        // Only some of the reports arrive, the last one among them.
        for (int copy = 0; call % arriving == 0 && copy < copies; ++copy) {
            report(first, second);
        }
    }
    CHECK_FALSE(first.allows(Engine, now));
    CHECK_FALSE(second.allows(Engine, now));
    now += 1s;
    CHECK(sendAllowed(second) == 10);
}

// Guards against an entry that has just started and sends as if there were no limit, against a limit that outlasts its
// end at some entries, and against an old report that replaces newer knowledge.
TEST_CASE_METHOD(RateLimitFixture, "a limit and its end reach entries that the upstream has not told", "[relay]")
{
    CHECK(first.noteResponse(Engine, RequestRate {2.0}, now));
    const std::vector<RateLimitReport> early = first.nextReports(8, now);
    now += 1s;
    second.apply(InstanceId("first"), first.nextReports(8, now), now);
    REQUIRE(second.limitOf(Engine) == RequestRate {2.0});
    CHECK(sendAllowed(second) == 1);

    now += 1s;
    CHECK(first.noteResponse(Engine, std::nullopt, now));
    second.apply(InstanceId("first"), first.nextReports(8, now), now);
    CHECK_FALSE(second.limitOf(Engine));
    CHECK(sendAllowed(second) == 1'000);

    std::vector<RateLimitReport> late = early;
    late.front().age += 2s;
    second.apply(InstanceId("third"), late, now);
    CHECK_FALSE(second.limitOf(Engine));
}

// Guards against an upstream that gets no request any more and so cannot tell that its limit has ended, and against a
// wrong report that stops all requests.
TEST_CASE_METHOD(RateLimitFixture, "a limited upstream always gets some requests", "[relay]")
{
    const double limit = GENERATE(0.0, 0.1, 3.0);
    const std::uint64_t claimed = GENERATE(std::uint64_t {0}, std::uint64_t {1'000'000});
    CHECK(first.noteResponse(Engine, RequestRate {limit}, now));
    first.apply(InstanceId("second"), {{Engine, RequestRate {limit}, 0ms, claimed}}, now);
    int sent = 0;
    for (int second = 0; second < 60; ++second) {
        now += 1s;
        CHECK_FALSE(first.noteResponse(Engine, RequestRate {limit}, now));
        sent += sendAllowed(first);
    }
    CHECK(sent >= 8);
    CHECK(static_cast<double>(sent) <= std::max(limit, 0.2) * 60.0 + 1.0);
}

// Guards against memory that grows with the runs of upstreams, and against reports that leave some upstreams out.
TEST_CASE_METHOD(RateLimitFixture, "reports on limits take turns, and old limits are dropped", "[relay]")
{
    for (std::uint64_t key = 1; key <= 10; ++key) {
        CHECK(first.noteResponse(UpstreamRunKey(key), RequestRate {1.0}, now));
    }
    std::set<UpstreamRunKey> reported;
    for (int heartbeat = 0; heartbeat < 3; ++heartbeat) {
        const std::vector<RateLimitReport> reports = first.nextReports(4, now);
        CHECK(reports.size() == 4);
        for (const RateLimitReport &report : reports) {
            reported.insert(report.upstream);
        }
    }
    CHECK(reported.size() == 10);
    now += 3min;
    first.expire(now);
    CHECK(first.nextReports(4, now).empty());
    CHECK(first.allows(UpstreamRunKey(1), now));
}

// Guards against a limit that stays within the cell of the entry that has learned it, and against messages to the whole
// fleet for each request to an engine that only the cell uses.
TEST_CASE("entries of other cells learn of limits and of shared upstreams", "[relay]")
{
    const bool inCell = GENERATE(false, true);
    const auto [service, domain, usageIsFleetWide] = GENERATE(table<std::string, std::string, bool>({
        {"pool", "east", false},
        {"pool", "west", true},
        {"plain", "east", true},
    }));
    EventListener listener;
    RelayCoreSettings settings;
    settings.self = InstanceId("entry");
    settings.domain = FailureDomain("east");
    settings.cells.minEntries = inCell ? 1 : 100;
    settings.cells.minEngines = 0;
    RelayCore core(settings, 1, listener);
    RelayConfig config;
    config.version = RelayConfigVersion(1);
    config.services.emplace(ServiceName("pool"), RelayService {ServiceName("pool"), 64, EngineProfile()});
    config.services.emplace(ServiceName("plain"), RelayService {ServiceName("plain"), 64, std::nullopt});
    TimePoint now {1'000s};
    core.applyConfig(config, now);
    RelayActions actions;
    core.tick(now, actions);
    REQUIRE(core.inCell() == inCell);

    RelayCall call;
    call.service = ServiceName(service);
    call.size = {Tokens(service == "pool" ? 1'000 : 0), Tokens(100)};
    AttemptPlan plan;
    plan.upstream.id = InstanceId("e1");
    plan.upstream.service = call.service;
    plan.upstream.domain = FailureDomain(domain);
    core.noticeReceived(plan.upstream, {.rateLimit = RequestRate {2.0}}, now);
    CHECK(core.takeFleetRateReports().size() == (inCell ? 1 : 0));
    CHECK(core.takeLoadUpdate().rateLimits.size() == 1);
    core.attemptStarted(call, plan, now);
    CHECK(core.takeFleetRateReports().size() == (inCell && usageIsFleetWide ? 1 : 0));
    CHECK(core.takeLoadUpdate().rateLimits.size() == 1);
}
