#include "ibismast/relay/relaycore.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

constexpr PromptPartId SystemPart {0x5c};
constexpr PromptPartId OtherSystemPart {0x5d};
constexpr PromptPartId CrashingPart {0xbad};

/// One entry with twenty engines, which crash when they begin to answer a prompt that holds `CrashingPart`.
class CrashFixture
{
protected:
    CrashFixture()
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
        EngineProfile engine;
        engine.slots = 16;
        engine.memory = Tokens(315'000);
        config.services.emplace(ServiceName("pool"), RelayService {ServiceName("pool"), 64, engine});
        core.applyConfig(config, now);
        for (int index = 10; index < 30; ++index) {
            UpstreamRecord &record = m_list.records.emplace_back();
            record.id = InstanceId("e" + std::to_string(index));
            record.service = ServiceName("pool");
            record.address = UpstreamAddress("10.0.0." + std::to_string(index) + ":1");
        }
        applyList();
    }
    /// Lets the engines that have crashed start again.
    void restartEngines()
    {
        for (UpstreamRecord &record : m_list.records) {
            if (m_crashed.contains(record.id)) {
                record.incarnation = Incarnation(record.incarnation.value() + 1);
            }
        }
        m_crashed.clear();
        applyList();
    }
    /// Point at which an engine crashes under `CrashingPart`.
    enum class CrashPoint {
        BeforeHead,
        BeforeFirstEvent,
        InsideSecondEvent,
    };

    /// Plays one call to its end and returns whether it was answered.
    bool play(const std::vector<PromptPartId> &parts)
    {
        IncomingCall incoming;
        incoming.requestId = "r" + std::to_string(++m_calls);
        incoming.host = "h";
        incoming.path = "/g/x";
        incoming.size = {Tokens(2'000), Tokens(100)};
        incoming.contentHash = m_calls;
        incoming.promptParts = parts;
        const bool crashes = !repaired && std::ranges::find(parts, CrashingPart) != parts.end();
        RelayActions actions;
        const Result<CallNumber> submitted = core.submit(incoming, now, actions);
        if (errorOf(submitted) != nullptr) {
            return false;
        }
        const CallNumber call = std::get<CallNumber>(submitted);
        const TimePoint end = now + 10s;
        while (core.openCalls() > 0 && now < end) {
            RelayActions next;
            for (const RelayAction &action : actions) {
                if (const auto *start = std::get_if<StartAttempt>(&action.action)) {
                    now += 50ms;
                    if (!crashes || crashPoint != CrashPoint::BeforeHead) {
                        core.headReceived(call, start->attempt, {200, false, true, {}}, now, next);
                    }
                    if (crashes) {
                        ++crashingAttempts;
                        m_crashed.insert(start->plan.upstream.id);
                        lateAttempts += m_fifthCrash && now > *m_fifthCrash + 3s ? 1 : 0;
                        if (crashPoint == CrashPoint::InsideSecondEvent) {
                            core.bodyReceived(call, start->attempt, "id: 1\ndata: x\n\nid: 2\nda", now, next);
                            now += 5ms;
                        }
                        if (crashingAttempts == 5) {
                            m_fifthCrash = now;
                        }
                        core.attemptFailed(
                            call, start->attempt, AttemptFailure::Broken, "the connection ended", now, next);
                    } else {
                        core.bodyReceived(call, start->attempt, "id: 1\ndata: x\n\n", now, next);
                        core.responseCompleted(call, start->attempt, now, next);
                    }
                }
            }
            actions = std::move(next);
            if (actions.empty() && core.openCalls() > 0) {
                now += 100ms;
                core.tick(now, actions);
            }
        }
        return !crashes;
    }
    /// Plays prompts for @p time, two a second, and returns how many were answered.
    int playFor(Duration time, const std::vector<PromptPartId> &parts)
    {
        int answered = 0;
        for (const TimePoint end = now + time; now < end; now += 500ms) {
            answered += play(parts) ? 1 : 0;
            RelayActions actions;
            core.tick(now, actions);
        }
        return answered;
    }

    TimePoint now {1'000s};
    EventListener listener;
    RelayCore core {RelayCoreSettings(), 1, listener};
    CrashPoint crashPoint = CrashPoint::BeforeFirstEvent;
    /// True if engines do not crash any more.
    bool repaired = false;
    /// Attempts at an engine with `CrashingPart`.
    int crashingAttempts = 0;
    /// Those later than three seconds after the fifth crash.
    int lateAttempts = 0;

private:
    void applyList()
    {
        ++m_list.revision.number;
        core.directory().apply(m_list, now);
    }

    UpstreamList m_list;
    std::set<InstanceId> m_crashed;
    std::uint64_t m_calls = 0;
    std::optional<TimePoint> m_fifthCrash;
};

} // namespace

// Guards against prompts with one part in common that crash one engine after the other (issue 26, BUDGET): after five
// crashes such a prompt reaches no engine, while prompts that share the other parts are served.
TEST_CASE_METHOD(CrashFixture, "a prompt part that crashes engines is kept from them", "[relay]")
{
    using Parts = std::vector<PromptPartId>;
    const auto [crashing, sound] = GENERATE(table<Parts, Parts>({
        {{SystemPart, CrashingPart}, {SystemPart}},
        {{CrashingPart, SystemPart}, {SystemPart}},
        {{CrashingPart}, {SystemPart}},
        {{SystemPart, OtherSystemPart, CrashingPart}, {SystemPart, OtherSystemPart}},
    }));
    const int soundCalls = GENERATE(0, 1, 5);
    int answered = 0;
    for (int round = 0; round < 10; ++round) {
        now += 400ms;
        (void)play(crashing);
        for (int call = 0; call < soundCalls; ++call) {
            answered += play(sound) ? 1 : 0;
        }
        // The engines are back after some seconds.
        now += 4s;
    }
    CHECK(crashingAttempts <= 5);
    CHECK(answered == 10 * soundCalls);
    CHECK(play(sound));
}

// Guards against prompts with one part in common that crash one engine after the other behind their first events or
// before the head (review case 9, BUDGET): later than three seconds after the fifth crash, three of them reach engines
// at most, while prompts that share the other parts are served.
TEST_CASE_METHOD(CrashFixture, "a crashing part is found wherever in the answer its engines crash", "[relay]")
{
    using Parts = std::vector<PromptPartId>;
    const auto [crashing, sound] = GENERATE(table<Parts, Parts>({
        {{SystemPart, CrashingPart}, {SystemPart}},
        {{CrashingPart, SystemPart}, {SystemPart}},
        {{CrashingPart}, {SystemPart}},
        {{SystemPart, OtherSystemPart, CrashingPart}, {SystemPart, OtherSystemPart}},
    }));
    crashPoint = GENERATE(CrashPoint::BeforeHead, CrashPoint::BeforeFirstEvent, CrashPoint::InsideSecondEvent);
    const int soundCalls = GENERATE(0, 1, 5);
    int answered = 0;
    for (int round = 0; round < 12; ++round) {
        now += 400ms;
        (void)play(crashing);
        for (int call = 0; call < soundCalls; ++call) {
            answered += play(sound) ? 1 : 0;
        }
        now += 4s;
        restartEngines();
        RelayActions actions;
        core.tick(now, actions);
    }
    CHECK(crashingAttempts >= 3);
    CHECK(lateAttempts <= 3);
    CHECK(answered == 12 * soundCalls);
    CHECK(play(sound));
}

// Guards against parts that stay in quarantine for ten minutes although they are sound, since no answer to them can
// come (related to review case 11, LOST), against a test that crashes two engines, and against tests with prompts that
// would tell nothing of these parts.
TEST_CASE_METHOD(CrashFixture, "quarantined parts are tested once", "[relay]")
{
    using Parts = std::vector<PromptPartId>;
    struct Row
    {
        std::string name;
        Parts crashing;
        Parts tested;
        /// Whether a prompt with the parts `tested` may be the test.
        bool mayTest;
    };
    const Row row = GENERATE(values<Row>({
        {"same prompt", {SystemPart, CrashingPart}, {SystemPart, CrashingPart}, true},
        {"alone", {CrashingPart}, {CrashingPart}, true},
        {"a sound part more", {CrashingPart}, {SystemPart, CrashingPart}, true},
        {"an unknown part more", {CrashingPart}, {OtherSystemPart, CrashingPart}, false},
    }));
    crashPoint = GENERATE(CrashPoint::BeforeHead, CrashPoint::BeforeFirstEvent, CrashPoint::InsideSecondEvent);
    const bool sound = GENERATE(false, true);
    CAPTURE(row.name, crashPoint, sound);
    CHECK(play({SystemPart}));
    playFor(2s, row.crashing);
    REQUIRE(core.quarantinedParts(now) > 0);
    const int crashes = crashingAttempts;
    repaired = sound;
    CHECK(playFor(2s, row.tested) == 0);
    CHECK(crashingAttempts == crashes);
    // The prompts of a minute: one is the test.
    const int answered = playFor(60s, row.tested);
    CHECK((answered > 0) == (sound && row.mayTest));
    CHECK(crashingAttempts == crashes + (!sound && row.mayTest ? 1 : 0));
    CHECK((core.quarantinedParts(now) == 0) == (sound && row.mayTest));
}
