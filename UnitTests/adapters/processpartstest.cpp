#include "adapters/gracefulstop.h"
#include "adapters/instancelistclient.h"
#include "adapters/keyhash.h"
#include "adapters/plumbing/logging.h"
#include "adapters/plumbing/metrics.h"
#include "adapters/stopsignals.h"
#include "adapters/supervisor.h"
#include "qttest.h"

#include <csignal>

using namespace ibismast;

namespace
{

/// Supervisor of three parts that record their starts and stops.
struct Tree : NeedsEventLoop
{
    Tree()
    {
        for (const std::string name : {"a", "b", "c"}) {
            supervisor.add({name,
                            [this, name]() -> Result<Success> {
                                if (name == failing) {
                                    return Error {ResultCode::SettingsInvalid, "port in use", std::nullopt};
                                }
                                calls += "+" + name;
                                return Success {};
                            },
                            [this, name] {
                                calls += "-" + name;
                            }});
        }
    }

    TimePoint now {};
    std::string calls;
    std::string failing;
    std::vector<Error> failures;
    Supervisor supervisor {{2, std::chrono::seconds(60), std::chrono::milliseconds(1)},
                           [this] {
                               return now;
                           },
                           [this](const Error &error) {
                               failures.push_back(error);
                           }};
};

} // namespace

// Guards against a part that runs without those it depends on.
TEST_CASE("parts start in order and stop in reverse order", "[adapters]")
{
    Tree tree;
    CHECK(errorOf(tree.supervisor.start()) == nullptr);
    tree.supervisor.stop();
    CHECK(tree.calls == "+a+b+c-c-b-a");
}

// Guards against parts that stay behind when the process cannot start.
TEST_CASE("a part that cannot start stops those before it", "[adapters]")
{
    Tree tree;
    tree.failing = "c";
    const auto result = tree.supervisor.start();
    REQUIRE(errorOf(result) != nullptr);
    CHECK(errorOf(result)->message == "port in use");
    CHECK(tree.calls == "+a+b-b-a");
    CHECK(tree.failures.empty());
}

// Guards against a part that stays down, or that is started again for ever.
TEST_CASE("a failed part is started again with those after it, within limits", "[adapters]")
{
    Tree tree;
    CHECK(errorOf(tree.supervisor.start()) == nullptr);
    for (int i = 0; i < 2; ++i) {
        tree.calls.clear();
        tree.supervisor.partFailed("b", "gone");
        REQUIRE(runUntil([&tree] {
            return tree.supervisor.runningParts() == 3;
        }));
        CHECK(tree.calls == "-c-b+b+c");
    }
    SECTION("restarts beyond the window are forgotten")
    {
        tree.now += std::chrono::seconds(61);
        tree.supervisor.partFailed("b", "gone");
        CHECK(runUntil([&tree] {
            return tree.supervisor.runningParts() == 3;
        }));
        CHECK(tree.failures.empty());
    }
    SECTION("the failure is passed on when they are used up")
    {
        tree.calls.clear();
        tree.supervisor.partFailed("b", "gone");
        REQUIRE(tree.failures.size() == 1);
        CHECK(tree.failures[0].message.find("gone") != std::string::npos);
        CHECK(tree.calls == "-c-b-a");
        tree.supervisor.partFailed("a", "gone");
        CHECK(tree.failures.size() == 1);
    }
}

// Guards against a part that fails at each restart and is tried without limit.
TEST_CASE("a part that cannot be started again counts as failed", "[adapters]")
{
    Tree tree;
    CHECK(errorOf(tree.supervisor.start()) == nullptr);
    tree.failing = "c";
    tree.supervisor.partFailed("c", "gone");
    REQUIRE(runUntil([&tree] {
        return !tree.failures.empty();
    }));
    CHECK(tree.supervisor.runningParts() == 0);
}

// Guards against a planned stop that interrupts requests.
TEST_CASE("a stop waits for open work, up to its limit or a second signal", "[adapters]")
{
    needEventLoop();
    TimePoint now {};
    std::size_t open = 2;
    int begun = 0;
    std::optional<int> status;
    GracefulStop stop({[&begun] {
                           ++begun;
                       },
                       [&open] {
                           return open;
                       },
                       [&status](int code) {
                           status = code;
                       }},
                      {std::chrono::seconds(1), std::chrono::seconds(10)},
                      [&now] {
                          return now;
                      });
    stop.check();
    CHECK_FALSE(status);
    stop.request();
    stop.check();
    CHECK(begun == 1);
    CHECK_FALSE(status);
    SECTION("the work ends")
    {
        open = 0;
        stop.check();
        CHECK_FALSE(status);
        now += std::chrono::seconds(1);
        stop.check();
        CHECK(status == 0);
    }
    SECTION("the time ends")
    {
        now += std::chrono::seconds(10);
        stop.check();
        CHECK(status == 1);
    }
    SECTION("a second signal arrives")
    {
        stop.request();
        CHECK(status == 1);
        stop.request();
        CHECK(begun == 1);
    }
}

// Guards against a signal that ends the process at once.
TEST_CASE("stop signals arrive in the event loop", "[adapters]")
{
    needEventLoop();
    std::vector<int> counts;
    const StopSignals signals([&counts](int count) {
        counts.push_back(count);
    });
    std::raise(SIGTERM);
    std::raise(SIGINT);
    CHECK(counts.empty());
    REQUIRE(runUntil([&counts] {
        return counts.size() == 2;
    }));
    CHECK(counts == std::vector<int> {1, 2});
}

// Guards against metrics that Prometheus cannot read.
TEST_CASE("metrics are written as Prometheus text", "[adapters]")
{
    Metrics metrics;
    metrics.add("requests_total", {{"class", "a\"b\n"}});
    metrics.add("requests_total", {{"class", "a\"b\n"}}, 2);
    metrics.set("open", {}, 4);
    metrics.observe("seconds", {{"class", "short"}}, 0.03);
    metrics.observe("seconds", {{"class", "short"}}, 5000);
    const std::string text = metrics.text();
    CHECK(text.find("# TYPE requests_total counter\nrequests_total{class=\"a\\\"b\\n\"} 3\n") != std::string::npos);
    CHECK(text.find("# TYPE open gauge\nopen 4\n") != std::string::npos);
    CHECK(text.find("seconds_bucket{class=\"short\",le=\"0.02\"} 0\n") != std::string::npos);
    CHECK(text.find("seconds_bucket{class=\"short\",le=\"0.064\"} 1\n") != std::string::npos);
    CHECK(text.find("seconds_bucket{class=\"short\",le=\"1000\"} 1\n") != std::string::npos);
    CHECK(text.find("seconds_bucket{class=\"short\",le=\"+Inf\"} 2\n") != std::string::npos);
    CHECK(text.find("seconds_sum{class=\"short\"} 5000.03\n") != std::string::npos);
    CHECK(text.find("seconds_count{class=\"short\"} 2\n") != std::string::npos);
}

// Guards against a value from outside that looks like further fields or lines of the log.
TEST_CASE("log lines have one key=value field for each value", "[adapters]")
{
    CHECK(eventLine("started", {{"port", "80"}, {"reason", "a b=c\nd"}, {"empty", ""}})
          == R"(event=started port=80 reason="a b=c\nd" empty="")");
}

// Guards against hashes that no other tool computes.
TEST_CASE("API keys are hashed with SHA-256", "[adapters]")
{
    CHECK(keyHash("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against a malformed instance list that removes all agents.
TEST_CASE("an instance list is read or refused as a whole", "[adapters]")
{
    const std::string entry = R"({"id": "a", "role": "agent", "address": "127.0.0.1:5", "domain": "d", "state": )";
    const auto list = parseInstanceList(R"({"instances": [)" + entry + R"("live"}, )" + entry + R"("leaving"}]})");
    REQUIRE(errorOf(list) == nullptr);
    const auto &instances = std::get<std::vector<PeerSummary>>(list);
    REQUIRE(instances.size() == 2);
    CHECK(instances[0].instance == InstanceId("a"));
    CHECK(instances[0].role == InstanceRole::Agent);
    CHECK(instances[0].address == "127.0.0.1:5");
    CHECK(instances[1].state == InstanceState::Leaving);
    const auto malformed = GENERATE_COPY(std::string(),
                                         std::string("[]"),
                                         std::string(R"({"instances": [1]})"),
                                         R"({"instances": [)" + entry + R"("gone"}]})",
                                         std::string(R"({"instances": [{"id": "a", "address": "nowhere"}]})"));
    CHECK(errorOf(parseInstanceList(malformed)) != nullptr);
}
