#include "ibismast/relay/promptquarantine.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

constexpr PromptPartId SystemPart {0x5c};
constexpr PromptPartId CrashingPart {0xbad};
/// Hashes of requests begin above this number, so that they differ from those of parts.
constexpr std::uint64_t CallBase = 0x1'0000;

/// Quarantines of two entries that send each other messages.
class QuarantineFixture
{
protected:
    /// An attempt of @p call at @p upstream breaks off at the start of its answer.
    void breakAt(PromptQuarantine &entry, int upstream, std::uint64_t call, const std::vector<PromptPartId> &parts)
    {
        entry.noteBrokenStart(
            UpstreamRunKey(static_cast<std::uint64_t>(upstream) + 1), RequestHash(CallBase + call), parts, true, now);
    }
    [[nodiscard]] bool isQuarantined(const PromptQuarantine &entry, PromptPartId part) const
    {
        return entry.find(RequestHash(), {part}, now).has_value();
    }
    [[nodiscard]] bool isQuarantined(const PromptQuarantine &entry, RequestHash request) const
    {
        return entry.find(request, {}, now).has_value();
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
            first.noteSound(RequestHash(), {CrashingPart}, now);
        }
    }
    CHECK(isQuarantined(first, CrashingPart) == row.quarantined);
}

// Guards against a sound part that is quarantined because its prompts were at upstreams that crashed under others, and
// against a crashing part that is not found because sound prompts break off with each crash, too.
TEST_CASE_METHOD(QuarantineFixture, "attempts away from their first event are weaker evidence", "[relay]")
{
    struct Row
    {
        std::string cause;
        int crashes;
        int calls;
        int upstreams;
        /// Crashes at which another prompt broke off at its first event, each time with another part.
        int others;
        bool answered;
        bool quarantined;
    };
    const Row row = GENERATE(values<Row>({
        {"crashing part", 5, 5, 5, 0, false, true},
        {"calls sent twice", 6, 3, 6, 0, false, true},
        {"too few crashes", 4, 4, 4, 0, false, false},
        {"too few calls", 8, 2, 8, 0, false, false},
        {"too few upstreams", 8, 8, 2, 0, false, false},
        {"sound prompts at their first event", 5, 5, 5, 5, false, true},
        {"sound prompts at their first event, too few crashes", 4, 4, 4, 4, false, false},
        {"answered in between", 12, 12, 12, 0, true, false},
    }));
    INFO(row.cause);
    for (int index = 0; index < row.crashes; ++index) {
        now += 500ms;
        const UpstreamRunKey upstream(static_cast<std::uint64_t>(index % row.upstreams) + 1);
        const auto call = static_cast<std::uint64_t>(index);
        if (index < row.others) {
            first.noteBrokenStart(upstream, RequestHash(3 * CallBase + call), {PromptPartId(0x100 + call)}, true, now);
        }
        first.noteBrokenStart(
            upstream, RequestHash(CallBase + call % static_cast<std::uint64_t>(row.calls)), {CrashingPart}, false, now);
        if (row.answered && index % 4 == 3) {
            first.noteSound(RequestHash(), {CrashingPart}, now + 100ms);
        }
        first.expire(now + 200ms);
    }
    CHECK(isQuarantined(first, CrashingPart) == row.quarantined);
}

// Guards against a sound part that all requests share and that is quarantined after two crashes, since the requests at
// the first upstream are sent to the second one together and break off there again.
TEST_CASE_METHOD(QuarantineFixture, "attempts that break off at one upstream count as one crash", "[relay]")
{
    const auto [upstreams, quarantined] = GENERATE(table<std::uint64_t, bool>({{2, false}, {3, true}}));
    for (std::uint64_t upstream = 1; upstream <= upstreams; ++upstream) {
        // The upstream's connections do not all break at the same moment.
        for (std::uint64_t call = 0; call < 7; ++call) {
            now += 7ms;
            first.noteBrokenStart(UpstreamRunKey(upstream), RequestHash(CallBase + call), {SystemPart}, true, now);
        }
        now += 5ms;
    }
    now += 500ms;
    first.expire(now);
    CHECK(isQuarantined(first, SystemPart) == quarantined);
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
        first.noteSound(RequestHash(), {row.answered}, now);
    }
    const Prompts prompts {{a}, {b}, {c}, {a, b}, {a, c}, {b, c}, {a, b, c}};
    for (const std::vector<PromptPartId> &prompt : prompts) {
        INFO("prompt of " << prompt.size() << " parts, first " << toString(prompt.front()));
        const bool expected = std::ranges::find(row.quarantined, prompt) != row.quarantined.end();
        CHECK(first.find(RequestHash(), prompt, now).has_value() == expected);
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
    first.noteSound(RequestHash(), {CrashingPart}, now);
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
    CHECK(first.find(RequestHash(), {CrashingPart}, now)->left == 1min);
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

// Guards against a sound request that is refused since it was near to the crashes of another one, and against a
// crashing one that is not found beside it.
TEST_CASE_METHOD(QuarantineFixture, "only the request that explains the crashes is quarantined", "[relay]")
{
    /// A request that was at the upstreams when they crashed.
    struct Present
    {
        RequestHash request;
        std::set<int> upstreams;
        /// Whether its attempts had begun.
        bool begun = false;
        /// Upstream after whose crash another one has answered it; 0 for none.
        int answeredAfter = 0;
    };
    struct Row
    {
        std::string cause;
        std::vector<Present> present;
        std::vector<bool> quarantined;
    };
    const RequestHash a(0x1'000a);
    const RequestHash b(0x1'000b);
    const Row row = GENERATE_COPY(values<Row>({
        {"a alone", {{a, {1, 2, 3}}}, {true}},
        {"too few crashes", {{a, {1, 2}}}, {false}},
        {"answered in between", {{a, {1, 2, 3}, false, 2}}, {false}},
        {"b near to some of a's crashes", {{a, {1, 2, 3}}, {b, {1, 2}}}, {true, false}},
        {"cannot be told apart", {{a, {1, 2, 3}}, {b, {1, 2, 3}}}, {false, false}},
        {"a goes on alone", {{a, {1, 2, 3, 4}}, {b, {1, 2, 3}}}, {true, false}},
        {"b was answered", {{a, {1, 2, 3}}, {b, {1, 2, 3}, false, 3}}, {true, false}},
        {"both at many crashes", {{a, {1, 2, 3, 4, 5}}, {b, {1, 2, 3, 4, 5}}}, {true, true}},
        {"two crashing requests", {{a, {1, 3, 5}}, {b, {2, 4, 6}}}, {true, true}},
        {"b had not begun", {{a, {1, 2, 3}, true}, {b, {1, 2, 3, 4}}}, {true, false}},
        {"others had begun", {{a, {1, 2, 3}}, {b, {1}, true}}, {false, false}},
    }));
    INFO(row.cause);
    for (int upstream = 1; upstream <= 6; ++upstream) {
        now += 500ms;
        for (const Present &present : row.present) {
            if (present.upstreams.contains(upstream)) {
                first.noteBrokenStart(
                    UpstreamRunKey(static_cast<std::uint64_t>(upstream)), present.request, {}, present.begun, now);
            }
        }
        now += 100ms;
        for (const Present &present : row.present) {
            if (present.answeredAfter == upstream) {
                first.noteSound(present.request, {}, now);
            }
        }
        now += 200ms;
        first.expire(now);
    }
    for (std::size_t index = 0; index < row.present.size(); ++index) {
        CAPTURE(index);
        CHECK(isQuarantined(first, row.present[index].request) == row.quarantined[index]);
    }
}

// Guards against a sound request that stays in quarantine for ten minutes since three upstreams were lost for another
// reason, and against a crashing one that is let through more than once.
TEST_CASE_METHOD(QuarantineFixture, "one entry tests a quarantined request once", "[relay]")
{
    const RequestHash request(0x1'000a);
    const bool sound = GENERATE(false, true);
    const bool byHeartbeat = GENERATE(false, true);
    // A test that crashes its upstream before the head must not be repeated at another one either.
    const bool atFirstEvent = GENERATE(false, true);
    for (int index = 0; index < 3; ++index) {
        now += 500ms;
        breakAt(first, index, 0xa, {});
        second.apply(first.takeUpdate(), now);
    }
    now += 200ms;
    first.expire(now);
    second.expire(now);
    const auto mayTest = [this, request](PromptQuarantine &entry) {
        const auto hit = entry.find(request, {}, now);
        REQUIRE(hit);
        return entry.takeTest(request, {}, *hit, now);
    };
    CHECK_FALSE(mayTest(first));
    now += 5s;
    CHECK_FALSE(mayTest(second));
    CHECK(mayTest(first));
    CHECK_FALSE(mayTest(first));
    now += 100ms;
    if (sound) {
        first.noteSound(request, {}, now);
    } else {
        first.noteBrokenStart(UpstreamRunKey(4), request, {}, atFirstEvent, now);
        CHECK(first.find(request, {}, now)->lastBroken == now);
    }
    now += 1ms;
    second.apply(byHeartbeat ? first.summary(now) : first.takeUpdate(), now);
    CHECK(isQuarantined(first, request) != sound);
    CHECK((isQuarantined(second, request) != sound || (sound && byHeartbeat)));
    if (!sound) {
        now += 1min;
        CHECK_FALSE(mayTest(first));
        CHECK_FALSE(mayTest(second));
    }
}

// Guards against a message to all entries for each answer to a request that is sent often and was near to a crash once.
TEST_CASE_METHOD(QuarantineFixture, "an answer is reported once for each crash that a request was near to", "[relay]")
{
    const RequestHash request(CallBase + 0xa);
    std::size_t reports = 0;
    for (int crash = 0; crash < 2; ++crash) {
        breakAt(first, crash, 0xa, {});
        (void)first.takeUpdate();
        for (int answer = 0; answer < 50; ++answer) {
            now += 100ms;
            first.noteSound(request, {}, now);
            reports += first.takeUpdate().sound.size();
        }
    }
    CHECK(reports == 2);
}

// Guards against a request that is not tested since its prompt shares a part with others.
TEST_CASE_METHOD(QuarantineFixture, "a request is tested when its shared parts are found to be sound", "[relay]")
{
    const bool answered = GENERATE(false, true);
    const RequestHash request(CallBase + 0xa);
    for (int index = 0; index < 3; ++index) {
        now += 500ms;
        breakAt(first, index, 0xa, {SystemPart});
    }
    now += 200ms;
    first.expire(now);
    if (answered) {
        now += 100ms;
        first.noteSound(RequestHash(CallBase + 0xb), {SystemPart}, now);
    }
    first.expire(now);
    now += 5s;
    const auto hit = first.find(request, {SystemPart}, now);
    REQUIRE(hit);
    CHECK(hit->parts.size() == (answered ? 1 : 2));
    CHECK(first.takeTest(request, {}, *hit, now));
}

// Guards against a full table of quarantines that lets the next crashing request through.
TEST_CASE_METHOD(QuarantineFixture, "the newest quarantines are kept", "[relay]")
{
    const std::uint64_t requests = PromptQuarantineSettings().maxQuarantined + 20;
    const bool byMessage = GENERATE(false, true);
    for (std::uint64_t request = 0; request < requests; ++request) {
        for (int index = 0; index < 3; ++index) {
            now += 20ms;
            breakAt(first, static_cast<int>(request * 3) + index, request, {});
        }
        now += 200ms;
        first.expire(now);
        if (byMessage) {
            QuarantineUpdate update = first.takeUpdate();
            update.brokenStarts.clear();
            second.apply(update, now);
        }
    }
    const PromptQuarantine &entry = byMessage ? second : first;
    CHECK(entry.size(now) == PromptQuarantineSettings().maxQuarantined);
    CHECK_FALSE(isQuarantined(entry, RequestHash(CallBase)));
    CHECK(isQuarantined(entry, RequestHash(CallBase + requests - 1)));
}

// Guards against an entry that has just started and does not learn of all requests in quarantine.
TEST_CASE_METHOD(QuarantineFixture, "heartbeats report all quarantines in turn", "[relay]")
{
    constexpr std::uint64_t Requests = 100;
    for (std::uint64_t request = 0; request < Requests; ++request) {
        for (int index = 0; index < 3; ++index) {
            now += 20ms;
            breakAt(first, static_cast<int>(request * 3) + index, request, {});
        }
        now += 200ms;
        first.expire(now);
    }
    REQUIRE(first.size(now) == Requests);
    for (int heartbeat = 0; heartbeat < 4; ++heartbeat) {
        now += 500ms;
        second.apply(first.summary(now), now);
    }
    CHECK(second.size(now) == Requests);
}

// Guards against a request that comes so often that the evidence against it never seems complete: 15 upstreams crashed
// before it was quarantined.
TEST_CASE_METHOD(QuarantineFixture,
                 "a request that crashes upstreams without a pause is quarantined as soon",
                 "[relay]")
{
    const Duration apart = GENERATE(20ms, 50ms, 150ms, 500ms);
    const TimePoint start = now;
    const auto thirdCrash = start + 2 * apart;
    for (int crash = 0; now < thirdCrash + 300ms; ++crash) {
        breakAt(first, crash, 0xa, {});
        now += apart;
        first.expire(now);
    }
    CHECK(isQuarantined(first, RequestHash(CallBase + 0xa)));
}

// Guards against tests of the same parts by several entries, against none if one entry gets no such prompts, and
// against entries that keep sound parts in quarantine since the news of the answer was lost.
TEST_CASE_METHOD(QuarantineFixture, "entries test quarantined parts in turns", "[relay]")
{
    const bool sound = GENERATE(false, true);
    const bool byHeartbeat = GENERATE(false, true);
    const bool firstIsIdle = GENERATE(false, true);
    CAPTURE(sound, byHeartbeat, firstIsIdle);
    for (int index = 0; index < 4; ++index) {
        now += 500ms;
        breakAt(index % 2 == 0 ? first : second, index, static_cast<std::uint64_t>(index), {CrashingPart});
        second.apply(first.takeUpdate(), now);
        first.apply(second.takeUpdate(), now);
    }
    const auto mayTest = [this](PromptQuarantine &entry) {
        const auto hit = entry.find(RequestHash(), {CrashingPart}, now);
        REQUIRE(hit);
        return entry.takeTest(RequestHash(), {CrashingPart}, *hit, now);
    };
    now += 4'900ms;
    CHECK_FALSE(mayTest(first));
    CHECK_FALSE(mayTest(second));
    now += 200ms;
    CHECK_FALSE(mayTest(second));
    if (firstIsIdle) {
        now += 5s;
        CHECK(mayTest(second));
        CHECK_FALSE(mayTest(second));
    } else {
        CHECK(mayTest(first));
        CHECK_FALSE(mayTest(first));
    }
    PromptQuarantine &tester = firstIsIdle ? second : first;
    PromptQuarantine &other = firstIsIdle ? first : second;
    now += 100ms;
    if (sound) {
        tester.noteSound(RequestHash(), {CrashingPart}, now);
    } else {
        breakAt(tester, 9, 9, {CrashingPart});
    }
    now += 400ms;
    other.apply(byHeartbeat ? tester.summary(now) : tester.takeUpdate(), now);
    CHECK(isQuarantined(first, CrashingPart) != sound);
    CHECK(isQuarantined(second, CrashingPart) != sound);
    if (!sound) {
        now += 1min;
        CHECK((firstIsIdle || !mayTest(first)));
        CHECK_FALSE(mayTest(second));
    }
}
