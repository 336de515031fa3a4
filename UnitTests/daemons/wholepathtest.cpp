#include "UnitTests/adapters/qttest.h"
#include "adapters/agentdaemon.h"
#include "adapters/entrydaemon.h"
#include "adapters/keyhash.h"
#include "standins/engine/engineserver.h"
#include "standins/plainservice/plainserviceserver.h"

using namespace ibismast;

namespace
{

SettingsFile parsed(const std::string &text)
{
    return std::get<SettingsFile>(SettingsFile::parse("test.ini", text));
}

std::string address(quint16 port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/// Agent beside a stand-in.
std::unique_ptr<AgentDaemon> startAgent(const std::string &id, const std::string &upstream)
{
    SettingsFile file = parsed("[instance]\nid = " + id + "\ndomain = d\n[peers]\nlisten = 127.0.0.1:0\n" + upstream);
    AgentDaemonSettings settings = readAgentSettings(file);
    const std::optional<Error> error = file.finish();
    CAPTURE(error.value_or(Error()).message);
    REQUIRE_FALSE(error);
    auto daemon = std::make_unique<AgentDaemon>(std::move(settings), Incarnation(7), [](const Error &) {});
    const auto started = daemon->start();
    REQUIRE(errorOf(started) == nullptr);
    return daemon;
}

/// Entry with links to agents.
std::unique_ptr<EntryDaemon> startEntry(const std::string &agents)
{
    SettingsFile file = parsed("[instance]\nid = entry-1\ndomain = d\n[http]\nlisten = 127.0.0.1:0\n[peers]\nagents = "
                               + agents + "\n[model.model]\nmax_output_tokens = 1000\n[service.booking]\n"
                               + "idempotent_methods = GET\n[customer.registry]\nkey_sha256 = " + keyHash("secret"));
    EntryDaemonSettings settings = readEntrySettings(file);
    auto config = std::make_unique<DeclaredConfig>(file);
    const std::optional<Error> error = file.finish();
    CAPTURE(error.value_or(Error()).message);
    REQUIRE_FALSE(error);
    auto daemon =
        std::make_unique<EntryDaemon>(std::move(settings), std::move(config), Incarnation(9), [](const Error &) {});
    const auto started = daemon->start();
    REQUIRE(errorOf(started) == nullptr);
    return daemon;
}

std::string post(const std::string &path, const std::string &body, const std::string &headers = {})
{
    return "POST " + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Engine, agent and entry in this process.
struct Path : NeedsEventLoop
{
    Path()
    {
        EngineServerSettings settings;
        settings.model.models = {ModelName("model")};
        engine = std::make_unique<EngineServer>(settings);
        const quint16 port = engine->start(0);
        REQUIRE(port != 0);
        agent = startAgent("agent-1", "[engine]\naddress = " + address(port) + "\nmodels = model\n");
        entry = startEntry("agent-1@" + address(agent->peerPort()));
        REQUIRE(runUntil([this] {
            return entry->process().connectedAgents() == 1;
        }));
    }
    /// Sends @p request again until the agent's first load report has made the model known to the entry.
    [[nodiscard]] std::string ask(const std::string &request, const std::string &until) const
    {
        while (true) {
            RawClient client(entry->httpPort());
            client.send(request);
            const bool answered = runUntil([&client, &until] {
                return client.received().find(until) != std::string::npos
                    || client.received().find(R"("code": 2004)") != std::string::npos;
            });
            CAPTURE(client.received());
            REQUIRE(answered);
            if (client.received().find(R"("code": 2004)") == std::string::npos) {
                return client.received();
            }
        }
    }

    std::unique_ptr<EngineServer> engine;
    std::unique_ptr<AgentDaemon> agent;
    std::unique_ptr<EntryDaemon> entry;
};

std::size_t count(const std::string &text, const std::string &part)
{
    std::size_t found = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++found;
    }
    return found;
}

/// Returns all values of the field `text` in a row.
std::string texts(const std::string &answer)
{
    static const std::string key = R"("text": ")";
    std::string result;
    for (std::size_t at = answer.find(key); at != std::string::npos; at = answer.find(key, at)) {
        at += key.size();
        result += answer.substr(at, answer.find('"', at) - at);
    }
    return result;
}

} // namespace

// Guards against a break anywhere between caller, entry, agent and engine.
TEST_CASE("a streamed completion passes entry, agent and engine", "[daemons]")
{
    const Path path;
    const std::string body = R"({"model": "model", "prompt": "0123456789", "max_tokens": 20, "stream": true})";
    const std::string answer = path.ask(post("/v1/completions", body), "\r\n0\r\n\r\n");
    CAPTURE(answer);
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(count(answer, "data: [DONE]") == 1);
    const std::string whole =
        path.ask(post("/v1/completions", R"({"model": "model", "prompt": "0123456789", "max_tokens": 20})"), "usage");
    // The engine's answer depends on the prompt only, so both forms must hold the same text.
    CHECK(texts(whole) == texts(answer));
    CHECK_FALSE(texts(answer).empty());
    const std::string chat =
        path.ask(post("/v1/chat/completions",
                      R"({"model": "model", "messages": [{"role": "user", "content": "hello"}], "max_tokens": 3})"),
                 "usage");
    CHECK(chat.find(R"("role": "assistant", "content": ")") != std::string::npos);
    CHECK(runUntil([&path] {
        return path.agent->openWork() == 0 && path.entry->openRequests() == 0;
    }));
}

// Guards against memory and engine time that stay reserved for a caller who has left.
TEST_CASE("a caller that leaves frees the engine", "[daemons]")
{
    const Path path;
    const std::string first = post("/v1/completions", R"({"model": "model", "prompt": "x", "max_tokens": 1})");
    REQUIRE(path.ask(first, "usage").starts_with("HTTP/1.1 200"));
    {
        RawClient client(path.entry->httpPort());
        client.send(
            post("/v1/completions", R"({"model": "model", "prompt": "x", "max_tokens": 1000, "stream": true})"));
        REQUIRE(client.waitFor("data: "));
        CHECK(path.agent->openWork() > 0);
    }
    CHECK(runUntil([&path] {
        return path.agent->openWork() == 0 && path.entry->openRequests() == 0;
    }));
}

// Guards against requests that are interrupted because the platform's list is empty for a moment.
TEST_CASE("an agent that is connected stays although the list does not name it", "[daemons]")
{
    const Path path;
    path.entry->process().setAgents({});
    CHECK(path.entry->process().connectedAgents() == 1);
    path.agent->stop();
    REQUIRE(runUntil([&path] {
        return path.entry->process().connectedAgents() == 0;
    }));
    const auto refusal = path.entry->process().refusal();
    REQUIRE(refusal);
    CHECK(refusal->code == ResultCode::NotReady);
}

// Guards against a non-idempotent call that is lost or run twice between caller and plain service.
TEST_CASE("a service call under an operation id runs once", "[daemons]")
{
    needEventLoop();
    PlainServiceServer service;
    const quint16 port = service.start(0);
    const auto agent = startAgent("agent-2", "[service]\naddress = " + address(port) + "\nname = booking\n");
    const auto entry = startEntry("agent-2@" + address(agent->peerPort()));
    std::string id;
    while (id.empty()) {
        RawClient client(entry->httpPort());
        client.send(post("/v1/operations/booking", ""));
        REQUIRE(client.waitFor("}"));
        const std::size_t start = client.received().find(R"("operation_id": ")");
        if (start != std::string::npos) {
            id = client.received().substr(start + 17);
            id.resize(id.find('"'));
        }
    }
    for (int i = 0; i < 2; ++i) {
        RawClient client(entry->httpPort());
        client.send(post("/services/booking/orders", R"({"reference": "r1"})", "Operation-Id: " + id + "\r\n"));
        REQUIRE(client.waitFor("}"));
        CAPTURE(client.received());
        CHECK(client.received().starts_with("HTTP/1.1 200"));
        CHECK(client.received().find(R"("reference")") != std::string::npos);
    }
    CHECK(service.doubleRuns() == 0);
}
