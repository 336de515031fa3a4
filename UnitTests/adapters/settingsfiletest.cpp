#include "adapters/agentdaemon.h"
#include "adapters/entrydaemon.h"
#include "adapters/keyhash.h"
#include "qttest.h"

using namespace ibismast;

namespace
{

const std::string EntryText = "[instance]\nid = entry-1\ndomain = d\n[http]\nlisten = 127.0.0.1:0\n"
                              "[peers]\nagents = a@127.0.0.1:1, b@[::1]:2\n";

SettingsFile parsed(const std::string &text)
{
    return std::get<SettingsFile>(SettingsFile::parse("entry.ini", text));
}

/// Returns the violations of an entry's settings file.
std::string violations(const std::string &text)
{
    const auto file = SettingsFile::parse("entry.ini", text);
    if (const Error *error = errorOf(file)) {
        return error->message;
    }
    SettingsFile settings = std::get<SettingsFile>(file);
    const EntryDaemonSettings read = readEntrySettings(settings);
    const DeclaredConfig config(settings);
    const std::optional<Error> error = settings.finish();
    return error ? error->message : std::string();
}

} // namespace

// Guards against settings that are read under another name or with another unit than documented.
TEST_CASE("entry settings are read", "[adapters]")
{
    needEventLoop();
    SettingsFile file = parsed(EntryText
                               + "[instances]\nurl = http://127.0.0.1:9/instances\ninterval_ms = 20\n"
                                 "[store]\ngateway = http://127.0.0.1:2379\n[model.small]\nmax_output_tokens = 7\n"
                                 "[service.booking]\nidempotent_methods = GET, PUT\n[customer.c]\nweight = 2.5\n"
                                 "key_sha256 = "
                               + keyHash("one") + ", " + keyHash("two") + "\n");
    const EntryDaemonSettings settings = readEntrySettings(file);
    const DeclaredConfig config(file);
    const std::optional<Error> error = file.finish();
    CAPTURE(error.value_or(Error()).message);
    REQUIRE_FALSE(error);
    CHECK(settings.instance == InstanceId("entry-1"));
    REQUIRE(settings.agents.size() == 2);
    CHECK(settings.agents[1] == AgentAddress {InstanceId("b"), QHostAddress("::1"), 2});
    REQUIRE(settings.instances);
    CHECK(settings.instances->interval == std::chrono::milliseconds(20));
    CHECK(settings.store);
    REQUIRE(config.customerOfKey(keyHash("two")) != nullptr);
    CHECK(config.customerOfKey(keyHash("two"))->weight == 2.5);
    CHECK(config.customerOfKey("two") == nullptr);
    REQUIRE(config.model(ModelName("small")) != nullptr);
    CHECK(config.model(ModelName("small"))->maxOutputTokens == Tokens(7));
    CHECK(config.service(ServiceName("booking"))->idempotentMethods == std::vector<std::string> {"GET", "PUT"});
}

// Guards against a wrong setting that is replaced by a default without a word, or whose message names no place.
TEST_CASE("a wrong setting names file, section, key, value and range", "[adapters]")
{
    needEventLoop();
    struct Fault
    {
        std::string text;
        std::string message;
    };
    const auto fault = GENERATE_COPY(
        Fault {"[http]\nmax_body_bytes = 5\n", "key max_body_bytes, value \"5\": must be an integer from 1024 to"},
        Fault {"[http]\nmax_body_bytes = 1e9\n", "key max_body_bytes, value \"1e9\": must be an integer from 1024 to"},
        Fault {"[http]\nhead_timeout_ms = 10s\n", "value \"10s\": must be an integer from 100 to 600000"},
        Fault {"[http]\nmax_bodybytes = 5000\n", "key max_bodybytes, value \"5000\": must be removed"},
        Fault {"[htpp]\nx = 1\n", "section [htpp] is unknown"},
        Fault {"[peers]\nagents = a@127.0.0.1\n", "[peers], key agents, value \"a@127.0.0.1\": must be a list"},
        Fault {"[peers]\nagents = a@127.0.0.1:70000\n", "must be a list of elements of the form id@ip:port"},
        Fault {"[peers]\nagents = a@127.0.0.1:1,,\n", "must be elements that are not empty"},
        Fault {"[customer.c]\nweight = nan\n",
               "[customer.c], key weight, value \"nan\": must be a number from 0.001 to"},
        Fault {"[customer.c]\nkey_sha256 = secret\n", "must be SHA-256 hashes of 64 lower-case hexadecimal digits"},
        Fault {"[service.s]\nidempotent_methods = get\n", "must be methods out of GET"},
        Fault {"[instances]\nurl = ftp://x\n", "must be a URL of the form http://ip:port/path"},
        Fault {"[http]\ntls_certificate = /nowhere.pem\n", "/nowhere.pem: the file holds no certificate in PEM form"},
        Fault {"[model.m]\nmax_output_tokens = 1\nmax_output_tokens = 2\n", "entry.ini: line"},
        Fault {"[model.m]\nthis line has no sign\n", "entry.ini: line"},
        Fault {"[model\n", "entry.ini: line"},
        Fault {"[customer.a]\nkey_sha256 = " + keyHash("k") + "\n[customer.b]\nkey_sha256 = " + keyHash("k") + "\n",
               "must be a hash that no other customer has"});
    // Sections of the fault replace those of the valid text, since a section may appear only once.
    std::string text = EntryText;
    for (const std::string section : {"[http]", "[peers]"}) {
        if (fault.text.starts_with(section)) {
            const std::size_t at = text.find(section + "\n");
            text.erase(at, section.size() + 1);
            text.insert(at, fault.text);
        }
    }
    if (text == EntryText) {
        text += fault.text;
    }
    if (fault.text.starts_with("[peers]")) {
        text.erase(text.rfind("agents = a@127.0.0.1:1, b"));
    }
    const std::string message = violations(text);
    CAPTURE(text, message);
    CHECK(message.find("entry.ini") != std::string::npos);
    CHECK(message.find(fault.message) != std::string::npos);
}

// Guards against an operator who has to start the daemon once for each fault.
TEST_CASE("all violations are reported at once", "[adapters]")
{
    needEventLoop();
    const std::string message = violations("[http]\nmax_head_bytes = 0\n");
    CHECK(message.find("key id") != std::string::npos);
    CHECK(message.find("key domain") != std::string::npos);
    CHECK(message.find("key listen") != std::string::npos);
    CHECK(message.find("key max_head_bytes, value \"0\"") != std::string::npos);
}

// Guards against an agent that starts without an upstream.
TEST_CASE("an agent needs an engine or a service", "[adapters]")
{
    needEventLoop();
    SettingsFile file = parsed("[instance]\nid = a\ndomain = d\n[peers]\nlisten = 127.0.0.1:0\n");
    const AgentDaemonSettings settings = readAgentSettings(file);
    const std::optional<Error> error = file.finish();
    REQUIRE(error);
    CHECK(error->message.find("[engine], key address") != std::string::npos);
}
