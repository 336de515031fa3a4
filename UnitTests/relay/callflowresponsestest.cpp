#include "UnitTests/relay/callflowfixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace ibismast;
using namespace std::chrono_literals;

// Guards against resumed streams in which events are missing, duplicated or mixed from two attempts.
TEST_CASE_METHOD(FlowFixture, "a broken stream is resumed after its last complete event", "[relay]")
{
    begin(CallKind::ResumableStream, 2);
    head(1, 200);
    event(1, 1);
    flow().bodyReceived(1, "id:2\nda", now, actions);
    CHECK(done() == "start a, head, body 1");
    flow().attemptFailed(1, AttemptFailure::Broken, "reset", now, actions);
    CHECK(done() == "start b behind 1");
    event(1, 9);
    head(2, 200);
    event(2, 2);
    flow().responseCompleted(2, now, actions);
    CHECK(done() == "body 1, end");
    CHECK(environment.open == 0);
}

// Guards against a stalled upstream that keeps a stream alive by bytes that are no event, and against its comments
// reaching the caller as if the stream had begun.
TEST_CASE_METHOD(FlowFixture, "only whole events count as progress of a stream", "[relay]")
{
    const bool begun = GENERATE(false, true);
    const auto [bytes, progress] = GENERATE(table<std::string, bool>({
        {":\n\n", false},
        {": still here\n\n", false},
        {"\n", false},
        {"\r\n", false},
        {"d", false},
        {"id: 2\ndata: x\n\n", true},
        {":\nid: 2\ndata: x\n\n", true},
    }));
    begin(CallKind::ResumableStream, 2);
    head(1, 200);
    if (begun) {
        event(1, 1);
    }
    (void)done();
    const TimePoint lastEvent = now;
    std::string seen;
    while (seen.empty() && now - lastEvent < 8s) {
        now += 100ms;
        flow().bodyReceived(1, bytes, now, actions);
        flow().timerExpired(now, actions);
        seen = done();
    }
    if (progress) {
        CHECK(seen == (begun ? "body 1" : "head, body 1"));
    } else {
        CHECK(seen == (begun ? "abort, start b behind 1" : "abort, start b"));
        // Callers abandon a stream after 2 s.
        CHECK(now - lastEvent <= 2s);
    }
}

// Guards against a stream that looks complete although its upstream broke it off (issue 26): a response with neither a
// length nor chunks ends with its connection, in the middle of an event or before the first one.
TEST_CASE_METHOD(FlowFixture, "a stream that ends inside an event is broken off", "[relay]")
{
    struct Row
    {
        std::string body;
        /// What is done at the end of the response if the stream may be resumed, and if it may not.
        std::string resumable;
        std::string notResumable;
    };
    const Row row = GENERATE(values<Row>({
        {"id:1\ndata:x\n\n", "end", "end"},
        {"id:1\ndata:x\n\n: bye\n\n", "end", "end"},
        {"id:1\ndata:x\n\n: by", "body 0, end", "body 0, end"},
        {"id:1\ndata:x\n\nid:2", "start b behind 1", "cut"},
        {"id:1\ndata:x\n\nid:2\ndata:y\n", "start b behind 1", "cut"},
        {"id:1\ndata:x\n\nid:2\r\ndata:y\r\n", "start b behind 1", "cut"},
        {"id:1\ndata:x\n", "start b", "refuse 502"},
        {"", "start b", "refuse 502"},
    }));
    INFO(row.body);
    const bool resumable = GENERATE(true, false);
    begin(resumable ? CallKind::ResumableStream : CallKind::Stream, 2);
    head(1, 200);
    flow().bodyReceived(1, row.body, now, actions);
    (void)done();
    flow().responseCompleted(1, now, actions);
    CHECK(done() == (resumable ? row.resumable : row.notResumable));
}

// Guards against comments that get lost: the caller gets the upstream's whole body.
TEST_CASE_METHOD(FlowFixture, "comments are sent with the event that follows them", "[relay]")
{
    begin(CallKind::ResumableStream, 2);
    head(1, 200);
    std::string sent;
    for (const std::string part :
         {": a\n\n", "id: 1\ndata: x\n\n: b\n\n", ": c\n\n", "id: 2\ndata: y\n\n", ": d\n\n"}) {
        flow().bodyReceived(1, part, now, actions);
    }
    flow().responseCompleted(1, now, actions);
    for (const CallAction &action : actions) {
        if (const auto *body = std::get_if<SendBody>(&action)) {
            sent += body->bytes;
        }
    }
    CHECK(sent == ": a\n\nid: 1\ndata: x\n\n: b\n\n: c\n\nid: 2\ndata: y\n\n: d\n\n");
}

// Guards against a sound upstream whose events are discarded because the upstream before it has sent an event or
// comment without end (review case 3).
TEST_CASE_METHOD(FlowFixture, "a response that is given up leaves nothing behind for the next attempt", "[relay]")
{
    struct Row
    {
        std::string start;
        /// What the first upstream repeats without end.
        std::string piece;
    };
    const Row row = GENERATE(values<Row>({
        {"", std::string(8192, 'z')},
        {"id:2\n", "data:xxxxxxxxxxxxxxxx\n"},
        {"", ": comment\n"},
        {"", ": comment\n\n"},
        {": comment\n\n", ": comment\n"},
        {": comment\n\nid:2\ndata:y", std::string(8192, 'z')},
    }));
    const bool begun = GENERATE(false, true);
    CAPTURE(row.start, row.piece.substr(0, 20), begun);
    begin(CallKind::ResumableStream, 2);
    head(1, 200);
    if (begun) {
        event(1, 1);
    }
    flow().bodyReceived(1, row.start, now, actions);
    (void)done();
    std::string piece = row.piece;
    while (piece.size() < 8192) {
        piece += row.piece;
    }
    std::string seen;
    for (std::size_t received = 0; seen.empty() && received < std::size_t {4} << 20; received += piece.size()) {
        flow().bodyReceived(1, piece, now, actions);
        seen = done();
    }
    REQUIRE(seen == (begun ? "abort, start b behind 1" : "abort, start b"));
    CHECK(environment.buffered == 0);
    CHECK(environment.failed == std::vector<std::string> {"a"});
    head(2, 200);
    for (int id = begun ? 2 : 1; id <= 3; ++id) {
        event(2, id);
    }
    flow().responseCompleted(2, now, actions);
    CHECK(done() == (begun ? "body 1, body 1, end" : "head, body 1, body 1, body 1, end"));
    CHECK(environment.failed == std::vector<std::string> {"a"});
    CHECK(environment.buffered == 0);
}

// Guards against a stream whose unread bytes fill the memory because its upstream is faster than its caller, and
// against an upstream that is blamed for the silence while it is not read.
TEST_CASE_METHOD(FlowFixture, "a stream is not read while its caller is slow", "[relay]")
{
    constexpr std::size_t Much = 100'000;
    constexpr std::size_t Little = 1'000;
    const Duration slow = GENERATE(as<Duration>(), 100ms, 3s, 20s);
    const bool resumable = GENERATE(false, true);
    begin(resumable ? CallKind::ResumableStream : CallKind::Stream, 2);
    head(1, 200);
    event(1, 1);
    (void)done();
    flow().callerBacklogChanged(Little, now, actions);
    CHECK(done().empty());
    flow().callerBacklogChanged(Much, now, actions);
    CHECK(done() == "pause");
    flow().callerBacklogChanged(Much, now, actions);
    CHECK(done().empty());
    const TimePoint end = std::min(now + slow, flow().call().deadline);
    while (now < end) {
        now += 50ms;
        flow().timerExpired(now, actions);
    }
    if (flow().ended()) {
        CHECK(done() == "abort, cut");
        return;
    }
    CHECK(done().empty());
    flow().callerBacklogChanged(Little, now, actions);
    CHECK(done() == "resume");
    CHECK(environment.failed.empty());
    // The silence of the upstream counts from now on.
    const TimePoint resumed = now;
    CHECK(flow().nextDue() > now);
    if (resumable) {
        wait();
        CHECK(done() == "abort, start b behind 1");
        CHECK(now - resumed >= 500ms);
        CHECK(now - resumed <= 2s);
        // The next response is read until its own bytes wait for the caller.
        head(2, 200);
        event(2, 2);
        flow().callerBacklogChanged(Much, now, actions);
        CHECK(done() == "body 1, pause");
    }
}

// Guards against an upstream that counts as failed because the buffers of all calls together are full.
TEST_CASE_METHOD(FlowFixture, "a response that is given up for lack of memory says nothing of its upstream", "[relay]")
{
    const bool ownGrowth = GENERATE(false, true);
    begin(CallKind::Idempotent, 2);
    head(1, 200);
    (void)done();
    flow().bodyReceived(1, "some", now, actions);
    if (ownGrowth) {
        environment.bufferLimit = 5;
        flow().bodyReceived(1, "more", now, actions);
    } else {
        flow().giveUpResponse(now, actions);
    }
    CHECK(done() == "abort, start b");
    CHECK(environment.failed.empty());
    CHECK(environment.buffered == 0);
}

// Guards against upstreams in trouble that fill the memory: each of many bodies stays below its own limit.
TEST_CASE_METHOD(FlowFixture, "a response without end is given up and leaves no buffer behind", "[relay]")
{
    struct Row
    {
        CallKind kind;
        std::string bytes;
        std::int64_t processLimit;
        /// Greatest number of bytes that may be buffered.
        std::int64_t buffered;
    };
    constexpr std::int64_t NoLimit = std::int64_t {1} << 40;
    const Row row = GENERATE(values<Row>({
        {CallKind::AtMostOnce, std::string(8192, 'x'), NoLimit, (std::int64_t {8} << 20) + 8192},
        {CallKind::AtMostOnce, std::string(8192, 'x'), 100'000, 100'000},
        {CallKind::Stream, std::string(8192, 'x'), NoLimit, (std::int64_t {1} << 20) + 8192},
        {CallKind::Stream, std::string(8192, 'x'), 100'000, 100'000},
        {CallKind::Stream, ": comment\n\n", NoLimit, (std::int64_t {1} << 20) + 8192},
        {CallKind::Stream, std::string(8190, '\n'), 100'000, 100'000},
    }));
    environment.bufferLimit = row.processLimit;
    begin(row.kind, 1);
    head(1, 200);
    (void)done();
    std::int64_t received = 0;
    std::int64_t most = 0;
    while (!flow().ended() && received < std::int64_t {64} << 20) {
        flow().bodyReceived(1, row.bytes, now, actions);
        received += static_cast<std::int64_t>(row.bytes.size());
        most = std::max(most, environment.buffered);
    }
    REQUIRE(flow().ended());
    CHECK(done() == "abort, refuse 502");
    CHECK(most <= row.buffered);
    CHECK(environment.buffered == 0);
}
