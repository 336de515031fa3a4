#include "adapters/httpfront.h"
#include "adapters/keyhash.h"
#include "qttest.h"

using namespace ibismast;

namespace
{

class FixedConfig final : public ConfigSource
{
public:
    [[nodiscard]] bool ready() const override
    {
        return true;
    }
    [[nodiscard]] Revision revision() const override
    {
        return Revision(1);
    }
    [[nodiscard]] const CustomerConfig *customerOfKey(std::string_view hash) const override
    {
        return hash == keyHash("secret") ? &m_customer : nullptr;
    }
    [[nodiscard]] const ModelConfig *model(const ModelName &name) const override
    {
        return name == m_model.name ? &m_model : nullptr;
    }
    [[nodiscard]] const ServiceConfig *service(const ServiceName &name) const override
    {
        return name == m_service.name ? &m_service : nullptr;
    }
    [[nodiscard]] std::vector<ModelName> models() const override
    {
        return {m_model.name};
    }

private:
    CustomerConfig m_customer {CustomerId("registry"), 2.0, {}};
    ModelConfig m_model {ModelName("small"), Tokens(1'000'000), Tokens(100)};
    ServiceConfig m_service {ServiceName("booking"), {"GET"}};
};

/// Records what the front end passes on and lets the test answer.
class RecordingPort final : public EntryPort
{
public:
    void submit(CompletionRequest request, std::shared_ptr<CallerReply> reply) override
    {
        completions.push_back(std::move(request));
        take(std::move(reply));
    }
    void callService(ServiceRequest request, std::shared_ptr<CallerReply> reply) override
    {
        services.push_back(std::move(request));
        take(std::move(reply));
    }
    void requestOperationId(const ServiceName & /*service*/,
                            Duration /*timeLeft*/,
                            std::shared_ptr<CallerReply> reply) override
    {
        take(std::move(reply));
    }
    void callerLeft(const RequestId &request) override
    {
        left.push_back(request);
    }
    [[nodiscard]] std::optional<Error> refusal() const override
    {
        return std::nullopt;
    }

    std::vector<CompletionRequest> completions;
    std::vector<ServiceRequest> services;
    std::vector<std::shared_ptr<CallerReply>> replies;
    std::vector<RequestId> ids;
    std::vector<RequestId> left;

private:
    void take(std::shared_ptr<CallerReply> reply)
    {
        ids.push_back({Incarnation(1), ids.size()});
        reply->started(ids.back());
        replies.push_back(std::move(reply));
    }
};

HttpFrontSettings smallLimits()
{
    HttpFrontSettings settings;
    settings.guard.message.maxBodyBytes = 100'000;
    return settings;
}

/// Front end on a free port, with a clock that only the test moves.
struct Front : NeedsEventLoop
{
    Front()
    {
        REQUIRE(errorOf(front.listen(QHostAddress(QHostAddress::LocalHost), 0)) == nullptr);
    }
    [[nodiscard]] bool waitForRequest(std::size_t count = 1) const
    {
        return runUntil([this, count] {
            return port.replies.size() == count;
        });
    }

    TimePoint now {};
    FixedConfig config;
    RecordingPort port;
    HttpFront front {smallLimits(),
                     port,
                     config,
                     [] {
                         return std::string("metric 1\n");
                     },
                     [this] {
                         return now;
                     }};
};

std::string post(const std::string &path, const std::string &body, const std::string &headers = {})
{
    return "POST " + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string StreamBody = R"({"model": "small", "prompt": "12345", "max_tokens": 5, "stream": true})";

} // namespace

// Guards against a stream whose parts or end marker do not reach the caller.
TEST_CASE("a completion is streamed as server-sent events", "[adapters]")
{
    Front front;
    RawClient client(front.front.port());
    client.send(post("/v1/completions", StreamBody, "X-Request-Id: mine\r\nX-Deadline-Ms: 1500\r\n"));
    REQUIRE(front.waitForRequest());
    const CompletionRequest &request = front.port.completions[0];
    CHECK(request.customer == CustomerId("registry"));
    CHECK(request.customerWeight == 2.0);
    CHECK(request.promptTokens == Tokens(2));
    CHECK(request.maxOutputTokens == Tokens(5));
    CHECK(request.timeLeft == std::chrono::milliseconds(1500));
    CHECK(*request.body == StreamBody);
    front.port.replies[0]->tokens({front.port.ids[0], {"He", "llo\n"}});
    REQUIRE(client.waitFor(R"("text": "Hello\n", "finish_reason": null)"));
    front.port.replies[0]->end({front.port.ids[0], "stop", Tokens(2), Tokens(2)});
    REQUIRE(client.waitFor("data: [DONE]\n\n\r\n0\r\n\r\n"));
    CHECK(client.received().find("X-Request-Id: mine\r\n") != std::string::npos);
    CHECK(client.received().find(R"("finish_reason": "stop")") != std::string::npos);
    // The connection serves another request.
    client.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(client.waitFor("ok\n"));
}

// Guards against parts that are merged although the caller keeps up, or lost while it does not.
TEST_CASE("parts are merged only while the caller's socket is busy", "[adapters]")
{
    Front front;
    RawClient client(front.front.port());
    client.send(post("/v1/chat/completions",
                     R"({"model": "small", "messages": [{"role": "user", "content": "12345678"}], "stream": true})"));
    REQUIRE(front.waitForRequest());
    CHECK(front.port.completions[0].promptTokens == Tokens(2));
    CallerReply &reply = *front.port.replies[0];
    reply.tokens({front.port.ids[0], {"a"}});
    reply.tokens({front.port.ids[0], {"b"}});
    reply.tokens({front.port.ids[0], {"c"}});
    REQUIRE(client.waitFor(R"("delta": {"content": "bc"})"));
    CHECK(client.received().find(R"("delta": {"role": "assistant", "content": "a"})") != std::string::npos);
    reply.tokens({front.port.ids[0], {"d"}});
    CHECK(client.waitFor(R"("delta": {"content": "d"})"));
}

// Guards against a whole answer that lacks text or usage, and a failure without its number.
TEST_CASE("a completion is answered whole or with a numbered error", "[adapters]")
{
    Front front;
    RawClient client(front.front.port());
    const std::string body = R"({"model": "small", "prompt": [1, 2, 3]})";
    client.send(post("/v1/completions", body));
    REQUIRE(front.waitForRequest());
    CHECK(front.port.completions[0].promptTokens == Tokens(3));
    front.port.replies[0]->tokens({front.port.ids[0], {"a", "b"}});
    front.port.replies[0]->end({front.port.ids[0], "length", Tokens(3), Tokens(2)});
    REQUIRE(client.waitFor(R"("usage": {"prompt_tokens": 3, "completion_tokens": 2, "total_tokens": 5}})"));
    CHECK(client.received().find(R"("text": "ab", "finish_reason": "length")") != std::string::npos);

    client.send(post("/v1/completions", body));
    REQUIRE(front.waitForRequest(2));
    const Error error {ResultCode::DeadlineNotFeasible, "too busy", Duration(1'200'000)};
    front.port.replies[1]->failure({front.port.ids[1], error, std::nullopt});
    REQUIRE(client.waitFor(
        R"({"error": {"code": 2001, "name": "DeadlineNotFeasible", "message": "too busy", "not_run": true}})"));
    CHECK(client.received().find("HTTP/1.1 503") != std::string::npos);
    CHECK(client.received().find("Retry-After: 2\r\n") != std::string::npos);
}

// Guards against a stream that ends like a complete one although the request failed.
TEST_CASE("a failure in a started stream is its last event", "[adapters]")
{
    Front front;
    RawClient client(front.front.port());
    client.send(post("/v1/completions", StreamBody));
    REQUIRE(front.waitForRequest());
    front.port.replies[0]->tokens({front.port.ids[0], {"a"}});
    front.port.replies[0]->failure({front.port.ids[0], {ResultCode::StreamIncomplete, "lost", {}}, std::nullopt});
    REQUIRE(client.waitFor("\r\n0\r\n\r\n"));
    CHECK(client.received().find(R"(data: {"error": {"code": 3004,)") != std::string::npos);
    CHECK(client.received().find("[DONE]") == std::string::npos);
}

// Guards against work that goes on for a caller who has left, and against writing to a closed socket.
TEST_CASE("a caller that leaves mid-stream cancels the request", "[adapters]")
{
    Front front;
    auto client = std::make_unique<RawClient>(front.front.port());
    client->send(post("/v1/completions", StreamBody));
    REQUIRE(front.waitForRequest());
    front.port.replies[0]->tokens({front.port.ids[0], {"a"}});
    REQUIRE(client->waitFor("data: "));
    client->leave();
    REQUIRE(runUntil([&front] {
        return !front.port.left.empty();
    }));
    CHECK(front.port.left == front.port.ids);
    REQUIRE(runUntil([&front] {
        return front.front.guard().connectionCount() == 0;
    }));
    front.port.replies[0]->tokens({front.port.ids[0], {"b"}});
    front.port.replies[0]->end({front.port.ids[0], "stop", Tokens(2), Tokens(2)});
    RawClient next(front.front.port());
    next.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(next.waitFor("ok\n"));
}

// Guards against input that ends the process, hangs the connection or gets an answer without a number.
TEST_CASE("a faulty request gets a numbered error and the server lives on", "[adapters]")
{
    struct Fault
    {
        std::string request;
        int code;
    };
    const std::string head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\n";
    const auto fault = GENERATE_COPY(
        Fault {head + "Content-Length: -5\r\n\r\n", 1001},
        Fault {head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n", 1001},
        Fault {head + "Content-Length: 100001\r\n\r\n", 1002},
        Fault {head + "Transfer-Encoding: chunked\r\n\r\n" + "20000\r\n" + std::string(0x20000, 'x'), 1002},
        Fault {head + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n", 1001},
        Fault {"nonsense\r\n\r\n", 1001},
        Fault {"GET /healthz HTTP/1.1\r\n" + std::string(20'000, 'a'), 1001},
        Fault {"BREW /healthz HTTP/1.1\r\nHost: x\r\n\r\n", 1013},
        Fault {"GET http://x/ HTTP/1.1\r\nHost: x\r\n\r\n", 1001},
        Fault {"GET /v1/completions HTTP/1.1\r\nHost: x\r\n\r\n", 1013},
        Fault {"GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n", 1012},
        Fault {"GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer wrong\r\n\r\n", 1006},
        Fault {"GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n", 1006},
        Fault {post("/v1/completions", "{"), 1001},
        Fault {post("/v1/completions", "{} x"), 1001},
        Fault {post("/v1/completions", std::string(2000, '[')), 1001},
        Fault {post("/v1/completions", "[]"), 1007},
        Fault {post("/v1/completions", R"({"prompt": "x"})"), 1007},
        Fault {post("/v1/completions", R"({"model": "small"})"), 1007},
        Fault {post("/v1/completions", R"({"model": "small", "prompt": ""})"), 1007},
        Fault {post("/v1/completions", R"({"model": "small", "prompt": [1, -1]})"), 1007},
        Fault {post("/v1/completions", R"({"model": "small", "prompt": ["a"]})"), 1007},
        Fault {post("/v1/completions", R"({"model": "small", "prompt": "x", "prompt": "y"})"), 1007},
        Fault {post("/v1/completions", R"({"model": "small", "prompt": "x", "max_tokens": 101})"), 1007},
        Fault {post("/v1/completions", R"({"model": "small", "prompt": "x", "max_tokens": 0})"), 1007},
        Fault {post("/v1/completions", R"({"model": "small", "prompt": "x", "stream": "yes"})"), 1007},
        Fault {post("/v1/completions", R"({"model": "other", "prompt": "x"})"), 1004},
        Fault {post("/v1/completions", StreamBody, "X-Deadline-Ms: -1\r\n"), 1007},
        Fault {post("/services/other/x", ""), 1005},
        Fault {post("/services/booking/x", "", "Operation-Id: x\r\n"), 1010},
        Fault {post("/v1/operations/other", ""), 1005});
    Front front;
    RawClient client(front.front.port());
    client.send(fault.request);
    CAPTURE(fault.request.substr(0, 200));
    REQUIRE(client.waitFor(R"({"error": {"code": )"));
    CHECK(client.received().find(R"({"error": {"code": )" + std::to_string(fault.code)) != std::string::npos);
    CHECK(front.port.replies.empty());
    RawClient next(front.front.port());
    next.send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(next.waitFor("ready\n"));
}

// Guards against a caller that ends the process by a header or trailer of 64 KiB (review case 1). The trailer comes in
// two parts, of which the first keeps to the limit of the head.
TEST_CASE("a head or trailer that the library cannot hold is a bad request", "[adapters]")
{
    const std::string head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\n";
    const std::string fill(65'000, 'y');
    const auto [start, rest] = GENERATE_COPY(table<std::string, std::string>({
        {head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: " + std::string(10'000, 'y'), fill + "\r\n\r\n"},
        {head + "X: ", fill + "\r\n\r\n"},
    }));
    Front front;
    RawClient client(front.front.port());
    client.send(start);
    (void)runUntil([rounds = 0]() mutable {
        return ++rounds > 20;
    });
    client.send(rest);
    REQUIRE(client.waitFor(R"({"error": {"code": 1001)"));
    CHECK(front.port.replies.empty());
}

// Guards against a second request whose answer would be mixed with the stream of the first.
TEST_CASE("a pipelined request is refused after the first answer", "[adapters]")
{
    const bool together = GENERATE(true, false);
    Front front;
    RawClient client(front.front.port());
    const std::string second = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
    client.send(post("/v1/completions", StreamBody) + (together ? second : ""));
    REQUIRE(front.waitForRequest());
    front.port.replies[0]->tokens({front.port.ids[0], {"a"}});
    if (!together) {
        client.send(second);
        REQUIRE(runUntil([&client] {
            return client.socket().bytesToWrite() == 0;
        }));
    }
    REQUIRE(client.waitFor("data: "));
    RawClient other(front.front.port());
    other.send(second);
    REQUIRE(other.waitFor("ok\n"));
    front.port.replies[0]->end({front.port.ids[0], "stop", Tokens(2), Tokens(1)});
    REQUIRE(client.waitFor(R"({"error": {"code": 1009)"));
    CHECK(client.received().find("0\r\n\r\nHTTP/1.1 400") != std::string::npos);
    front.now += std::chrono::seconds(3);
    CHECK(client.waitForClose());
}

// Guards against connections that are held open by senders that never finish a head or a body.
TEST_CASE("a slow sender is refused when its time is over", "[adapters]")
{
    const auto part = GENERATE(std::string("POST /v1/comp"),
                               std::string("POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n{"));
    Front front;
    RawClient client(front.front.port());
    client.send(part);
    REQUIRE(runUntil([&front] {
        return front.front.guard().connectionCount() == 1;
    }));
    RawClient other(front.front.port());
    other.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(other.waitFor("ok\n"));
    CHECK(client.received().empty());
    front.now += std::chrono::seconds(11);
    REQUIRE(client.waitFor(R"({"error": {"code": 1003)"));
    CHECK(client.received().starts_with("HTTP/1.1 408"));
}

// Guards against a call that loses its path, method, key or operation id, which would run it twice.
TEST_CASE("service calls and operations are passed on and answered", "[adapters]")
{
    Front front;
    RawClient client(front.front.port());
    client.send(post("/v1/operations/booking", ""));
    REQUIRE(front.waitForRequest());
    const OperationId id {InstanceId("agent-1"), Incarnation(5), 6};
    front.port.replies[0]->operationId({front.port.ids[0], id});
    REQUIRE(client.waitFor(R"({"operation_id": "agent-1.5.6"})"));

    client.send(post("/services/booking/orders?x=1",
                     "data",
                     "Operation-Id: agent-1.5.6\r\nIdempotency-Key: k\r\nContent-Type: text/plain\r\n"));
    REQUIRE(front.waitForRequest(2));
    const ServiceRequest &request = front.port.services[0];
    CHECK(request.service == ServiceName("booking"));
    CHECK(request.method == "POST");
    CHECK(request.path == "/orders?x=1");
    CHECK(request.contentType == "text/plain");
    CHECK(*request.body == "data");
    CHECK(request.operation == id);
    CHECK(request.idempotencyKey == "k");
    CHECK_FALSE(request.idempotent);
    front.port.replies[1]->serviceReply(
        {front.port.ids[1], id, 201, "text/plain", std::make_shared<const std::string>("made")});
    REQUIRE(client.waitFor("made"));
    CHECK(client.received().find("HTTP/1.1 201") != std::string::npos);
    CHECK(client.received().find("Operation-Id: agent-1.5.6\r\n") != std::string::npos);
}
