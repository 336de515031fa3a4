#include "wire/framecodec.h"

#include "ibismast/core/seededrandom.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace ibismast;

namespace
{

const AttemptId Attempt {RequestId {Incarnation(UINT64_MAX), 5}, 3};
const OperationId Operation {InstanceId("agent-1"), Incarnation(9), UINT64_MAX};
const Error Refusal {ResultCode::QueueFull, "queue holds 10 tokens", Duration(1'500'000)};

SharedBody body(std::string text)
{
    return std::make_shared<const std::string>(std::move(text));
}

DispatchRequest dispatch()
{
    DispatchRequest request;
    request.attempt = Attempt;
    request.customer = CustomerId("registry");
    request.customerWeight = 2.5;
    request.model = ModelName("small");
    request.promptTokens = Tokens(1'000'000);
    request.maxOutputTokens = Tokens(16);
    request.timeLeft = Duration(30'000'000);
    request.prefixHashes = {1, UINT64_MAX};
    request.resumeFrom = 7;
    request.resumeText = "so far";
    request.chat = true;
    request.body = body(std::string("{\"prompt\": \"\0\"}", 15));
    request.group = GroupSegment {{InstanceId("a"), InstanceId("b")}, 1, Tokens(10), Tokens(20), "handle"};
    return request;
}

Heartbeat heartbeat()
{
    LoadReport load;
    load.models = {ModelName("small")};
    load.services = {ServiceName("booking")};
    load.outstanding = {Tokens(1), Tokens(2), Tokens(3), Tokens(4)};
    load.freeMemory = Tokens(5);
    load.memoryCapacity = Tokens(6);
    load.prefillRate = 1000.5;
    load.decodeRate = 20.25;
    load.cachedPrefixes = {UINT64_MAX};
    const PeerSummary self {InstanceId("agent-1"),
                            Incarnation(4),
                            InstanceRole::Agent,
                            InstanceState::Leaving,
                            FailureDomain("kielce-a"),
                            "127.0.0.1:2000"};
    return {self, load, {self}};
}

std::vector<PeerMessage> allMessages()
{
    return {dispatch(),
            DispatchAccepted {Attempt, Duration(5)},
            DispatchRefused {Attempt, Refusal, {InstanceId("agent-2")}},
            StreamPart {Attempt, 12, {"a", "", "\xff"}},
            StreamEnd {Attempt, 15, "stop"},
            SegmentExported {Attempt, 1, "handle"},
            AttemptFailed {Attempt, Refusal, false},
            CancelAttempt {Attempt},
            CancelResult {Attempt, CancelOutcome::AlreadyEnded},
            ReserveMemory {Attempt, Tokens(5), Duration(6), Duration(7), ModelName("small")},
            ReserveResult {Attempt, Refusal},
            ReserveResult {Attempt, std::nullopt},
            ReleaseReservation {Attempt},
            IssueOperations {8, 64},
            OperationsIssued {8, UINT64_MAX, 64},
            OperationCall {Operation,
                           Attempt.request,
                           CustomerId("c"),
                           ServiceName("booking"),
                           "POST",
                           "/orders?x=1",
                           "application/json",
                           body("{}"),
                           Duration(9),
                           true},
            OperationResult {
                Operation, Attempt.request, OperationOutcome::Completed, 201, "text/plain", body("ok"), std::nullopt},
            OperationResult {Operation, Attempt.request, OperationOutcome::InProgress, 0, "", body(""), Refusal},
            CancelOperation {Operation, Attempt.request},
            heartbeat(),
            Heartbeat {heartbeat().self, std::nullopt, {}},
            ConfigRequest {Revision(4)},
            ConfigUpdate {Revision(4), Revision(6), "snapshot", {"one", "two"}},
            UpstreamOrder {3, FencingToken(77), InstanceId("actor"), "shard", "load", ModelName("m"), "v", "a", "r"},
            UpstreamOrderResult {3, Refusal}};
}

PeerFrame frameOf(PeerMessage message)
{
    return {InstanceId("entry-1"), Incarnation(UINT64_MAX), Revision(12), std::move(message)};
}

std::string encoded(const PeerFrame &frame)
{
    return std::get<std::string>(encodeFrame(frame, FrameLimits()));
}

} // namespace

// Guards against a message that is lost or replaced by another kind on the way.
TEST_CASE("every message keeps its kind and its encoding over a round trip", "[wire]")
{
    std::vector<bool> covered(std::variant_size_v<PeerMessage>);
    for (const PeerMessage &message : allMessages()) {
        covered[message.index()] = true;
        const std::string bytes = encoded(frameOf(message));
        FrameReader reader((FrameLimits()));
        reader.append(bytes);
        const auto result = reader.next();
        REQUIRE(result);
        const auto &frame = std::get<PeerFrame>(*result);
        CHECK(frame.sender == InstanceId("entry-1"));
        CHECK(frame.incarnation == Incarnation(UINT64_MAX));
        CHECK(frame.configRevision == Revision(12));
        CHECK(frame.message.index() == message.index());
        CHECK(encoded(frame) == bytes);
        CHECK_FALSE(reader.next());
    }
    CHECK(std::ranges::all_of(covered, [](bool value) {
        return value;
    }));
}

// Guards against a field that both directions of the codec forget, which a comparison of encodings cannot see.
TEST_CASE("the fields of a dispatch arrive unchanged", "[wire]")
{
    const auto result = decodePayload(std::string_view(encoded(frameOf(dispatch()))).substr(4), FrameLimits());
    const auto received = std::get<DispatchRequest>(std::get<PeerFrame>(result).message);
    const DispatchRequest sent = dispatch();
    CHECK(received.attempt == sent.attempt);
    CHECK(received.customer == sent.customer);
    CHECK(received.customerWeight == sent.customerWeight);
    CHECK(received.model == sent.model);
    CHECK(received.promptTokens == sent.promptTokens);
    CHECK(received.maxOutputTokens == sent.maxOutputTokens);
    CHECK(received.timeLeft == sent.timeLeft);
    CHECK(received.prefixHashes == sent.prefixHashes);
    CHECK(received.resumeFrom == sent.resumeFrom);
    CHECK(received.resumeText == sent.resumeText);
    CHECK(received.chat == sent.chat);
    CHECK(*received.body == *sent.body);
    CHECK(received.group == sent.group);
}

// Guards against frames being cut or merged when TCP delivers them in other pieces.
TEST_CASE("frames are found in any division of the stream", "[wire]")
{
    const auto step = GENERATE(std::size_t(1), std::size_t(3), std::size_t(1000));
    std::string stream;
    for (const PeerMessage &message : allMessages()) {
        stream += encoded(frameOf(message));
    }
    FrameReader reader((FrameLimits()));
    std::size_t frames = 0;
    for (std::size_t i = 0; i < stream.size(); i += step) {
        reader.append(std::string_view(stream).substr(i, step));
        while (const auto result = reader.next()) {
            CHECK(errorOf(*result) == nullptr);
            ++frames;
        }
    }
    CHECK(frames == allMessages().size());
}

// Guards against a peer that makes the process allocate without limit by announcing a huge frame.
TEST_CASE("a frame above the limit is refused when its length arrives", "[wire]")
{
    FrameReader reader({1000, 100});
    reader.append(std::string_view("\x00\x00\x03\xe9", 4));
    const auto result = reader.next();
    REQUIRE(result);
    CHECK(errorOf(*result)->code == ResultCode::ProtocolError);
}

// Guards against a short frame that announces a list of millions of elements.
TEST_CASE("a list above the limit is refused", "[wire]")
{
    const auto tokens = GENERATE(std::size_t(100), std::size_t(101));
    const std::string bytes =
        encoded(frameOf(StreamPart {Attempt, 0, std::vector<std::string>(tokens, std::string("t"))}));
    const auto result = decodePayload(std::string_view(bytes).substr(4), {1000, 100});
    CHECK((errorOf(result) == nullptr) == (tokens == 100));
}

// Guards against a request that the receiving side would answer by closing the link of all other requests.
TEST_CASE("a message above the frame limit is not encoded", "[wire]")
{
    DispatchRequest request = dispatch();
    request.body = body(std::string(2000, 'x'));
    const auto result = encodeFrame(frameOf(request), {1000, 100});
    REQUIRE(errorOf(result) != nullptr);
    CHECK(errorOf(result)->code == ResultCode::BodyTooLarge);
}

// Guards against a crash or an endless loop on input that another program or a fault produced.
TEST_CASE("truncated and altered frames give an error or a frame, never a crash", "[wire]")
{
    SeededRandom random(20261204);
    for (const PeerMessage &message : allMessages()) {
        const std::string payload = encoded(frameOf(message)).substr(4);
        for (std::size_t length = 0; length < payload.size(); ++length) {
            const auto result = decodePayload(std::string_view(payload).substr(0, length), FrameLimits());
            REQUIRE(errorOf(result) != nullptr);
            CHECK(errorOf(result)->code == ResultCode::ProtocolError);
        }
        CHECK(errorOf(decodePayload(payload + "x", FrameLimits())) != nullptr);
        for (int round = 0; round < 500; ++round) {
            std::string altered = payload;
            for (std::uint64_t change = 0; change <= random.below(3); ++change) {
                altered[random.below(altered.size())] = static_cast<char>(random.next());
            }
            const auto result = decodePayload(altered, FrameLimits());
            const Error *error = errorOf(result);
            CHECK((error == nullptr || error->code == ResultCode::ProtocolError));
        }
    }
}

// Guards against values that the state machines assume to be impossible.
TEST_CASE("values outside their range are refused", "[wire]")
{
    DispatchRequest negative = dispatch();
    negative.promptTokens = Tokens(-1);
    DispatchRequest notANumber = dispatch();
    notANumber.customerWeight = std::numeric_limits<double>::quiet_NaN();
    DispatchRequest outside = dispatch();
    outside.group->index = 2;
    const auto message =
        GENERATE_COPY(PeerMessage(negative),
                      PeerMessage(notANumber),
                      PeerMessage(outside),
                      PeerMessage(CancelResult {Attempt, static_cast<CancelOutcome>(3)}),
                      PeerMessage(AttemptFailed {Attempt, {static_cast<ResultCode>(1), "", {}}, true}));
    const auto result = decodePayload(std::string_view(encoded(frameOf(message))).substr(4), FrameLimits());
    REQUIRE(errorOf(result) != nullptr);
    CHECK(errorOf(result)->code == ResultCode::ProtocolError);
}
