#include "platform/platformdecoder.h"
#include "platform/platformorders.h"
#include "platform/platformprotocol.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;

// Guards against upstreams that are taken from records of other writers, and against good ones that are lost.
TEST_CASE("a record names an upstream only if all its fields have their types", "[platform]")
{
    const auto [value, readable] = GENERATE(table<std::string, bool>({
        {R"({"backend":"p","address":"10.0.0.1:2","zone":"z","slots":16,"state":"ready","seq":4,"born":5})", true},
        {R"({"backend":"p","address":"10.0.0.1:2","zone":"z","slots":16,"state":"draining","seq":4})", true},
        {R"({"backend":"p","address":"10.0.0.1:2","zone":"z","slots":16,"state":"ready","seq":4,"born":5.5})", false},
        {R"({"backend":"p","address":"10.0.0.1:2","zone":"z","slots":16,"state":"odd","seq":4})", false},
        {R"({"backend":7,"address":"10.0.0.1:2","zone":"z","slots":16,"state":"ready","seq":4})", false},
        {R"({"backend":"p","zone":"z","slots":16,"state":"ready","seq":4})", false},
        {R"({"backend":"p","address":"10.0.0.1:2","zone":"z","slots":16,"state":"ready","seq":"4"})", false},
        {R"([1])", false},
        {"\xff\xfe", false},
        {"", false},
    }));
    const PlatformDecoder decoder;
    const Result<UpstreamRecord> result = decoder.decodeUpstream({"servers/i-1", value, 3});
    CHECK((errorOf(result) == nullptr) == readable);
    if (readable) {
        CHECK(std::get<UpstreamRecord>(result).id == InstanceId("i-1"));
        CHECK(std::get<UpstreamRecord>(result).leaving == (value.find("draining") != std::string::npos));
    }
}

// Guards against one odd record of another writer that ends the entries or that they take for an upstream: very deeply
// nested, with a number too large, or with an address that no connection can be opened to.
TEST_CASE("an odd record among those of the upstreams names none", "[platform]")
{
    constexpr std::size_t Depth = 200'000;
    const auto with = [](const std::string &address, const std::string &fields) {
        return R"({"backend":"p","zone":"z","state":"ready","address":")" + address + "\"," + fields + "}";
    };
    const std::string numbers = R"("slots":16,"seq":4)";
    const std::string value =
        GENERATE_COPY(as<std::string> {},
                      std::string(Depth, '['),
                      std::string(Depth, '[') + std::string(Depth, ']'),
                      with("10.0.0.1:2", numbers + ",\"more\":" + std::string(Depth, '[') + std::string(Depth, ']')),
                      with("10.0.0.1:2", R"("slots":16,"seq":1e999)"),
                      with("10.0.0.1:2", R"("slots":16,"seq":18446744073709551615)"),
                      with("10.0.0.1:2", R"("slots":16,"seq":99999999999999999999999999)"),
                      with("10.0.0.1:2", R"("slots":99999999999999999999999999,"seq":4)"),
                      with("10.0.0.1:2", numbers + R"(,"born":1e400)"),
                      with("10.0.0.1:65536", numbers),
                      with("10.0.0.1:99999999999999999999", numbers),
                      with("10.0.0.1:-1", numbers),
                      with("10.0.0.1:0", numbers),
                      with("10.0.0.1:", numbers),
                      with("10.0.0.1", numbers),
                      with("10.0.0.256:2", numbers),
                      with("host:2", numbers),
                      with("", numbers));
    const PlatformDecoder decoder;
    CHECK(errorOf(decoder.decodeUpstream({"servers/i-1", value, 3})) != nullptr);
    CHECK(errorOf(decoder.decodeUpstream({"servers/i-1", with("10.0.0.1:65535", numbers), 3})) == nullptr);
    CHECK(errorOf(decoder.decodeUpstream({"serv", with("10.0.0.1:65535", numbers), 3})) != nullptr);
    CHECK(errorOf(decoder.decodeConfig({"op/config", value, 3})) != nullptr);
}

// Guards against requests whose headers are malformed, or hold a header of another writer's, because the upstream's id
// is sent in one.
TEST_CASE("the id of an upstream can be sent in a header", "[platform]")
{
    using namespace std::string_literals;
    const auto [id, usable] = GENERATE(table<std::string, bool>({
        {"i-7f3a91c2", true},
        {"canary&blue", true},
        {"", false},
        {"a b", false},
        {"a\r\nIbismast-Tenant: other", false},
        {"a\nb", false},
        {"a\0b"s, false},
        {"a\tb", false},
        {"a\x7f", false},
        {"\xc3\xa9", false},
    }));
    const std::string value = R"({"backend":"p","address":"10.0.0.1:2","zone":"z","slots":16,"state":"ready","seq":4})";
    const Result<UpstreamRecord> result = PlatformDecoder().decodeUpstream({"servers/" + id, value, 3});
    CHECK((errorOf(result) == nullptr) == usable);
}

// Guards against fields of the configuration that are lost or mixed up.
TEST_CASE("a configuration is decoded into the product's types", "[platform]")
{
    const std::string value = R"({"version":7,"routes":[
        {"name":"r1","host":"h","path_prefix":"/a/","kind":"streaming","timeout_ms":10000,"slo_ms":300,
         "split":[{"backend":"s1","weight":90},{"backend":"s2","weight":10}],"max_attempts":2,"resumable":true,
         "gap_target_ms":250},
        {"name":"r2","host":"h","path_prefix":"/b/","kind":"unsafe","timeout_ms":800,"slo_ms":100,"backend":"s2",
         "max_attempts":1,"public":true,"priority":2}],
        "services":[{"name":"s1","max_conns":424,"cold_start_s":2.5,"cold_per_s":26.0,"engine":{"slots":16,"kv_capacity_tokens":315000,"stride":51,
         "step_ms":0.85,"read_per_s":177000.0,"pairs_per_m":0.184,"usual":{"prompt":11104,"answer":1622}}},
         {"name":"s2","max_conns":96}],
        "limits":{"max_header_bytes":1000,"max_body_bytes":2000,"header_timeout_ms":3000,"idle_timeout_ms":15000},
        "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1},
                   {"name":"t2","api_keys":["k3"]},{"name":"t3","priority":-1}]})";
    const PlatformDecoder decoder;
    const Result<RelayConfig> result = decoder.decodeConfig({"op/config", value, 3});
    REQUIRE(errorOf(result) == nullptr);
    const auto &config = std::get<RelayConfig>(result);
    CHECK(config.version == RelayConfigVersion(7));
    REQUIRE(config.routes.size() == 2);
    CHECK(config.routes[0].kind == CallKind::ResumableStream);
    CHECK(config.routes[0].shares.size() == 2);
    CHECK(config.routes[0].pauseTarget == 250ms);
    CHECK(config.routes[1].kind == CallKind::AtMostOnce);
    CHECK(config.routes[1].timeout == 800ms);
    CHECK(config.routes[1].isPublic);
    REQUIRE(config.services.at(ServiceName("s1")).engine);
    CHECK(config.services.at(ServiceName("s1")).engine->memory == Tokens(315'000));
    CHECK(config.services.at(ServiceName("s1")).coldTime == 2500ms);
    CHECK(config.services.at(ServiceName("s1")).coldRate == RequestRate {26.0});
    CHECK_FALSE(config.services.at(ServiceName("s2")).engine);
    CHECK(config.services.at(ServiceName("s2")).coldTime == 0ms);
    CHECK(config.limits.maxHeadBytes == 1'000);
    REQUIRE(config.customers);
    CHECK(config.customers->at(0).keys.size() == 2);
    CHECK(config.routes[0].priority == DefaultCallPriority);
    CHECK(config.routes[1].priority == CallPriority(2));
    CHECK(config.customers->at(0).priority == CallPriority(1));
    CHECK_FALSE(config.customers->at(1).priority);
    CHECK_FALSE(config.customers->at(2).priority);
    CHECK(config.services.at(ServiceName("s1")).engine->typicalPromptTokens == 11'104.0);
}

// Guards against a configuration that is half applied.
TEST_CASE("a faulty configuration is refused as a whole", "[platform]")
{
    const std::string value = GENERATE(as<std::string> {},
                                       "{",
                                       R"({"routes":[]})",
                                       R"({"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/"}]})",
                                       R"({"version":1,"routes":[{"host":"h","path_prefix":"/","kind":"safe"}]})");
    const PlatformDecoder decoder;
    CHECK(errorOf(decoder.decodeConfig({"op/config", value, 3})) != nullptr);
}

// Guards against callers that pose as another customer or choose their own rank, and against keys shown to upstreams.
TEST_CASE("headers that the relay sets are not taken from callers", "[platform]")
{
    const auto [name, replaced] = GENERATE(table<std::string, bool>({
        {"Ibismast-Tenant", true},
        {"ibismast-tenant", true},
        {"Ibismast-Expect-Instance", true},
        {"Ibismast-Helpers", true},
        {"Ibismast-Request-Priority", true},
        {"Authorization", true},
        {"Last-Event-Id", true},
        {"Ibismast-Model", false},
        {"Ibismast-Token-Counts", false},
        {"Ibismast-Prompt-Prefix", false},
        {"X-Other", false},
    }));
    CHECK(PlatformProtocol().isReplaced(name) == replaced);
}

// Guards against a rank that does not reach the engine, and against one that is sent where none is wanted.
TEST_CASE("the rank of a call is sent to its engine", "[platform][rank]")
{
    const auto [rank, text] = GENERATE(table<std::optional<EngineRank>, std::string>(
        {{std::nullopt, ""}, {EngineRank(0), "0"}, {EngineRank(9), "9"}}));
    UpstreamCallDetails details;
    details.rank = rank;
    HttpHead head;
    head.headers = PlatformProtocol().upstreamHeaders(details);
    CHECK(head.header("Ibismast-Request-Priority") == text);
}

// Guards against malformed requests that are guessed at.
TEST_CASE("a request's fields are decoded or refused", "[platform]")
{
    HttpHead head;
    head.method = "POST";
    head.target = "/a/b?c";
    head.headers = {{"Host", "h"}, {"Ibismast-Attempt-Id", "r1"}, {"Authorization", "Token k1"}};
    const auto [name, value, readable] = GENERATE(table<std::string, std::string, bool>({
        {"Ibismast-Deadline-Ms", "1500", true},
        {"Ibismast-Deadline-Ms", "soon", false},
        {"Ibismast-Deadline-Ms", "-1", false},
        {"Ibismast-Token-Counts", "1460,80", true},
        {"Ibismast-Token-Counts", "many", false},
        {"Ibismast-Attempt-Id", "r2", false},
    }));
    head.headers.emplace_back(name, value);
    const Result<IncomingCall> result = PlatformProtocol().decodeCall(head);
    CHECK((errorOf(result) == nullptr) == readable);
    if (readable) {
        CHECK(std::get<IncomingCall>(result).path == "/a/b");
        CHECK(std::get<IncomingCall>(result).key == "k1");
    }
}

// Guards against an estimate of the output that is lost, and against a call that is refused for a malformed estimate.
TEST_CASE("the caller's estimate of its output is optional", "[platform]")
{
    using Values = std::vector<std::string>;
    const auto [values, tokens] = GENERATE(table<Values, std::int64_t>({
        {Values {}, 0},
        {Values {"640"}, 640},
        {Values {"0"}, 0},
        {Values {"many"}, 0},
        {Values {"-1"}, 0},
        {Values {"1e3"}, 0},
        {Values {"640", "650"}, 0},
    }));
    HttpHead head;
    head.target = "/a/b";
    head.headers = {{"Ibismast-Attempt-Id", "r1"}, {"Ibismast-Token-Counts", "1460,80"}};
    for (const std::string &value : values) {
        head.headers.emplace_back("ibismast-length-hint", value);
    }
    const Result<IncomingCall> result = PlatformProtocol().decodeCall(head);
    REQUIRE(errorOf(result) == nullptr);
    CHECK(std::get<IncomingCall>(result).size.expectedOutput == Tokens(tokens));
    CHECK(std::get<IncomingCall>(result).size.maxOutput == Tokens(80));
}

// Guards against prompts whose shared parts are not recognised, and against a request's own part that counts as shared.
TEST_CASE("the shared parts of a prompt are decoded without the last part", "[platform]")
{
    using Parts = std::vector<PromptPartId>;
    const auto [prefix, parts] = GENERATE(table<std::string, Parts>({
        {"5c1e07a2:800,91bd3f06:410,e4402b7d:250", {PromptPartId(0x5c1e07a2), PromptPartId(0x91bd3f06)}},
        {"a:1,b:2", {PromptPartId(0xa)}},
        {"a:1", {}},
        {"a,b", {PromptPartId(0xa)}},
        {"ffffffffffffffff:1,b:2", {PromptPartId(0xffffffffffffffff)}},
        {"no number:1,b:2", {}},
        {",", {}},
    }));
    HttpHead head;
    head.target = "/a/b";
    head.headers = {{"Ibismast-Attempt-Id", "r1"}, {"Ibismast-Prompt-Prefix", prefix}};
    const Result<IncomingCall> result = PlatformProtocol().decodeCall(head);
    REQUIRE(errorOf(result) == nullptr);
    CHECK(std::get<IncomingCall>(result).promptParts == parts);
}

// Guards against a rate limit of an upstream that is overlooked, and against one that is read from a malformed header.
TEST_CASE("an upstream's rate limit is a decimal number", "[platform]")
{
    const auto [text, limit] = GENERATE(table<std::string, std::optional<RequestRate>>({
        {"2.8", RequestRate {2.8}},
        {"1", RequestRate {1.0}},
        {"0", RequestRate {0.0}},
        {"", std::nullopt},
        {"-1", std::nullopt},
        {"nan", std::nullopt},
        {"inf", std::nullopt},
        {"2.8 a second", std::nullopt},
    }));
    HttpHead head;
    head.status = 200;
    head.headers = {{"Ibismast-Attempt-Id", "r1"}, {"Ibismast-Response-Seal", "s"}, {"Server-Limit", text}};
    CHECK(PlatformProtocol().decodeAnswer(head, "r1").head.notice.rateLimit == limit);
}

// Guards against a cold upstream that is flooded since its record or its response is not understood (rule FAILBACK).
TEST_CASE("the time until an upstream is warm is decoded", "[platform]")
{
    const auto [status, text, cold] = GENERATE(table<int, std::string, std::optional<Duration>>({
        {200, "2500", 2500ms},
        {503, "0", 0ms},
        {200, "99999999999999", 1h},
        {200, "", std::nullopt},
        {200, "-1", std::nullopt},
        {200, "2.5 s", std::nullopt},
        {421, "2500", std::nullopt},
    }));
    HttpHead head;
    head.status = status;
    head.headers = {{"Ibismast-Cold-Ms", text}};
    CHECK(decodeNotice(head).cold == cold);

    const auto [number, remaining] =
        GENERATE(table<std::string, Duration>({{"2500", 2500ms}, {"-5", 0ms}, {"1e300", 1h}, {R"("x")", 0ms}}));
    const std::string value = R"({"backend":"b","address":"10.0.0.1:80","zone":"z","slots":1,"state":"ready","seq":1,)"
                              R"("cold_remaining_ms":)"
        + number + "}";
    const Result<UpstreamRecord> record = PlatformDecoder().decodeUpstream({"servers/i-1", value, 3});
    REQUIRE(errorOf(record) == nullptr);
    CHECK(std::get<UpstreamRecord>(record).coldRemaining == remaining);
}

// Guards against a leave that an upstream announces and that is overlooked, and against one that is read from another
// value or from an instance that was not asked.
TEST_CASE("an upstream that leaves says so with the value 1", "[platform]")
{
    using Values = std::vector<std::string>;
    const auto [status, values, leaving] = GENERATE(table<int, Values, bool>({
        {200, {"1"}, true},
        {500, {"1"}, true},
        {503, {"1"}, true},
        {429, {"1"}, true},
        {200, {"1", "1"}, true},
        {200, {}, false},
        {200, {""}, false},
        {200, {"0"}, false},
        {200, {"true"}, false},
        {421, {"1"}, false},
    }));
    HttpHead head;
    head.status = status;
    head.headers = {{"Ibismast-Attempt-Id", "r1"}, {"Ibismast-Response-Seal", "s"}};
    for (const std::string &value : values) {
        head.headers.emplace_back("server-leaving", value);
    }
    CHECK(PlatformProtocol().decodeAnswer(head, "r1").head.notice.leaving == leaving);
    // A response to another call is not passed on, but its upstream is leaving all the same.
    const DecodedAnswer foreign = PlatformProtocol().decodeAnswer(head, "r2");
    CHECK(foreign.foreign);
    CHECK(foreign.head.notice.leaving == leaving);
}

// Guards against a pause that an upstream asks for and that is overlooked, and against one that is read from a
// malformed header or from an answer other than a refusal.
TEST_CASE("an upstream's pause is a decimal number of seconds in a refusal with 503", "[platform]")
{
    using Values = std::vector<std::string>;
    const auto [status, values, pause] = GENERATE(table<int, Values, std::optional<Duration>>({
        {503, {"3"}, 3s},
        {503, {"2.5"}, 2'500ms},
        {503, {"0"}, 0s},
        {503, {"86400"}, 24h},
        {503, {"1000000000000000000000"}, 24h},
        {503, {}, std::nullopt},
        {503, {""}, std::nullopt},
        {503, {"-1"}, std::nullopt},
        {503, {"nan"}, std::nullopt},
        {503, {"inf"}, std::nullopt},
        {503, {"1e3"}, std::nullopt},
        {503, {"5 s"}, std::nullopt},
        {503, {"Sat, 05 Dec 2026 07:28:00 GMT"}, std::nullopt},
        {503, {"1", "2"}, std::nullopt},
        {200, {"3"}, std::nullopt},
        {429, {"3"}, std::nullopt},
        {421, {"3"}, std::nullopt},
    }));
    HttpHead head;
    head.status = status;
    head.headers = {{"Ibismast-Attempt-Id", "r1"}, {"Ibismast-Not-Executed", "1"}};
    for (const std::string &value : values) {
        head.headers.emplace_back("Retry-After", value);
    }
    CHECK(PlatformProtocol().decodeAnswer(head, "r1").head.notice.pause == pause);
}

// Guards against answers that reach the wrong caller or lack the upstream's signature.
TEST_CASE("an answer is judged by its id, signature and encoding", "[platform]")
{
    struct Row
    {
        int status;
        HttpHeaders headers;
        bool foreign;
        bool sound;
        bool notRun;
    };
    const HttpHeaders good {{"Ibismast-Attempt-Id", "r1"}, {"Ibismast-Response-Seal", "s"}};
    const Row row = GENERATE_COPY(values<Row>({
        {200, good, false, true, false},
        {200, {{"Ibismast-Attempt-Id", "r0"}, {"Ibismast-Response-Seal", "s"}}, true, true, false},
        {200, {{"Ibismast-Attempt-Id", "r1"}}, false, false, false},
        {200, {{"Ibismast-Response-Seal", "s"}}, false, false, false},
        {200,
         {{"Ibismast-Attempt-Id", "r1"}, {"Ibismast-Response-Seal", "s"}, {"Content-Encoding", "gzip"}},
         false,
         false,
         false},
        {503, {{"Ibismast-Attempt-Id", "r1"}, {"Ibismast-Not-Executed", "1"}}, false, true, true},
        {503, {{"Ibismast-Attempt-Id", "r0"}, {"Ibismast-Not-Executed", "1"}}, true, true, false},
        {503, {{"Ibismast-Not-Executed", "1"}}, false, false, false},
        {421, {{"Ibismast-Not-Executed", "1"}}, false, false, false},
        {503, {}, false, false, false},
        {500, {{"Ibismast-Response-Seal", "s"}}, false, false, false},
        {404, {}, false, false, false},
        {404, {{"Ibismast-Attempt-Id", "r1"}}, false, true, false},
    }));
    HttpHead head;
    head.status = row.status;
    head.headers = row.headers;
    const DecodedAnswer answer = PlatformProtocol().decodeAnswer(head, "r1");
    CHECK(answer.foreign == row.foreign);
    CHECK(answer.head.valid == row.sound);
    CHECK(answer.head.notRun == row.notRun);
}

// Guards against a long prefill that is given up, or memory that stays reserved, because a report is misread.
TEST_CASE("the state of a reservation is read from an engine's report", "[platform]")
{
    const auto [report, state] = GENERATE(table<std::string, ReservationState>({
        {R"({"tickets":[{"id":"r1","tokens":5,"state":"used","age_ms":9}]})", ReservationState::Used},
        {R"({"tickets":[{"id":"r1","state":"held"}]})", ReservationState::Unused},
        {R"({"tickets":[{"id":"r1","state":"waiting"}]})", ReservationState::Unused},
        {R"({"tickets":[{"id":"r2","state":"used"},{"id":"r1","state":"held"}]})", ReservationState::Unused},
        {R"({"tickets":[{"id":"r2","state":"used"}]})", ReservationState::Unknown},
        {R"({"tickets":[7,{"id":1,"state":"used"},{"id":"r1"},{"id":"r1","state":"used"}]})", ReservationState::Used},
        {R"({"tickets":{}})", ReservationState::Unknown},
        {R"({"running":1})", ReservationState::Unknown},
        {R"([])", ReservationState::Unknown},
        {"{", ReservationState::Unknown},
        {"", ReservationState::Unknown},
    }));
    CHECK(decodeReservationState(report, "r1") == state);
}
