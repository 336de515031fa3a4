#include "adapters/store/etcdgatewayclient.h"

#include "UnitTests/standins/httpclient.h"
#include "standins/keyvalue/keyvalueserver.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace ibismast::test;

namespace
{

/// Client with the stand-in of the key-value service.
struct Rig : WithApplication
{
    explicit Rig(Duration timeout = std::chrono::minutes(10), const KeyValueServerSettings &serverSettings = {})
        : server(serverSettings)
    {
        EtcdGatewayClientSettings settings;
        settings.gateway = QUrl("http://127.0.0.1:" + QString::number(server.start(0)));
        settings.callTimeout = timeout;
        settings.watch.retryMin = std::chrono::milliseconds(1);
        client.emplace(settings, 1, [this](const StoreAnswer &answer) {
            answers.push_back(answer);
        });
    }

    template<typename Outcome> Outcome call(const StoreOperation &operation)
    {
        const StoreCallId id(++lastId);
        client->execute({id, operation});
        std::optional<Outcome> outcome;
        runUntil([&] {
            for (const StoreAnswer &answer : answers) {
                if (answer.id == id) {
                    outcome = std::get<Outcome>(answer.outcome);
                }
            }
            return outcome.has_value();
        });
        return *outcome;
    }

    StoreTransactionResult put(const std::string &key, const std::string &value, std::int64_t modRevision)
    {
        return call<StoreTransactionResult>(transaction(key, value, modRevision));
    }

    static StoreTransactionCall transaction(const std::string &key, const std::string &value, std::int64_t modRevision)
    {
        return {{{key, StoreRevision(modRevision)}}, {{key, value, {}}}, {}, {key}};
    }

    /// Values that watch @p id has passed on.
    std::vector<std::string> watched(StoreCallId id) const
    {
        std::vector<std::string> values;
        for (const StoreAnswer &answer : answers) {
            const auto *events = std::get_if<StoreWatchEvents>(&answer.outcome);
            if (answer.id == id && events != nullptr) {
                for (const StoreEntry &entry : events->puts) {
                    values.push_back(entry.value);
                }
            }
        }
        return values;
    }

    void control(const QJsonObject &command)
    {
        REQUIRE(errorOf(server.execute(command)) == nullptr);
    }

    KeyValueServer server;
    std::vector<StoreAnswer> answers;
    std::uint64_t lastId = 0;
    std::optional<EtcdGatewayClient> client;
};

} // namespace

TEST_CASE("keys written over the gateway are read back byte for byte", "[adapters]")
{
    Rig rig;
    const std::string value("\0\xff binary \n", 11);
    const StoreTransactionResult written = rig.put("dir/a", value, 0);
    CHECK(written.succeeded);
    rig.put("dir/b", "second", 0);
    const auto read = rig.call<StoreReadResult>(StoreRead {"dir/", "dir0", 0});
    REQUIRE(read.entries.size() == 2);
    CHECK(read.entries[0] == StoreEntry {"dir/a", value, written.revision, {}});
    CHECK(rig.call<StoreReadResult>(StoreRead {"dir/", "dir0", 1}).entries.size() == 1);
}

// Guards against a lost race that looks like a success.
TEST_CASE("a transaction whose compare fails returns the entry in its way", "[adapters]")
{
    Rig rig;
    const StoreTransactionResult first = rig.put("a", "first", 0);
    const StoreTransactionResult second = rig.put("a", "second", 0);
    CHECK_FALSE(second.succeeded);
    REQUIRE(second.entries.size() == 1);
    CHECK(second.entries[0] == StoreEntry {"a", "first", first.revision, {}});
}

TEST_CASE("leases are granted, extended, revoked and reported as gone", "[adapters]")
{
    Rig rig;
    const auto lease = rig.call<StoreLeaseResult>(StoreLeaseGrant {std::chrono::milliseconds(59'500)});
    CHECK(lease.timeToLive == std::chrono::seconds(60));
    CHECK(rig.call<StoreLeaseResult>(StoreLeaseKeepAlive {lease.lease}).timeToLive == std::chrono::seconds(60));
    rig.call<StoreTransactionResult>(StoreTransactionCall {{}, {{"held", "x", lease.lease}}, {}, {}});
    rig.call<StoreLeaseResult>(StoreLeaseRevoke {lease.lease});
    CHECK(rig.call<StoreReadResult>(StoreRead {"held", "", 0}).entries.empty());
    CHECK(rig.call<StoreLeaseResult>(StoreLeaseKeepAlive {lease.lease}).timeToLive == Duration::zero());
}

// Guards against a failure that is reported as harmless although the write is in force, and the reverse.
TEST_CASE("a failed write says whether it may have taken effect", "[adapters]")
{
    SECTION("the answer is lost after the effect")
    {
        Rig rig;
        rig.control({{"fault", "lose_answer"}, {"count", 1}});
        CHECK(rig.call<StoreFailure>(Rig::transaction("a", "x", 0)).mayHaveTakenEffect);
        CHECK(rig.call<StoreReadResult>(StoreRead {"a", "", 0}).entries.size() == 1);
    }
    SECTION("the answer is lost on a connection that was used before")
    {
        Rig rig;
        rig.put("b", "x", 0);
        rig.control({{"fault", "lose_answer"}, {"count", 1}});
        CHECK(rig.call<StoreFailure>(Rig::transaction("a", "x", 0)).mayHaveTakenEffect);
        CHECK(rig.call<StoreReadResult>(StoreRead {"a", "", 0}).entries.size() == 1);
    }
    SECTION("the answer is cut off")
    {
        Rig rig;
        rig.control({{"fault", "lose_answer"}, {"count", 1}, {"after_bytes", 100}});
        CHECK(rig.call<StoreFailure>(Rig::transaction("a", "x", 0)).mayHaveTakenEffect);
    }
    SECTION("no answer in time")
    {
        // Long enough that the call is sent before it ends, also on a busy machine.
        Rig rig(std::chrono::milliseconds(500));
        rig.control({{"fault", "silent"}, {"count", 1}});
        CHECK(rig.call<StoreFailure>(Rig::transaction("a", "x", 0)).mayHaveTakenEffect);
    }
    SECTION("the service refuses the call")
    {
        KeyValueServerSettings settings;
        settings.writesPerSecond = 1e-6;
        Rig rig(std::chrono::minutes(10), settings);
        CHECK_FALSE(rig.call<StoreFailure>(Rig::transaction("a", "x", 0)).mayHaveTakenEffect);
    }
    SECTION("a read")
    {
        Rig rig;
        rig.control({{"fault", "lose_answer"}, {"count", 1}});
        CHECK_FALSE(rig.call<StoreFailure>(StoreRead {"a", "", 0}).mayHaveTakenEffect);
    }
    SECTION("the service is gone")
    {
        Rig rig;
        {
            KeyValueServer gone;
            EtcdGatewayClientSettings settings;
            settings.gateway = QUrl("http://127.0.0.1:" + QString::number(gone.start(0)));
            rig.client.emplace(settings, 1, [&rig](const StoreAnswer &answer) {
                rig.answers.push_back(answer);
            });
        }
        CHECK_FALSE(rig.call<StoreFailure>(Rig::transaction("a", "x", 0)).mayHaveTakenEffect);
    }
}

// Guards against changes that a watch loses or repeats when its connection breaks.
TEST_CASE("a watch passes every change on once although its connection breaks", "[adapters]")
{
    Rig rig;
    const StoreCallId watch(1'000);
    const bool fromNow = GENERATE(true, false);
    rig.client->execute({watch, StoreWatch {"a", "b", StoreRevision(fromNow ? 0 : 1)}});
    runUntil([&] {
        return std::get<QJsonObject>(rig.server.execute({{"drop_watch_events", 0}}))["watches"] == 1;
    });
    // The stand-in counts the watch before its client has read that it was created.
    rig.put("other", "1", 0);
    rig.put("a1", "1", 0);
    runUntil([&] {
        return rig.watched(watch).size() == 1;
    });
    rig.control({{"end_watches", true}});
    rig.put("a2", "2", 0);
    rig.put("a3", "3", 0);
    runUntil([&] {
        return rig.watched(watch).size() == 3;
    });
    rig.control({{"end_watches", true}});
    rig.put("a4", "4", 0);
    runUntil([&] {
        return rig.watched(watch).size() >= 4;
    });
    CHECK(rig.watched(watch) == std::vector<std::string> {"1", "2", "3", "4"});
}

TEST_CASE("a cancelled watch passes nothing on", "[adapters]")
{
    Rig rig;
    const StoreCallId watch(1'000);
    const StoreCallId other(1'001);
    rig.client->execute({watch, StoreWatch {"a", "", StoreRevision(1)}});
    rig.client->execute({other, StoreWatch {"a", "", StoreRevision(1)}});
    rig.put("a", "1", 0);
    runUntil([&] {
        return rig.watched(watch).size() == 1 && rig.watched(other).size() == 1;
    });
    rig.client->execute({StoreCallId(1'002), StoreWatchCancel {watch}});
    rig.put("a", "2", 2);
    runUntil([&] {
        return rig.watched(other).size() == 2;
    });
    CHECK(rig.watched(watch).size() == 1);
}

// Guards against a gap in the history that its reader does not learn of.
TEST_CASE("a watch from a compacted revision ends", "[adapters]")
{
    KeyValueServerSettings settings;
    settings.model.historyLimit = 1;
    Rig rig(std::chrono::minutes(10), settings);
    rig.put("a", "1", 0);
    rig.put("a", "2", 2);
    const auto events = rig.call<StoreWatchEvents>(StoreWatch {"a", "", StoreRevision(2)});
    CHECK(events.ended);
}
