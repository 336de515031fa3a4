#include "ibismast/config/declarations.h"
#include "ibismast/config/configdiff.h"

#include <catch2/catch.hpp>

using namespace ibismast;

namespace
{

const std::string HashA(64, 'a');
const std::string HashB(64, 'b');

const std::string Valid = "# fleet of the registry\n"
                          "[customer dinas]\n"
                          "weight = 2.5\n"
                          "tokens_per_second = 50000\n"
                          "api_key_sha256 = "
    + HashA + ", " + HashB
    + "\n"
      "[model teks-70b]\n"
      "version = 3\n"
      "adapters = akta, ktp\n"
      "copies_per_domain = 2\n"
      "memory_tokens = 500000\n"
      "roles = prefill, decode\n"
      "[upstream engine-1]\n"
      "address = 10.0.0.1:8000\n"
      "domain = jawa-barat\n"
      "memory_tokens = 400000\n"
      "checks_fencing = true\n"
      "[service registration]\n"
      "address = [::1]:9000\n"
      "[route teks]\n"
      "model = teks-70b\n"
      "[call book]\n"
      "service = registration\n"
      "method = POST\n"
      "path = /orders/*/book\n"
      "[drain engine-9]\n";

Declarations parseText(const std::string &text, ConfigIssues &issues)
{
    DeclaredObjects declared;
    declared.add(parseIni("fleet.ini", text));
    return parseDeclarations(declared, issues);
}

} // namespace

TEST_CASE("a valid file gives typed declarations", "[config]")
{
    ConfigIssues issues;
    const Declarations parsed = parseText(Valid, issues);
    INFO(toString(issues));
    REQUIRE(issues.empty());
    CHECK(parsed.customers.at(CustomerId("dinas")).weight == 2.5);
    CHECK(parsed.customers.at(CustomerId("dinas")).tokensPerSecond == 50'000.0);
    CHECK_FALSE(parsed.customers.at(CustomerId("dinas")).concurrentRequests.has_value());
    CHECK(parsed.customerOfKey.at(HashB) == CustomerId("dinas"));
    const auto &model = parsed.models.at(ModelName("teks-70b"));
    CHECK(model.adapters == std::vector<std::string> {"akta", "ktp"});
    CHECK(model.memory == Tokens(500'000));
    CHECK(model.roles == std::set {UpstreamRole::Prefill, UpstreamRole::Decode});
    CHECK(parsed.upstreams.at(InstanceId("engine-1")).checksFencing);
    CHECK_FALSE(parsed.upstreams.at(InstanceId("engine-1")).checksAuthority);
    CHECK(parsed.draining.contains(InstanceId("engine-9")));
}

// Guards against a fault being accepted silently or reported at another place.
TEST_CASE("each fault names line, section, key, value and what is allowed", "[config]")
{
    struct Case
    {
        std::string text;
        std::string message;
    };
    const std::string customer = "[customer a]\napi_key_sha256 = " + HashA + "\n";
    const auto [text, message] = GENERATE_COPY(
        Case {"[customer a]\nweight = heavy\napi_key_sha256 = " + HashA,
              "fleet.ini:2: [customer a] weight = heavy: value not allowed; allowed: number, 0.001 to 1000"},
        Case {"[customer a]\nweight = 0\napi_key_sha256 = " + HashA, "fleet.ini:2: [customer a] weight = 0: value"},
        Case {"[customer a]\nweight = nan\napi_key_sha256 = " + HashA, "weight = nan: value not allowed"},
        Case {customer + "concurrent_requests = 1.5", "fleet.ini:3: [customer a] concurrent_requests = 1.5: value"},
        Case {customer + "colour = red", "fleet.ini:3: [customer a] colour = red: unknown key; allowed: keys weight"},
        Case {customer + "weight = 1\nweight = 2",
              "fleet.ini:4: [customer a] weight = 2: key repeated; first in line 3"},
        Case {customer + customer, "fleet.ini:3: [customer a] section repeated; first in line 1"},
        Case {"[customer a]", "fleet.ini:1: [customer a] api_key_sha256 = : required key is missing"},
        Case {"[customer a]\napi_key_sha256 = secret", "api_key_sha256 = secret: value not allowed; allowed: 1 to 32"},
        Case {customer + "[customer b]\napi_key_sha256 = " + HashA, "the key also belongs to customer a"},
        Case {"weight = 1", "fleet.ini:1: weight = 1: key outside of a section"},
        Case {"[customer a\n", "fleet.ini:1: section without closing bracket"},
        Case {"[]\n", "fleet.ini:1: section without a name"},
        Case {"hello", "fleet.ini:1: neither a section nor key = value"},
        Case {"[drain a]\n= 3", "fleet.ini:2: [drain a] value without a key"},
        Case {"[squad a]", "fleet.ini:1: [squad a] unknown kind of section"},
        Case {"[drain]", "fleet.ini:1: [drain] the section has no valid name"},
        Case {"[drain a b]", "fleet.ini:1: [drain a b] the section has no valid name"},
        Case {"[drain a]\nreason = \x01", "fleet.ini:2: [drain a] control character"},
        Case {"[service s]\naddress = localhost:80", "address = localhost:80: value not allowed; allowed: IP address"},
        Case {"[service s]\naddress = 10.0.0.256:80", "address = 10.0.0.256:80: value not allowed"},
        Case {"[service s]\naddress = 10.0.0.1:0", "address = 10.0.0.1:0: value not allowed"},
        Case {"[call c]\nservice = s\nmethod = POST\npath = /",
              "fleet.ini:2: [call c] service = s: the service is not"},
        Case {"[call c]\nservice = s\nmethod = post\npath = /",
              "method = post: value not allowed; allowed: one of GET"},
        Case {"[call c]\nservice = s\nmethod = POST\npath = /a*", "path = /a*: value not allowed"},
        Case {"[call c]\nservice = s\nmethod = POST\npath = /**/a", "path = /**/a: value not allowed"},
        Case {"[route r]\nmodel = m", "fleet.ini:2: [route r] model = m: the model is not declared"},
        Case {"[model m]\nversion = 1\ncopies_per_domain = 1\nmemory_tokens = 1\nroles = decode",
              "fleet.ini:5: [model m] roles = decode: no copy could serve a request"},
        Case {"[model m]\nversion = 1\nadapters = a,\ncopies_per_domain = 1\nmemory_tokens = 1",
              "adapters = a,: value"},
        Case {"[model m]\nversion = 1\nadapters = a, a\ncopies_per_domain = 1\nmemory_tokens = 1", "adapters = a, a:"});
    ConfigIssues issues;
    static_cast<void>(parseText(text, issues));
    INFO(text << "\n" << toString(issues));
    CHECK(toString(issues).find(message) != std::string::npos);
    CHECK(issues.size() == 1);
}

// Guards against a fault in one line hiding those behind it.
TEST_CASE("all faults of a file are reported", "[config]")
{
    ConfigIssues issues;
    static_cast<void>(parseText("[customer a]\nweight = x\n[model m]\nversion = 1\n[foo bar]\n", issues));
    CHECK(issues.size() == 5);
}

TEST_CASE("the same section in two files is an issue", "[config]")
{
    DeclaredObjects declared;
    declared.add(parseIni("a.ini", "[drain x]\n"));
    declared.add(parseIni("b.ini", "\n[drain x]\n"));
    REQUIRE(declared.issues.size() == 1);
    CHECK(toString(declared.issues).starts_with("b.ini:2: [drain x] section repeated; first in a.ini line 1"));
}

// Guards against a call that must not be repeated being taken for a repeatable one.
TEST_CASE("path patterns decide which calls are not idempotent", "[config]")
{
    struct Case
    {
        const char *pattern;
        const char *path;
        bool matches;
    };
    const auto [pattern, path, matches] = GENERATE(Case {"/orders", "/orders", true},
                                                   Case {"/orders", "/orders?x=1", true},
                                                   Case {"/orders", "/orders/", false},
                                                   Case {"/orders/*", "/orders/7", true},
                                                   Case {"/orders/*", "/orders/7/book", false},
                                                   Case {"/orders/*/book", "/orders/7/book", true},
                                                   Case {"/orders/**", "/orders/7/book", true},
                                                   Case {"/**", "/", true},
                                                   Case {"/orders", "/order", false});
    INFO(pattern << " " << path);
    CHECK(matchesPath(pattern, path) == matches);
    Declarations declarations;
    declarations.nonIdempotentCalls.push_back({"c", ServiceName("s"), "POST", pattern});
    CHECK(declarations.isIdempotent(ServiceName("s"), "POST", path) != matches);
    CHECK(declarations.isIdempotent(ServiceName("s"), "GET", path));
    CHECK(declarations.isIdempotent(ServiceName("t"), "POST", path));
}

TEST_CASE("a diff shows added, changed and removed objects and shortens hashes", "[config]")
{
    ConfigState state;
    state.objects["customer a"] = {{{"weight", "1"}, {"api_key_sha256", HashA}}, Revision(1)};
    state.objects["drain x"] = {{}, Revision(2)};
    const auto edits =
        diffObjects(state.objects,
                    {{"customer a", {{"weight", "2"}, {"api_key_sha256", HashB}}}, {"drain y", {{"reason", "disk"}}}});
    CHECK(toString(edits)
          == "~ [customer a]\n  - api_key_sha256 = aaaaaaaa\n  + api_key_sha256 = bbbbbbbb\n"
             "  - weight = 1\n  + weight = 2\n- [drain x]\n+ [drain y]\n  + reason = disk\n");
    CHECK(diffObjects(state.objects, {{"customer a", state.objects["customer a"].values}, {"drain x", {}}}).empty());
}

TEST_CASE("records and states survive a round trip and can be undone", "[config]")
{
    ConfigState state;
    ConfigRecord record {Revision(1), "id", "ana", "first", WallTime(5), {{"drain x", std::nullopt, ObjectValues()}}};
    applyRecord(state, record);
    ConfigRecord second {Revision(2), "id2", "ana", "", WallTime(6), {}};
    second.edits = {{"drain x", ObjectValues(), ObjectValues {{"reason", "a\nb:1"}}}};
    const ConfigState before = state;
    applyRecord(state, second);
    CHECK(decodeRecord(encodeRecord(second)) == second);
    CHECK(decodeState(encodeState(state)) == state);
    CHECK(peekRevision(encodeRecord(second)) == Revision(2));
    undoRecord(state, second);
    CHECK(state.objects.at("drain x").values == before.objects.at("drain x").values);
}

// Guards against damaged bytes from a peer or the store being taken as configuration.
TEST_CASE("truncated or damaged records are refused", "[config]")
{
    const std::string bytes =
        encodeRecord({Revision(1), "id", "ana", "", WallTime(5), {{"drain x", {}, ObjectValues()}}});
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        CHECK_FALSE(decodeRecord(bytes.substr(0, length)).has_value());
    }
    CHECK_FALSE(decodeRecord(bytes + "1:x").has_value());
    CHECK_FALSE(decodeRecord("99999999999999999999:x").has_value());
    CHECK_FALSE(decodeState("1:2").has_value());
}
