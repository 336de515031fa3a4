#include "UnitTests/entry/entryfixture.h"

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

/// An entry with three agents. Each has KV memory for 500,000 tokens, of which a long prompt may use 425,000.
class GroupFixture : public EntryFixture
{
public:
    GroupFixture()
    {
        heartbeats();
    }

    void heartbeats()
    {
        for (const char *agent : {"a1", "a2", "a3"}) {
            heartbeat(agent, 1, InstanceState::Ready, 500'000);
        }
    }

    void answerReservation(std::size_t number, bool granted)
    {
        const auto request = sent<ReserveMemory>().at(number);
        ReserveResult result {request.message.owner, std::nullopt};
        if (!granted) {
            result.error = Error {ResultCode::MemoryExhausted, "", {}};
        }
        fromAgent(request.receiver, result);
    }

    /// Grants the reservations of all three members.
    void grantAll()
    {
        for (std::size_t number = 0; number < 3; ++number) {
            answerReservation(number, true);
        }
    }

    /// Names of the agents that were told to release their reservation, sorted.
    [[nodiscard]] std::vector<std::string> released() const
    {
        std::vector<std::string> receivers;
        for (const auto &release : sent<ReleaseReservation>()) {
            receivers.push_back(release.receiver);
        }
        std::ranges::sort(receivers);
        return receivers;
    }
};

} // namespace

// Guards against deadlocks between groups and against dispatches to incomplete groups: all members must reserve, one
// after the other in the order of their ids, before the first segment is dispatched.
TEST_CASE("a prompt that needs three upstreams is dispatched to them segment by segment", "[entry]")
{
    GroupFixture entry;
    entry.submit(300s, 1'000'000);
    for (std::size_t number = 0; number < 3; ++number) {
        const auto requests = entry.sent<ReserveMemory>();
        REQUIRE(requests.size() == number + 1);
        CHECK(requests[number].receiver == "a" + std::to_string(number + 1));
        CHECK(requests[number].message.amount <= Tokens(425'000));
        CHECK(entry.sent<DispatchRequest>().empty());
        entry.answerReservation(number, true);
    }
    Tokens offset;
    for (std::uint32_t index = 0; index < 3; ++index) {
        const auto dispatches = entry.sent<DispatchRequest>();
        REQUIRE(dispatches.size() == index + 1);
        const auto &dispatch = dispatches[index];
        REQUIRE(dispatch.message.group);
        const GroupSegment &segment = *dispatch.message.group;
        CHECK(dispatch.receiver == segment.members.at(index).value());
        CHECK(segment.index == index);
        CHECK(segment.offset == offset);
        CHECK(segment.importHandle == (index == 0 ? "" : "h" + std::to_string(index - 1)));
        offset += segment.length;
        entry.fromAgent(dispatch.receiver, DispatchAccepted {dispatch.message.attempt, 1s});
        if (index < 2) {
            entry.fromAgent(dispatch.receiver,
                            SegmentExported {dispatch.message.attempt, index, "h" + std::to_string(index)});
        }
    }
    CHECK(offset == Tokens(1'000'000));
    // Decoding attends to the KV cache of the whole prompt, so each member keeps its segment until the answer ends.
    const auto last = entry.sent<DispatchRequest>().back();
    entry.fromAgent("a3", StreamPart {last.message.attempt, 0, {"x"}});
    CHECK(entry.released().empty());
    CHECK(entry.sent<CancelAttempt>().empty());
    entry.fromAgent("a3", StreamEnd {last.message.attempt, 1, "stop"});
    CHECK(entry.actions<DeliverEnd>().size() == 1);
    std::vector<std::string> cancelled;
    for (const auto &cancel : entry.sent<CancelAttempt>()) {
        cancelled.push_back(cancel.receiver);
    }
    CHECK(cancelled == std::vector<std::string> {"a1", "a2"});
}

// Guards against generating an answer when a part of the prompt's KV cache has been lost.
TEST_CASE("the loss of a member that has exported its segment ends the attempt", "[entry]")
{
    GroupFixture entry;
    entry.submit(300s, 1'000'000);
    entry.grantAll();
    const auto first = entry.sent<DispatchRequest>().back();
    entry.fromAgent("a1", DispatchAccepted {first.message.attempt, 1s});
    entry.fromAgent("a1", SegmentExported {first.message.attempt, 0, "h0"});
    REQUIRE(entry.sent<DispatchRequest>().size() == 2);
    entry.core.peerDisconnected(InstanceId("a1"), entry.now, entry.out);
    REQUIRE(entry.sent<CancelAttempt>().size() == 1);
    CHECK(entry.sent<CancelAttempt>().front().receiver == "a2");
    CHECK(entry.released() == std::vector<std::string> {"a3"});
}

// Guards against memory that stays reserved after one member refuses, is lost or does not answer.
TEST_CASE("a failed reservation at one member releases the whole group", "[entry]")
{
    GroupFixture entry;
    // 0: a member refuses; 1: a member is lost; 2: a member does not answer.
    const int fault = GENERATE(0, 1, 2);
    entry.submit(20s, 1'000'000);
    entry.answerReservation(0, true);
    entry.answerReservation(1, true);
    if (fault == 0) {
        entry.answerReservation(2, false);
    } else if (fault == 1) {
        entry.core.peerDisconnected(InstanceId("a2"), entry.now, entry.out);
    } else {
        for (int step = 0; step < 31; ++step) {
            entry.heartbeats();
            entry.advance(100ms);
        }
    }
    CHECK(entry.released() == std::vector<std::string> {"a1", "a2", "a3"});
    const std::size_t asked = entry.sent<ReserveMemory>().size();
    for (int step = 0; step < 60; ++step) {
        if (fault != 1) {
            entry.heartbeats();
        }
        entry.advance(100ms);
    }
    if (fault != 1) {
        // The group is reserved again under another attempt id.
        REQUIRE(entry.sent<ReserveMemory>().size() > asked);
        CHECK(entry.sent<ReserveMemory>().at(asked).message.owner.number == 2);
    }
    entry.advance(20s);
    const auto failures = entry.actions<DeliverFailure>();
    REQUIRE(failures.size() == 1);
    CHECK(failures[0].error.code == ResultCode::GroupUnavailable);
    CHECK(entry.released().size() == entry.sent<ReserveMemory>().size());
}

// Guards against reservations and attempts that outlive their group after a member failed or the caller disconnected.
TEST_CASE("the end of a running group releases every member", "[entry]")
{
    GroupFixture entry;
    // 0: the running member fails; 1: the caller disconnects; 2: a member that was not dispatched to is lost.
    const int end = GENERATE(0, 1, 2);
    const RequestId request = entry.submit(300s, 1'000'000);
    entry.grantAll();
    const auto first = entry.sent<DispatchRequest>().at(0);
    entry.fromAgent("a1", DispatchAccepted {first.message.attempt, 1s});
    entry.fromAgent("a1", SegmentExported {first.message.attempt, 0, "h"});
    entry.fromAgent("a2", DispatchAccepted {first.message.attempt, 1s});
    if (end == 0) {
        entry.fromAgent("a2", AttemptFailed {first.message.attempt, Error {ResultCode::UpstreamFailed, "", {}}, true});
    } else if (end == 1) {
        entry.core.callerDisconnected(request, entry.now, entry.out);
    } else {
        // This member only holds a reservation.
        entry.core.peerDisconnected(InstanceId("a3"), entry.now, entry.out);
    }
    std::vector<std::string> cancelled;
    for (const auto &cancel : entry.sent<CancelAttempt>()) {
        cancelled.push_back(cancel.receiver);
    }
    CHECK(cancelled == (end == 0 ? std::vector<std::string> {"a1"} : std::vector<std::string> {"a1", "a2"}));
    CHECK(entry.released() == std::vector<std::string> {"a3"});
}

// Guards against prompts that wait until their deadline for a group that is impossible.
TEST_CASE("a prompt that no group can hold is refused", "[entry]")
{
    GroupFixture entry;
    const auto [tokens, code] = GENERATE(table<std::int64_t, ResultCode>(
        {{1'300'000, ResultCode::GroupUnavailable}, {7'000'000, ResultCode::PromptTooLong}}));
    entry.submit(1s, tokens);
    entry.advance(1s);
    const auto failures = entry.actions<DeliverFailure>();
    REQUIRE(failures.size() == 1);
    CHECK(failures[0].error.code == code);
    CHECK(entry.sent<ReserveMemory>().empty());
}
