#include "ibismast/relay/relaycore.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

const UpstreamRunKey Run(1);

UpstreamPaceSettings enabledPace()
{
    UpstreamPaceSettings settings;
    settings.enabled = true;
    return settings;
}

enum class Trouble {
    None,
    SlowAtFirst,
    /// Becomes slow again while it is used in full.
    SlowAgain,
    SlowForever,
    Flaps,
    Declines,
};

} // namespace

// Failure: an upstream that has just started or recovered. Guards against one that is flooded although it answers late,
// declines or fails, and against one that is left idle although it keeps the predictions (issue 44).
TEST_CASE("the share of a recovered upstream follows its responses", "[relay]")
{
    const auto [trouble, least, most, slow] = GENERATE(table<Trouble, double, double, bool>({
        {Trouble::None, 1.0, 1.0, false},
        {Trouble::SlowAtFirst, 1.0, 1.0, false},
        {Trouble::SlowAgain, 0.0, 0.3, true},
        {Trouble::SlowForever, 0.0, 0.06, true},
        {Trouble::Flaps, 0.0, 0.8, false},
        {Trouble::Declines, 0.0, 0.06, false},
    }));
    const bool plain = GENERATE(false, true);
    CAPTURE(static_cast<int>(trouble), plain);
    UpstreamPace pace(enabledPace());
    TimePoint now {1'000s};
    const ServiceName service("pool");
    (void)pace.noteResponse(UpstreamRunKey(2), service, 100ms, now);
    CHECK(pace.share(Run) == 1.0);
    REQUIRE(pace.begin(Run, now));
    CHECK_FALSE(pace.begin(Run, now));
    for (int count = 0; count < 100; ++count) {
        now += 50ms;
        const bool late = trouble == Trouble::SlowForever || (trouble == Trouble::SlowAtFirst && count < 40)
            || (trouble == Trouble::SlowAgain && count >= 80);
        const Duration observed = late ? 800ms : 100ms;
        if (trouble == Trouble::Declines) {
            (void)pace.noteDeclined(Run, now);
        } else if (trouble == Trouble::Flaps && count % 10 == 0) {
            (void)pace.noteFailure(Run, now);
            CHECK(pace.share(Run) <= enabledPace().firstShare);
        } else if (plain) {
            (void)pace.noteResponse(Run, service, observed, now);
        } else {
            (void)pace.noteFirstEvent(Run, 100ms, observed, now);
        }
    }
    CHECK(pace.share(Run) >= least);
    CHECK(pace.share(Run) <= most);
    CHECK((pace.slowness(Run, now) > 2.0) == slow);
    // A slow upstream is tried again, and a new run inherits nothing.
    CHECK(pace.slowness(Run, now + 11s) < 1.2);
    CHECK(pace.share(UpstreamRunKey(3)) == 1.0);
}

// Failure: entries see an upstream at different times, and reports are lost or late. Guards against an older share that
// replaces a newer one, and against pacing that an entry without it takes over.
TEST_CASE("the newest share that any entry has found counts", "[relay]")
{
    const auto [enabled, known, age, expected] = GENERATE(table<bool, bool, Duration, double>({
        {true, true, 500ms, 0.6},
        {true, true, 1500ms, 0.5},
        {true, false, 500ms, 0.6},
        {false, false, 500ms, 1.0},
    }));
    UpstreamPaceSettings settings;
    settings.enabled = enabled;
    UpstreamPace pace(settings);
    const TimePoint now {1'000s};
    if (known) {
        (void)pace.begin(Run, now - 1s);
    }
    pace.apply({{Run, 0.6, age}}, now);
    CHECK(pace.share(Run) == Approx(expected));
    pace.expire(now + settings.retention);
    CHECK(pace.share(Run) == 1.0);
}

// Load: a burst just after a whole failure domain has come back. Guards against engines that are flooded before they
// have answered, and against ones that stay idle after they have.
TEST_CASE("engines of a recovered domain get work by their pace", "[relay][load]")
{
    const bool enabled = GENERATE(false, true);
    EventListener listener;
    RelayCoreSettings settings;
    settings.self = InstanceId("entry");
    settings.pace.enabled = enabled;
    RelayCore core(settings, 1, listener);
    TimePoint now {1'000s};
    RelayConfig config;
    config.version = RelayConfigVersion(1);
    RelayRoute &route = config.routes.emplace_back();
    route.host = "h";
    route.pathPrefix = "/g/";
    route.kind = CallKind::ResumableStream;
    route.shares = {{ServiceName("pool"), 1}};
    route.isPublic = true;
    EngineProfile engine;
    engine.slots = 12;
    engine.memory = Tokens(300'000);
    config.services.emplace(ServiceName("pool"), RelayService {ServiceName("pool"), 64, engine});
    core.applyConfig(config, now);
    UpstreamList list;
    for (std::size_t index = 0; index < 6; ++index) {
        if (index == 3) {
            ++list.revision.number;
            core.directory().apply(list, now);
        }
        UpstreamRecord &record = list.records.emplace_back();
        record.id = InstanceId((index < 3 ? "old" : "new") + std::to_string(index));
        record.service = ServiceName("pool");
        record.address = UpstreamAddress("10.0.0.1:" + std::to_string(80 + index));
        record.incarnation = Incarnation(1);
    }
    ++list.revision.number;
    const auto burst = [&](std::map<InstanceId, int> &streams) {
        RelayActions actions;
        for (int count = 0; count < 50; ++count) {
            IncomingCall incoming;
            incoming.requestId = "r";
            incoming.host = "h";
            incoming.path = "/g/";
            incoming.size = {Tokens(1'000), Tokens(100)};
            REQUIRE(errorOf(core.submit(incoming, now, actions)) == nullptr);
        }
        now += 50ms;
        for (std::size_t next = 0; next < actions.size(); ++next) {
            if (const auto *start = std::get_if<StartAttempt>(&actions[next].action)) {
                ++streams[start->plan.upstream.id];
                const int attempt = start->attempt;
                const CallNumber call = actions[next].call;
                RelayActions answers;
                core.headReceived(call, attempt, {200, false, true, {}}, now, answers);
                core.bodyReceived(call, attempt, "id: 1\ndata: x\n\n", now, answers);
                core.responseCompleted(call, attempt, now, answers);
            }
        }
    };
    const auto largestOfNew = [](const std::map<InstanceId, int> &streams) {
        int largest = 0;
        for (const auto &[id, count] : streams) {
            largest = id.value().starts_with("new") ? std::max(largest, count) : largest;
        }
        return largest;
    };
    core.directory().apply(list, now);
    std::map<InstanceId, int> first;
    burst(first);
    CHECK((largestOfNew(first) <= 6) == enabled);
    std::map<InstanceId, int> later;
    for (int count = 0; count < 4; ++count) {
        later.clear();
        burst(later);
    }
    CHECK(largestOfNew(later) > 6);
}
