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
        UpstreamList list;
        list.revision.number = 1;
        for (int index = 10; index < 30; ++index) {
            UpstreamRecord &record = list.records.emplace_back();
            record.id = InstanceId("e" + std::to_string(index));
            record.service = ServiceName("pool");
            record.address = UpstreamAddress("10.0.0." + std::to_string(index) + ":1");
        }
        core.directory().apply(list, now);
    }
    /// Plays one call to its end and returns whether it was answered.
    bool play(const std::vector<PromptPartId> &parts)
    {
        IncomingCall incoming;
        incoming.requestId = "r" + std::to_string(++m_calls);
        incoming.host = "h";
        incoming.path = "/g/x";
        incoming.size = {Tokens(2'000), Tokens(100)};
        incoming.fingerprint = m_calls;
        incoming.promptParts = parts;
        const bool crashes = std::ranges::find(parts, CrashingPart) != parts.end();
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
                    core.headReceived(call, start->attempt, {200, false, true, {}}, now, next);
                    if (crashes) {
                        ++crashingAttempts;
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

    TimePoint now {1'000s};
    EventListener listener;
    RelayCore core {RelayCoreSettings(), 1, listener};
    /// Attempts at an engine with `CrashingPart`.
    int crashingAttempts = 0;

private:
    std::uint64_t m_calls = 0;
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

namespace
{

/// Quarantines of two entries that send each other messages.
class QuarantineFixture
{
protected:
    /// An attempt of @p call at @p upstream breaks off at the start of its answer.
    void breakAt(PromptQuarantine &entry, int upstream, std::uint64_t call, const std::vector<PromptPartId> &parts)
    {
        entry.noteBrokenStart(InstanceId("e" + std::to_string(upstream)), call, parts, now);
    }
    [[nodiscard]] bool isQuarantined(const PromptQuarantine &entry, PromptPartId part) const
    {
        return entry.find({part}, now).has_value();
    }

    TimePoint now {1'000s};
    EventListener listener;
    PromptQuarantine first {PromptQuarantineSettings(), listener};
    PromptQuarantine second {PromptQuarantineSettings(), listener};
};

} // namespace

// Guards against a part that is quarantined although something else broke the connections: a lost network path, one
// faulty upstream, one call that is sent again and again, or a part that upstreams answer.
TEST_CASE_METHOD(QuarantineFixture, "a part is quarantined only if several crashes have it in common", "[relay]")
{
    struct Row
    {
        std::string cause;
        int breaks;
        Duration apart;
        int calls;
        int upstreams;
        bool answered;
        bool quarantined;
    };
    const Row row = GENERATE(values<Row>({
        {"crashing part", 3, 500ms, 3, 3, false, true},
        {"crashing part at a high rate", 4, 100ms, 4, 4, false, true},
        {"crashing part, calls sent twice", 4, 300ms, 2, 4, false, true},
        {"too few crashes", 2, 500ms, 2, 2, false, false},
        {"lost network path", 10, 5ms, 10, 10, false, false},
        {"faulty upstream", 5, 500ms, 5, 1, false, false},
        {"one call", 4, 500ms, 1, 4, false, false},
        {"sound part", 10, 500ms, 10, 10, true, false},
    }));
    INFO(row.cause);
    for (int index = 0; index < row.breaks; ++index) {
        now += row.apart;
        breakAt(first, index % row.upstreams, static_cast<std::uint64_t>(index % row.calls), {CrashingPart});
        if (row.answered && index % 2 == 1) {
            first.noteSound({CrashingPart}, now);
        }
    }
    CHECK(isQuarantined(first, CrashingPart) == row.quarantined);
}

// Guards against a refusal of sound prompts that share some parts with the crashing ones, also where no upstream has
// answered any of them yet: parts that cannot be told apart are quarantined together.
TEST_CASE_METHOD(QuarantineFixture, "only the parts that explain the crashes are quarantined", "[relay]")
{
    using Prompts = std::vector<std::vector<PromptPartId>>;
    const PromptPartId a(0xa);
    const PromptPartId b(0xb);
    const PromptPartId c(0xc);
    struct Row
    {
        Prompts crashing;
        /// Part of a prompt that an upstream answers afterwards; 0 for none.
        PromptPartId answered;
        Prompts quarantined;
    };
    const PromptPartId none;
    const Row row = GENERATE_COPY(values<Row>({
        {{{a, b}, {a, b}, {a, b}}, none, {{a, b}, {a, b, c}}},
        {{{a, b}, {a, b}, {a, b}}, a, {{b}, {a, b}, {b, c}, {a, b, c}}},
        {{{a, b}, {a, b}, {a, b}}, b, {{a}, {a, b}, {a, c}, {a, b, c}}},
        {{{a, b}, {a, b}, {a, b}, {b, c}}, none, {{b}, {a, b}, {b, c}, {a, b, c}}},
        {{{a, b}, {a, c}, {a, b}, {a, c}}, none, {{a}, {a, b}, {a, c}, {a, b, c}}},
        {{{b, a}, {c, a}, {a}, {b, a}}, none, {{a}, {a, b}, {a, c}, {a, b, c}}},
        {{{a}, {b}, {c}, {a}}, none, {}},
        {{{a}, {b}, {a}, {b}, {a}, {b}}, none, {{a}, {b}, {a, b}, {a, c}, {b, c}, {a, b, c}}},
    }));
    int index = 0;
    for (const std::vector<PromptPartId> &parts : row.crashing) {
        now += 500ms;
        ++index;
        breakAt(first, index, static_cast<std::uint64_t>(index), parts);
    }
    if (row.answered != none) {
        now += 100ms;
        first.noteSound({row.answered}, now);
    }
    const Prompts prompts {{a}, {b}, {c}, {a, b}, {a, c}, {b, c}, {a, b, c}};
    for (const std::vector<PromptPartId> &prompt : prompts) {
        INFO("prompt of " << prompt.size() << " parts, first " << toString(prompt.front()));
        const bool expected = std::ranges::find(row.quarantined, prompt) != row.quarantined.end();
        CHECK(first.find(prompt, now).has_value() == expected);
    }
}

// Guards against a part that crashes engines through one entry after the other: what several entries have seen counts
// together, an entry that has just started learns of it from the next heartbeat, and so does one that missed messages.
TEST_CASE_METHOD(QuarantineFixture, "entries share what they have seen of a crashing part", "[relay]")
{
    struct Row
    {
        /// Whether messages that are sent at once arrive; heartbeats always do.
        bool messagesArrive;
        /// Crashes that the second entry has seen itself; the first one has seen the others of four.
        int seenBySecond;
        /// Whether the second entry starts after the crashes.
        bool startsLate;
    };
    const Row row = GENERATE(values<Row>({
        {true, 0, false},
        {true, 1, false},
        {true, 2, false},
        {true, 4, false},
        {false, 0, false},
        {false, 2, false},
        {false, 0, true},
    }));
    for (int index = 0; index < 4; ++index) {
        now += 500ms;
        breakAt(index < row.seenBySecond ? second : first, index, static_cast<std::uint64_t>(index), {CrashingPart});
        const QuarantineUpdate fromFirst = first.takeUpdate();
        const QuarantineUpdate fromSecond = second.takeUpdate();
        if (row.messagesArrive) {
            second.apply(fromFirst, now);
            first.apply(fromSecond, now);
        }
    }
    if (row.startsLate) {
        now += 60s;
    }
    if (!row.messagesArrive) {
        const QuarantineUpdate heartbeat = first.summary(now);
        first.apply(second.summary(now), now);
        second.apply(heartbeat, now);
    }
    CHECK(isQuarantined(first, CrashingPart));
    CHECK(isQuarantined(second, CrashingPart));
}

// Guards against a sound part that stays in quarantine at one entry although another one has seen an answer.
TEST_CASE_METHOD(QuarantineFixture, "an answer to a prompt ends the quarantine of its parts", "[relay]")
{
    const bool byHeartbeat = GENERATE(false, true);
    for (int index = 0; index < 4; ++index) {
        now += 500ms;
        breakAt(first, index, static_cast<std::uint64_t>(index), {CrashingPart});
    }
    second.apply(first.takeUpdate(), now);
    REQUIRE(isQuarantined(second, CrashingPart));
    now += 200ms;
    first.noteSound({CrashingPart}, now);
    now += 1ms;
    second.apply(byHeartbeat ? first.summary(now) : first.takeUpdate(), now);
    CHECK_FALSE(isQuarantined(first, CrashingPart));
    CHECK_FALSE(isQuarantined(second, CrashingPart));
    // A late heartbeat of an entry that has not heard of it does not bring it back.
    first.apply({{}, {{{CrashingPart}, 201ms}}, {}}, now);
    CHECK_FALSE(isQuarantined(first, CrashingPart));
}

// Guards against a quarantine without end, and against a part that crashes several upstreams each time it has ended.
TEST_CASE_METHOD(QuarantineFixture, "a quarantine ends, and begins again with the next crash", "[relay]")
{
    for (int index = 0; index < 4; ++index) {
        now += 500ms;
        breakAt(first, index, static_cast<std::uint64_t>(index), {CrashingPart});
    }
    now += 9min;
    first.expire(now);
    CHECK(isQuarantined(first, CrashingPart));
    CHECK(first.find({CrashingPart}, now)->left == 1min);
    now += 2min;
    first.expire(now);
    CHECK_FALSE(isQuarantined(first, CrashingPart));
    breakAt(first, 1, 9, {CrashingPart});
    CHECK(isQuarantined(first, CrashingPart));
}

// Guards against memory that grows with the number of prompts, and against messages above a datagram's size.
TEST_CASE_METHOD(QuarantineFixture, "what is kept and reported of prompt parts is bounded", "[relay]")
{
    std::vector<PromptPartId> parts;
    for (std::uint64_t part = 0; part < 100; ++part) {
        parts.emplace_back(part);
    }
    for (std::uint64_t call = 0; call < 1'000; ++call) {
        now += 1ms;
        breakAt(first, static_cast<int>(call % 50), call, parts);
    }
    const QuarantineUpdate summary = first.summary(now);
    CHECK(summary.brokenStarts.size() <= PromptQuarantineSettings().maxReported);
    CHECK(summary.brokenStarts.front().parts.size() <= PromptQuarantineSettings().maxParts);
    CHECK(summary.quarantined.size() <= PromptQuarantineSettings().maxReported);
}
