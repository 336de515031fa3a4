#include "ibismast/relay/relaycore.h"
#include "platform/platformdecoder.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

/// Entry with one upstream that gets its configuration as the platform stores it.
class ConfiguredEntryFixture
{
protected:
    /// Applies a configuration with a route /p/ without keys and a route /a/. @p customers is the member that lists the
    /// customers, empty for none.
    void apply(int version, const std::string &customers)
    {
        const std::string value = R"({"version":)" + std::to_string(version) + R"(,"routes":[
            {"name":"r1","host":"h","path_prefix":"/a/","kind":"safe","backend":"s"},
            {"name":"r2","host":"h","path_prefix":"/p/","kind":"safe","backend":"s","public":true}],
            "services":[{"name":"s","max_conns":4}])"
            + (customers.empty() ? "" : "," + customers) + "}";
        Result<RelayConfig> config = PlatformDecoder().decodeConfig({"op/config", value, 1});
        if (errorOf(config) == nullptr) {
            core.applyConfig(std::move(std::get<RelayConfig>(config)), now);
        }
        UpstreamRecord upstream;
        upstream.id = InstanceId("u1");
        upstream.service = ServiceName("s");
        core.directory().apply({{upstream}, 1}, now);
    }
    /// Returns the HTTP status of the refusal of a call, or 0 if it was sent to the upstream.
    int submit(const std::string &path, const std::string &key)
    {
        IncomingCall call;
        call.requestId = "r";
        call.host = "h";
        call.path = path;
        call.key = key;
        RelayActions actions;
        const Result<CallNumber> result = core.submit(call, now, actions);
        const Error *error = errorOf(result);
        return error == nullptr ? 0 : resultCodeInfo(error->code).httpStatus;
    }

    EventListener listener;
    RelayCore core {RelayCoreSettings(), 1, listener};
    TimePoint now {1'000s};
};

} // namespace

// Guards against calls that run with any key or without one since the configuration lists no customer (review case 14,
// ROUTE), and against other lists that hold no key and open the routes.
TEST_CASE_METHOD(ConfiguredEntryFixture, "a list of customers without keys admits no call", "[platform]")
{
    struct Row
    {
        std::string customers;
        std::string path;
        /// Status for a key of a customer, for an unknown key and for no key.
        std::array<int, 3> status;
    };
    const Row row = GENERATE(values<Row>({
        {R"("tenants":[{"name":"t1","api_keys":["k1"]}])", "/a/x", {0, 401, 401}},
        {R"("tenants":[])", "/a/x", {401, 401, 401}},
        {R"("tenants":[])", "/p/x", {0, 0, 0}},
        {R"("tenants":[{"name":"t1","api_keys":[]}])", "/a/x", {401, 401, 401}},
        {R"("tenants":[{"name":"t1"}])", "/a/x", {401, 401, 401}},
        {R"("tenants":[{"name":"t1","api_keys":[""]}])", "/a/x", {401, 401, 401}},
        {R"("tenants":[{"name":"t1","api_keys":["","k1"]}])", "/a/x", {0, 401, 401}},
        {R"("tenants":[7])", "/a/x", {401, 401, 401}},
        // A faulty configuration is not applied, so the entry has none.
        {R"("tenants":null)", "/a/x", {503, 503, 503}},
        {R"("tenants":{"name":"t1","api_keys":["k1"]})", "/a/x", {503, 503, 503}},
        {R"("tenants":[{"api_keys":["k1"]}])", "/a/x", {503, 503, 503}},
        {"", "/a/x", {0, 0, 0}},
    }));
    CAPTURE(row.customers, row.path);
    apply(1, row.customers);
    CHECK(submit(row.path, "k1") == row.status[0]);
    CHECK(submit(row.path, "other") == row.status[1]);
    CHECK(submit(row.path, "") == row.status[2]);
}

// Guards against a key that still admits calls after it was taken away, and against routes that are open between two
// versions with customers.
TEST_CASE_METHOD(ConfiguredEntryFixture,
                 "each version of the configuration decides which keys admit calls",
                 "[platform]")
{
    const std::string removed = GENERATE(as<std::string> {},
                                         R"("tenants":[])",
                                         R"("tenants":[{"name":"t1","api_keys":[]}])",
                                         R"("tenants":[{"name":"t2","api_keys":["k2"]}])");
    CAPTURE(removed);
    apply(7, R"("tenants":[{"name":"t1","api_keys":["k1"]}])");
    CHECK(submit("/a/x", "k1") == 0);
    apply(8, removed);
    CHECK(submit("/a/x", "k1") == 401);
    CHECK(submit("/a/x", "other") == 401);
    CHECK(submit("/a/x", "") == 401);
    apply(9, R"("tenants":[{"name":"t1","api_keys":["k3"]}])");
    CHECK(submit("/a/x", "k1") == 401);
    CHECK(submit("/a/x", "k3") == 0);
}
