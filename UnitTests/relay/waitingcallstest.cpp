#include "ibismast/relay/relaycore.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

/// Entry with a waiting room and one engine of two slots, on which a stream takes 200 ms.
class WaitingFixture
{
protected:
    WaitingFixture()
    {
        config.version = RelayConfigVersion(1);
        RelayRoute route;
        route.host = "h";
        route.pathPrefix = "/g/";
        route.kind = CallKind::ResumableStream;
        route.shares = {{ServiceName("pool"), 1}};
        route.objective = 1'000ms;
        route.maxAttempts = 2;
        config.routes.push_back(route);
        route.pathPrefix = "/u/";
        route.priority = CallPriority(0);
        config.routes.push_back(route);
        route.pathPrefix = "/s/";
        route.objective = 150ms;
        config.routes.push_back(route);
        EngineProfile engine;
        engine.slots = 2;
        engine.memory = Tokens(315'000);
        engine.typicalOutputTokens = 200;
        config.services.emplace(ServiceName("pool"), RelayService {ServiceName("pool"), 64, engine});
        config.customers = {{CustomerId("north"), {"key"}}};
    }
    void begin(bool enabled = true, bool shares = false)
    {
        RelayCoreSettings settings;
        settings.shares.enabled = shares;
        settings.waiting.enabled = enabled;
        core = std::make_unique<RelayCore>(settings, 1, listener);
        core->applyConfig(config, now);
        UpstreamRecord engine;
        engine.id = InstanceId("e1");
        engine.service = ServiceName("pool");
        list = {{engine}, 1};
        core->directory().apply(list, now);
    }
    CallNumber submit(const std::string &path,
                      std::int64_t prompt = 1'000,
                      std::uint64_t fingerprint = 0,
                      const std::string &key = "key")
    {
        IncomingCall call;
        call.requestId = "r";
        call.host = "h";
        call.path = path;
        call.key = key;
        call.size = {Tokens(prompt), Tokens(100)};
        call.fingerprint = fingerprint;
        return std::get<CallNumber>(core->submit(call, now, actions));
    }
    /// Ends the stream of a call whose attempt has started.
    void end(CallNumber call)
    {
        ResponseHead head;
        head.status = 200;
        core->headReceived(call, 1, head, now, actions);
        core->bodyReceived(call, 1, "id: 1\ndata: x\n\n", now, actions);
        core->responseCompleted(call, 1, now, actions);
    }
    /// Advances the time to @p end and handles all timeouts.
    void advance(Duration time)
    {
        const TimePoint end = now + time;
        while (core->nextDue() && *core->nextDue() <= end) {
            now = std::max(now, *core->nextDue());
            core->tick(now, actions);
        }
        now = end;
    }
    [[nodiscard]] bool started(CallNumber call) const
    {
        return find<StartAttempt>(call) != nullptr;
    }
    [[nodiscard]] const Refuse *refusal(CallNumber call) const
    {
        return find<Refuse>(call);
    }
    template<typename Action> [[nodiscard]] const Action *find(CallNumber call) const
    {
        for (const RelayAction &action : actions) {
            if (action.call == call && std::holds_alternative<Action>(action.action)) {
                return &std::get<Action>(action.action);
            }
        }
        return nullptr;
    }

    EventListener listener;
    RelayConfig config;
    UpstreamList list;
    RelayActions actions;
    std::unique_ptr<RelayCore> core;
    TimePoint now {1'000s};
};

} // namespace

// Guards against a burst in which the calls that come first take the engine, and the rest is sent into its queue or is
// refused although room is near.
TEST_CASE_METHOD(WaitingFixture, "a call without room waits for the end of another one", "[relay][waiting]")
{
    const bool enabled = GENERATE(true, false);
    begin(enabled);
    const CallNumber first = submit("/g/x");
    submit("/g/x");
    const CallNumber third = submit("/g/x");
    const CallNumber fourth = submit("/g/x");
    // Without the room the engine's queue gets one call, and the next one is refused.
    CHECK(started(third) == !enabled);
    CHECK((refusal(fourth) != nullptr) == !enabled);
    CHECK(core->waitingRoom().size() == (enabled ? 2 : 0));
    if (enabled) {
        end(first);
        CHECK(started(third));
        CHECK_FALSE(started(fourth));
        CHECK(core->waitingRoom().size() == 1);
    }
}

// Guards against calls that overtake those that wait, and against urgent calls that wait behind others.
TEST_CASE_METHOD(WaitingFixture, "room goes to the most urgent call that waits", "[relay][waiting]")
{
    const auto [paths, order] = GENERATE(table<std::vector<std::string>, std::vector<std::size_t>>({
        {std::vector<std::string> {"/g/x", "/g/x"}, {0, 1}},
        {std::vector<std::string> {"/g/x", "/u/x"}, {1, 0}},
        {std::vector<std::string> {"/u/x", "/g/x"}, {0, 1}},
        {std::vector<std::string> {"/u/x", "/s/x"}, {1, 0}},
        {std::vector<std::string> {"/g/x", "/u/x", "/s/x"}, {2, 1, 0}},
    }));
    config.services.at(ServiceName("pool")).engine->stepMs = 0.5;
    begin();
    std::vector<CallNumber> running {submit("/g/x"), submit("/g/x")};
    std::vector<CallNumber> waiting;
    for (const std::string &path : paths) {
        waiting.push_back(submit(path));
        now += 1ms;
    }
    for (const std::size_t next : order) {
        REQUIRE_FALSE(started(waiting[next]));
        end(running.front());
        running.erase(running.begin());
        REQUIRE(started(waiting[next]));
        running.push_back(waiting[next]);
    }
}

// Guards against calls that cost time at the entry and at engines although they cannot be in time: they are refused at
// once, or as soon as the prediction fails, and not at their deadline.
TEST_CASE_METHOD(WaitingFixture, "a call that cannot begin in time is refused early", "[relay][waiting]")
{
    config.services.at(ServiceName("pool")).engine->stepMs = GENERATE(1.0, 3.0, 30.0);
    const double streamMs = config.services.at(ServiceName("pool")).engine->stepMs * 200;
    begin();
    submit("/g/x");
    submit("/g/x");
    const CallNumber call = submit("/g/x");
    if (streamMs > 1'000.0) {
        REQUIRE(refusal(call) != nullptr);
        CHECK(refusal(call)->retryAfter == 3s);
        CHECK(core->waitCounts().refusedAtOnce == 1);
        return;
    }
    CHECK(refusal(call) == nullptr);
    CHECK(core->waitingRoom().size() == 1);
    advance(1'000ms);
    REQUIRE(refusal(call) != nullptr);
    CHECK(resultCodeInfo(refusal(call)->code).notRun);
    CHECK(core->waitCounts().refusedLater == 1);
    CHECK(core->waitingRoom().size() == 0);
}

// Guards against calls that wait although they must not be served any more, and against places that stay taken.
TEST_CASE_METHOD(WaitingFixture, "changes apply to calls that wait", "[relay][waiting]")
{
    struct Row
    {
        std::string change;
        /// Status of the refusal; 0 if the call goes on waiting or has ended.
        int status;
        std::size_t waiting;
    };
    const Row row = GENERATE(values<Row>({
        {"none", 0, 1},
        {"caller leaves", 0, 0},
        {"stop", 503, 0},
        {"route removed", 404, 0},
        {"key removed", 401, 0},
        {"last customer removed", 401, 0},
        {"engine leaves", 503, 0},
        {"entry lost", 0, 1},
    }));
    CAPTURE(row.change);
    begin();
    const CallNumber first = submit("/g/x");
    submit("/g/x");
    const CallNumber call = submit("/g/x");
    config.version = RelayConfigVersion(2);
    list.revision.number = 2;
    if (row.change == "caller leaves") {
        core->callerDisconnected(call, now, actions);
        CHECK(core->waitingRoom().size() == 0);
    } else if (row.change == "stop") {
        core->beginStop(now + 60s);
    } else if (row.change == "route removed") {
        config.routes.erase(config.routes.begin());
        core->applyConfig(config, now);
    } else if (row.change == "key removed") {
        config.customers->front().keys = {"new"};
        core->applyConfig(config, now);
    } else if (row.change == "last customer removed") {
        config.customers->clear();
        core->applyConfig(config, now);
    } else if (row.change == "engine leaves") {
        list.records[0].leaving = true;
        core->directory().apply(list, now);
    } else if (row.change == "entry lost") {
        core->dropEntry(InstanceId("other"), now);
    }
    advance(60ms);
    CHECK(core->waitingRoom().size() == row.waiting);
    CHECK((refusal(call) == nullptr ? 0 : resultCodeInfo(refusal(call)->code).httpStatus) == row.status);
    actions.clear();
    end(first);
    CHECK(started(call) == (row.waiting == 1));
}

// Guards against a second refusal of a request that would have found room, and against callers that are held until they
// leave although no room is predicted for them.
TEST_CASE_METHOD(WaitingFixture,
                 "a call that returns after a refusal waits while room is predicted",
                 "[relay][waiting]")
{
    const bool roomInTime = GENERATE(true, false);
    begin();
    const CallNumber first = submit("/g/x");
    submit("/g/x");
    CHECK(refusal(submit("/s/x", 1'000, 7)) != nullptr);
    now += 300ms;
    actions.clear();
    const CallNumber call = submit("/s/x", 1'000, 7);
    CHECK(core->waitingRoom().size() == 1);
    advance(400ms);
    CHECK_FALSE(started(call));
    CHECK(refusal(call) == nullptr);
    if (roomInTime) {
        end(first);
        CHECK(started(call));
        return;
    }
    // Streams that are long overdue are not predicted to end in time any more.
    advance(1'100ms);
    CHECK_FALSE(started(call));
    REQUIRE(refusal(call) != nullptr);
    CHECK(resultCodeInfo(refusal(call)->code).notRun);
}

// Guards against an objective that is missed for a call that has missed its own already.
TEST_CASE_METHOD(WaitingFixture, "a new call goes before one that returns after a refusal", "[relay][waiting]")
{
    begin();
    const CallNumber first = submit("/g/x");
    submit("/g/x");
    CHECK(refusal(submit("/s/x", 1'000, 7)) != nullptr);
    now += 100ms;
    actions.clear();
    const CallNumber returning = submit("/s/x", 1'000, 7);
    const CallNumber fresh = submit("/u/x");
    CHECK(core->waitingRoom().size() == 2);
    end(first);
    CHECK(started(fresh));
    CHECK_FALSE(started(returning));
}

// Load: a burst whose excess is refused and comes back. Guards against returning calls, which are late already, that
// take the slots of new ones, and against a Retry-After that brings callers back into the same burst.
TEST_CASE_METHOD(WaitingFixture, "returning calls leave the free slots to the new calls of a burst", "[relay][waiting]")
{
    const auto [burst, pause, starts] =
        GENERATE(table<int, Duration, bool>({{0, 0s, true}, {30, 0s, false}, {30, 5s, true}}));
    CAPTURE(burst);
    begin();
    LoadUpdate update;
    update.refused.assign(static_cast<std::size_t>(burst), 9);
    update.refused.push_back(7);
    core->applyLoadUpdate(InstanceId("other"), update, now);
    now += pause;
    const CallNumber returning = submit("/s/x", 1'000, 7);
    CHECK(started(returning) == starts);
    CHECK(refusal(returning) == nullptr);
    const CallNumber fresh = submit("/s/x");
    CHECK(started(fresh));
}

// Load: the same burst. Guards against a Retry-After that brings callers back while new calls still take all the room.
TEST_CASE_METHOD(WaitingFixture, "calls that are refused in a burst come back after a longer time", "[relay][waiting]")
{
    const auto [burst, late] = GENERATE(table<int, bool>({{0, false}, {30, true}}));
    begin();
    submit("/g/x");
    submit("/g/x");
    LoadUpdate update;
    update.refused.assign(static_cast<std::size_t>(burst), 9);
    core->applyLoadUpdate(InstanceId("other"), update, now);
    const CallNumber call = submit("/s/x");
    REQUIRE(refusal(call) != nullptr);
    CHECK((refusal(call)->retryAfter == 3s) == late);
}

// Load: very long prompts that come back while short ones take the room. Guards against engines whose streams all miss
// their objectives for one prompt; without the waiting room it goes to engines with work when it comes back.
TEST_CASE_METHOD(WaitingFixture,
                 "a prompt beyond one engine's memory waits for engines without other work",
                 "[relay][waiting]")
{
    const auto [returning, room] =
        GENERATE(table<bool, bool>({{false, true}, {true, true}, {false, false}, {true, false}}));
    config.services.at(ServiceName("pool")).engine->memory = Tokens(10'000);
    config.services.at(ServiceName("pool")).engine->slots = 4;
    begin(room);
    for (const char *id : {"e2", "e3"}) {
        list.records.push_back(list.records.front());
        list.records.back().id = InstanceId(id);
    }
    ++list.revision.number;
    core->directory().apply(list, now);
    for (int stream = 0; stream < 6; ++stream) {
        submit("/g/x");
    }
    if (returning) {
        core->applyLoadUpdate(InstanceId("other"), {{}, {}, {}, {7}}, now);
    }
    submit("/g/x", 12'000, 7);
    CHECK(core->ownPlacements(now).size() == (returning && !room ? 7 : 6));
}

// Guards against prompts that an engine reads after their callers have left.
TEST_CASE_METHOD(WaitingFixture,
                 "a call whose caller would leave before the first event is not sent",
                 "[relay][waiting]")
{
    const auto [rate, sent] = GENERATE(table<double, bool>({{1'000.0, true}, {400.0, false}}));
    config.services.at(ServiceName("pool")).engine->prefillTokensPerSecond = rate;
    begin();
    CHECK(started(submit("/s/x", 1'000)) == sent);
    CHECK(core->waitCounts().entered + core->waitCounts().refusedAtOnce == (sent ? 0 : 1));
}

// Guards against kinds and sizes that are never served while more urgent calls take all the room.
TEST_CASE_METHOD(WaitingFixture, "no kind or size starves while urgent calls take the room", "[relay][waiting]")
{
    const auto [path, prompt] = GENERATE(
        table<std::string, std::int64_t>({{"/g/x", 1'000}, {"/u/x", 1'000}, {"/u/x", 40'000}, {"/g/x", 40'000}}));
    CAPTURE(path, prompt);
    begin();
    std::vector<CallNumber> running {submit("/s/x"), submit("/s/x")};
    const CallNumber call = submit(path, prompt);
    std::vector<CallNumber> burst;
    for (int step = 0; step < 10 && !started(call); ++step) {
        burst.push_back(submit("/s/x"));
        advance(50ms);
        burst.push_back(submit("/s/x"));
        advance(50ms);
        end(running.front());
        running.erase(running.begin());
        for (const CallNumber &other : burst) {
            if (started(other) && std::ranges::find(running, other) == running.end()) {
                running.push_back(other);
                std::erase(burst, other);
                break;
            }
        }
    }
    CHECK(started(call));
}

// Guards against a customer whose burst takes the room for which others wait at this entry or another one, against one
// that is held back although nobody waits, and against one that is never served again.
TEST_CASE_METHOD(WaitingFixture, "a customer above its share yields while others wait", "[relay][waiting][shares]")
{
    struct Row
    {
        bool shares;
        std::string waiting;
        bool yields;
    };
    const Row row = GENERATE(values<Row>({
        {false, "south", false},
        {true, "", false},
        {true, "north", false},
        {true, "south", true},
    }));
    config.customers->push_back({CustomerId("south"), {"south"}});
    begin(true, row.shares);
    const InstanceId other("other");
    const ServiceName pool("pool");
    const auto report = [&](Duration hot) {
        std::vector<CustomerWork> works {{pool, CustomerId("north"), hot, 0ms},
                                         {pool, CustomerId("south"), 1s + hot / 20, 0ms}};
        if (!row.waiting.empty()) {
            works[row.waiting == "north" ? 0 : 1].waiting = 10ms;
        }
        LoadUpdate update;
        update.customerWork = std::move(works);
        core->applyLoadUpdate(other, update, now);
    };
    report(0s);
    report(20s);
    const CallNumber hot = submit("/g/x");
    CHECK(started(hot) != row.yields);
    CHECK(started(submit("/g/x", 1'000, 0, "south")));
    if (row.yields) {
        core->dropEntry(other, now);
        advance(60ms);
        CHECK(started(hot));
    }
}

// Guards against calls of a customer above its share that come first and stand before those of others.
TEST_CASE_METHOD(WaitingFixture, "calls of a customer above its share are due later", "[relay][waiting][shares]")
{
    const bool shares = GENERATE(false, true);
    config.customers->push_back({CustomerId("south"), {"south"}});
    begin(true, shares);
    LoadUpdate update;
    for (const Duration sent : {0s, 20s}) {
        update.customerWork = {{ServiceName("pool"), CustomerId("north"), sent, 0ms},
                               {ServiceName("pool"), CustomerId("south"), sent / 20, 0ms}};
        core->applyLoadUpdate(InstanceId("other"), update, now);
    }
    const CallNumber first = submit("/g/x");
    submit("/g/x");
    const CallNumber hot = submit("/g/x");
    const CallNumber calm = submit("/g/x", 1'000, 0, "south");
    end(first);
    CHECK(started(calm) == shares);
    CHECK(started(hot) != shares);
}
