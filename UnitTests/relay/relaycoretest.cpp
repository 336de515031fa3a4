#include "ibismast/relay/relaycore.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

class CoreFixture
{
protected:
    CoreFixture()
    {
        RelayConfig config;
        config.version = RelayConfigVersion(1);
        RelayRoute route;
        route.host = "h";
        route.pathPrefix = "/g/";
        route.kind = CallKind::ResumableStream;
        route.shares = {{ServiceName("pool"), 1}};
        route.maxAttempts = 2;
        config.routes.push_back(route);
        route.pathPrefix = "/p/";
        route.isPublic = true;
        config.routes.push_back(route);
        EngineProfile engine;
        engine.slots = 2;
        engine.memory = Tokens(315'000);
        config.services.emplace(ServiceName("pool"), RelayService {ServiceName("pool"), 64, engine});
        config.customers = {{CustomerId("north"), {"key"}}};
        m_config = std::move(config);
    }
    void configure()
    {
        core.applyConfig(m_config, now);
    }
    void addEngine()
    {
        UpstreamRecord engine;
        engine.id = InstanceId("e1");
        engine.service = ServiceName("pool");
        core.directory().apply({{engine}, 1}, now);
    }
    /// Submits a call and returns the HTTP status of its refusal, or 0 if it was not refused.
    int submit(const std::string &path,
               const std::string &key,
               std::uint64_t fingerprint = 0,
               Tokens prompt = Tokens(1'000))
    {
        IncomingCall call;
        call.requestId = "r";
        call.host = "h";
        call.path = path;
        call.key = key;
        call.size = {prompt, Tokens(100)};
        call.fingerprint = fingerprint;
        actions.clear();
        const Result<CallNumber> result = core.submit(call, now, actions);
        if (const Error *error = errorOf(result)) {
            return resultCodeInfo(error->code).httpStatus;
        }
        const auto *refuse = actions.empty() ? nullptr : std::get_if<Refuse>(&actions.back().action);
        return refuse == nullptr ? 0 : resultCodeInfo(refuse->code).httpStatus;
    }

    EventListener listener;
    /// Actions of the last submitted call.
    RelayActions actions;
    RelayCore core {RelayCoreSettings(), 1, listener};
    TimePoint now {1'000s};

    RelayConfig m_config;
};

} // namespace

// Guards against permanent errors from an entry that has no configuration or no list of upstreams yet.
TEST_CASE_METHOD(CoreFixture, "an entry without configuration or upstreams responds with 503", "[relay]")
{
    CHECK(submit("/g/x", "key") == 503);
    CHECK_FALSE(core.ready());
    configure();
    CHECK(submit("/g/x", "key") == 503);
    CHECK_FALSE(core.ready());
    addEngine();
    CHECK(core.ready());
    CHECK(submit("/g/x", "key") == 0);
}

// Guards against calls that are admitted without a valid API key, and against refusals of authorized calls.
TEST_CASE_METHOD(CoreFixture, "a call is admitted by its route and API key", "[relay]")
{
    const auto [path, key, status] = GENERATE(table<std::string, std::string, int>({
        {"/g/x", "key", 0},
        {"/g/x", "other", 401},
        {"/g/x", "", 401},
        {"/p/x", "", 0},
        {"/q/x", "key", 404},
    }));
    configure();
    addEngine();
    CHECK(submit(path, key) == status);
}

// Guards against calls that a stopping instance admits and cannot complete, and against calls that it refuses although
// there is enough time: while three instances stopped one after the other, 45 callers found no listening instance
// (incident inc-763b).
TEST_CASE_METHOD(CoreFixture, "a stopping instance admits only calls that it can complete", "[relay]")
{
    const auto [left, status] =
        GENERATE(table<Duration, int>({{7'000ms, 0}, {4'700ms, 0}, {4'500ms, 503}, {0ms, 503}}));
    configure();
    addEngine();
    core.beginStop(now + left);
    CHECK(submit("/g/x", "key") == status);
}

// Guards against calls that a stopping instance takes late and cuts at its end without an answer: streams that no other
// instance can resume, and prompts whose answer is predicted to come later than that.
TEST_CASE_METHOD(CoreFixture, "a stopping instance takes no stream that would be cut", "[relay]")
{
    const auto [path, kind, left, prompt, status] = GENERATE(table<std::string, CallKind, Duration, std::int64_t, int>({
        {"/k/x", CallKind::Stream, 10'100ms, 1'000, 0},
        {"/k/x", CallKind::Stream, 9'900ms, 1'000, 503},
        {"/k/x", CallKind::Stream, 4'700ms, 1'000, 503},
        {"/k/x", CallKind::AtMostOnce, 9'900ms, 1'000, 503},
        {"/k/x", CallKind::ResumableStream, 4'700ms, 1'000, 0},
        {"/k/x", CallKind::ResumableStream, 7'000ms, 200'000, 503},
        {"/k/x", CallKind::ResumableStream, 60'000ms, 200'000, 0},
    }));
    CAPTURE(static_cast<int>(kind), left.count(), prompt);
    RelayRoute route = m_config.routes.front();
    route.pathPrefix = "/k/";
    route.kind = kind;
    m_config.routes.push_back(route);
    m_config.services.at(ServiceName("pool")).engine->prefillTokensPerSecond = 20'000.0;
    configure();
    addEngine();
    core.beginStop(now + left);
    CHECK(submit(path, "key", 0, Tokens(prompt)) == status);
    if (status == 503 && !actions.empty()) {
        const auto *refuse = std::get_if<Refuse>(&actions.back().action);
        REQUIRE(refuse != nullptr);
        CHECK(refuse->retryAfter == 100ms);
    }
}

// Load: more short prompts than slots. Guards against queues that delay all calls, and against calls that are refused
// again when their callers retry.
TEST_CASE_METHOD(CoreFixture, "a call that was refused before may queue where a new one is refused", "[relay][load]")
{
    const bool refusedByOtherEntry = GENERATE(false, true);
    configure();
    addEngine();
    for (int call = 0; call < 3; ++call) {
        REQUIRE(submit("/g/x", "key") == 0);
    }
    if (refusedByOtherEntry) {
        core.applyLoadUpdate(InstanceId("other"), LoadUpdate {{}, {}, {}, {77}}, now);
    } else {
        REQUIRE(submit("/g/x", "key", 77) == 503);
        CHECK(core.takeLoadUpdate().refused == std::vector<std::uint64_t> {77});
    }
    CHECK(submit("/g/x", "key", 78) == 503);
    CHECK(submit("/g/x", "key", 77) == 0);
}

// Load: a prompt larger than an engine's KV memory arrives while long prompts occupy the engines. Guards against a call
// that is sent without the reservations it needs. Engines refuse reservations above their memory; because of that, of
// the prompts of 0.92 to 1.5 times that size only half as large a share was served as of all prompts.
TEST_CASE_METHOD(CoreFixture, "a prompt larger than an engine's memory never overcommits an engine", "[relay][load]")
{
    const std::int64_t prompt = GENERATE(300'000, 350'000, 500'000);
    const int engines = GENERATE(2, 4, 8);
    const int occupyingPrompts = GENERATE(0, 2, 4, 8);
    configure();
    std::vector<UpstreamRecord> records(static_cast<std::size_t>(engines));
    for (std::size_t index = 0; index < records.size(); ++index) {
        records[index].id = InstanceId("e" + std::to_string(index));
        records[index].service = ServiceName("pool");
    }
    core.directory().apply({records, 1}, now);
    for (int call = 0; call < occupyingPrompts; ++call) {
        (void)submit("/g/x", "key", 0, Tokens(150'000));
    }
    if (submit("/g/x", "key", 0, Tokens(prompt)) == 503) {
        return;
    }
    // Sending may be delayed until earlier prefills have finished.
    const auto *reserve = actions.empty() ? nullptr : std::get_if<ReserveEngineMemory>(&actions.back().action);
    while (reserve == nullptr && core.nextDue() && *core.nextDue() < now + 60s) {
        now = *core.nextDue();
        actions.clear();
        core.tick(now, actions);
        for (const RelayAction &action : actions) {
            reserve = reserve != nullptr ? reserve : std::get_if<ReserveEngineMemory>(&action.action);
        }
    }
    REQUIRE(reserve != nullptr);
    std::int64_t reserved = 0;
    for (const AttemptHelper &holder : reserve->holders) {
        CHECK(holder.reserved.value() <= 315'000);
        reserved += holder.reserved.value();
    }
    CHECK(prompt - reserved <= 315'000);
}

// Guards against work for an upstream that has announced its shutdown, restarted or vanished while the call waited for
// earlier prefills, and against a call that is sent although its route or key has been removed meanwhile.
TEST_CASE_METHOD(CoreFixture, "a waiting call follows changes of the list and the configuration", "[relay]")
{
    struct Row
    {
        std::string change;
        /// Whether the call uses engine e2, which it was planned for, in the end.
        bool usesPlanned;
        int status;
    };
    const Row row = GENERATE(values<Row>({
        {"nothing", true, 0},
        {"leaving", false, 0},
        {"vanished", false, 0},
        {"restarted", true, 0},
        {"moved", true, 0},
        {"suspected", false, 0},
        {"route moved", false, 0},
        {"route removed", false, 404},
        {"key removed", false, 401},
        {"last customer removed", false, 401},
        {"key of another customer", true, 0},
    }));
    configure();
    const auto engine = [](const std::string &id, const std::string &service) {
        UpstreamRecord record;
        record.id = InstanceId(id);
        record.service = ServiceName(service);
        record.address = UpstreamAddress("10.0.0.1:1");
        return record;
    };
    UpstreamList list {{engine("e1", "pool"), engine("e2", "pool"), engine("f1", "spare")}, 1};
    core.directory().apply(list, now);
    // The first prompt keeps both engines busy, so the second one waits.
    REQUIRE(submit("/g/x", "key", 0, Tokens(40'000)) == 0);
    REQUIRE(submit("/g/x", "key", 0, Tokens(40'000)) == 0);
    REQUIRE(actions.empty());

    list.revision.number = 2;
    RelayConfig config = m_config;
    config.version = RelayConfigVersion(2);
    config.services.emplace(ServiceName("spare"), config.services.begin()->second);
    if (row.change == "leaving") {
        list.records[1].leaving = true;
    } else if (row.change == "vanished") {
        list.records.erase(list.records.begin() + 1);
    } else if (row.change == "restarted") {
        list.records[1].incarnation = Incarnation(9);
    } else if (row.change == "moved") {
        list.records[1].address = UpstreamAddress("10.0.0.2:1");
    } else if (row.change == "suspected") {
        core.directory().noteReportedFailure(InstanceId("e2"), now);
    } else if (row.change == "route moved") {
        config.routes[0].shares = {{ServiceName("spare"), 1}};
        core.applyConfig(config, now);
    } else if (row.change == "route removed") {
        config.routes.erase(config.routes.begin());
        core.applyConfig(config, now);
    } else if (row.change == "key removed") {
        config.customers->front().keys = {"new"};
        core.applyConfig(config, now);
    } else if (row.change == "last customer removed") {
        config.customers->clear();
        core.applyConfig(config, now);
    } else if (row.change == "key of another customer") {
        config.customers = {{CustomerId("south"), {"key"}}};
        core.applyConfig(config, now);
    }
    core.directory().apply(list, now);
    const CallNumber waiting(2);
    const StartAttempt *started = nullptr;
    const Refuse *refused = nullptr;
    // A replaced plan may wait too.
    for (int step = 0; step < 20 && started == nullptr && refused == nullptr && core.nextDue(); ++step) {
        now = *core.nextDue();
        actions.clear();
        core.tick(now, actions);
        for (const RelayAction &action : actions) {
            if (action.call == waiting) {
                started = started != nullptr ? started : std::get_if<StartAttempt>(&action.action);
                refused = refused != nullptr ? refused : std::get_if<Refuse>(&action.action);
            }
        }
    }
    if (row.status != 0) {
        REQUIRE(refused != nullptr);
        CHECK(resultCodeInfo(refused->code).httpStatus == row.status);
        return;
    }
    REQUIRE(started != nullptr);
    std::vector<UpstreamRecord> used {started->plan.upstream};
    for (const AttemptHelper &helper : started->plan.helpers) {
        used.push_back(helper.upstream);
    }
    bool usesPlanned = false;
    for (const UpstreamRecord &record : used) {
        CHECK(record.service == ServiceName(row.change == "route moved" ? "spare" : "pool"));
        if (record.id == InstanceId("e2")) {
            usesPlanned = true;
            CHECK(record.incarnation == Incarnation(row.change == "restarted" ? 9 : 0));
            CHECK(record.address.value() == (row.change == "moved" ? "10.0.0.2:1" : "10.0.0.1:1"));
        }
    }
    CAPTURE(row.change);
    CHECK(usesPlanned == row.usesPlanned);
    CHECK(core.customerOf(waiting) == CustomerId(row.change == "key of another customer" ? "south" : "north"));
}

// Load: calls find an engine full. Guards against sending the next call to the engine that has just declined one while
// others have room.
TEST_CASE_METHOD(CoreFixture, "an engine that has declined a call is not chosen next", "[relay][load]")
{
    const auto [after, engine] = GENERATE(table<Duration, std::string>({{50ms, "e2"}, {400ms, "e1"}}));
    configure();
    std::vector<UpstreamRecord> records(2);
    records[0].id = InstanceId("e1");
    records[1].id = InstanceId("e2");
    for (UpstreamRecord &record : records) {
        record.service = ServiceName("pool");
    }
    core.directory().apply({records, 1}, now);
    core.upstreamDeclined(InstanceId("e1"), now);
    now += after;
    REQUIRE(submit("/g/x", "key") == 0);
    const auto *start = std::get_if<StartAttempt>(&actions.back().action);
    REQUIRE(start != nullptr);
    CHECK(start->plan.upstream.id == InstanceId(engine));
}

namespace
{

/// Entry of a fleet of three domains with 24 engines each.
class CellFixture : public CoreFixture
{
protected:
    CellFixture()
    {
        configure();
        for (const std::string domain : {"east", "north", "west"}) {
            for (int index = 0; index < 24; ++index) {
                UpstreamRecord engine;
                engine.id = InstanceId(domain + std::to_string(100 + index));
                engine.service = ServiceName("pool");
                engine.domain = FailureDomain(domain);
                m_list.records.push_back(engine);
            }
            for (int index = 0; index < 16; ++index) {
                const std::string name = "entry-" + domain + std::to_string(index);
                (void)entry.members().messageReceived({InstanceId(name), Incarnation(1), name, FailureDomain(domain)},
                                                      now);
            }
        }
        m_list.revision.number = 1;
        entry.directory().apply(m_list, now);
        entry.applyConfig(m_config, now);
        RelayActions ignored;
        entry.tick(now, ignored);
    }
    /// Submits a call and returns the domain of the engine that it is sent to; empty if it is refused.
    std::string place(Tokens prompt)
    {
        IncomingCall call;
        call.requestId = "r";
        call.host = "h";
        call.path = "/g/x";
        call.key = "key";
        call.size = {prompt, Tokens(100)};
        const std::size_t before = entry.ownPlacements(now).size();
        RelayActions ignored;
        (void)entry.submit(call, now, ignored);
        const std::vector<Placement> placed = entry.ownPlacements(now);
        if (placed.size() == before) {
            return {};
        }
        std::string domain;
        for (const Placement &placement : placed) {
            const std::string name = placement.decodingEngine.value();
            domain = name.substr(0, name.size() - 3);
        }
        return domain;
    }
    static RelayCoreSettings settings()
    {
        RelayCoreSettings result;
        result.self = InstanceId("self");
        result.domain = FailureDomain("east");
        return result;
    }

    RelayCore entry {settings(), 1, listener};
    UpstreamList m_list;
};

} // namespace

// Load: a large fleet whose domains are equally loaded. Guards against placements that are told to the whole fleet, and
// against calls that cross domains although the own one has room: together they took 60 % of what the fleet earned.
TEST_CASE_METHOD(CellFixture, "a call stays in its cell while that has room", "[relay][load]")
{
    const std::int64_t prompt = GENERATE(1'000, 5'000, 45'000, 220'000);
    REQUIRE(entry.inCell());
    for (int call = 0; call < 10; ++call) {
        CHECK(place(Tokens(prompt)) == "east");
    }
    CHECK(entry.takeLoadUpdate().placed.size() == 10);
    CHECK(entry.takeRemoteUpdates().empty());
}

// Load: the callers of other domains move to the own one. Guards against calls that queue in a full cell while another
// one is idle, and against entries of that one that do not learn of them.
TEST_CASE_METHOD(CellFixture, "a call leaves a full cell for a less loaded one", "[relay][load]")
{
    const bool reported = GENERATE(false, true);
    REQUIRE(entry.inCell());
    for (int call = 0; call < 48; ++call) {
        REQUIRE(place(Tokens(1'000)) == "east");
    }
    RelayActions ignored;
    now += 100ms;
    entry.tick(now, ignored);
    if (reported) {
        entry.noteDomainLoad(FailureDomain("north"), {0.1, 0ms}, now);
        entry.noteDomainLoad(FailureDomain("west"), {1.0, 0ms}, now);
    }
    (void)entry.takeLoadUpdate();
    CHECK(place(Tokens(1'000)) == (reported ? "north" : "east"));
    CHECK(entry.takeLoadUpdate().placed.size() == 1);
    const std::map<FailureDomain, LoadUpdate> remote = entry.takeRemoteUpdates();
    REQUIRE(remote.size() == (reported ? 1 : 0));
    if (reported) {
        CHECK(remote.begin()->first == FailureDomain("north"));
        CHECK(remote.begin()->second.placed.size() == 1);
    }
}

// Guards against calls that are refused because all engines of the own domain are gone.
TEST_CASE_METHOD(CellFixture, "a cell that loses its engines uses the others", "[relay]")
{
    const std::size_t left = GENERATE(0, 3);
    UpstreamList list = m_list;
    list.revision.number = 2;
    std::size_t kept = 0;
    std::erase_if(list.records, [&](const UpstreamRecord &record) {
        return record.domain == FailureDomain("east") && kept++ >= left;
    });
    entry.directory().apply(list, now);
    // A loss of a third of the list at once may be an outage of the list.
    now += 5s;
    entry.directory().expire(now);
    RelayActions ignored;
    entry.tick(now, ignored);
    CHECK_FALSE(entry.inCell());
    CHECK_FALSE(place(Tokens(5'000)).empty());
}
