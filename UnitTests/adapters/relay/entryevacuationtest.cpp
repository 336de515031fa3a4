#include "UnitTests/adapters/relay/loopbackpeer.h"
#include "adapters/relay/relayprocess.h"
#include "platform/platformprotocol.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using boost::asio::ip::udp;

namespace
{

const tcp::endpoint AnyPort(boost::asio::ip::address_v4::loopback(), 0);

/// Store that holds the evacuation of "z", or does not answer. A test ends the wait for a change.
class EvacuationStore final : public ClusterStore
{
public:
    EvacuationStore(boost::asio::io_context &loop, bool available) : m_loop(&loop), m_available(available) { }

    void readUpstreams(Duration /*timeout*/, UpstreamsHandler handler) override
    {
        answer(std::move(handler), StoredUpstreams {{}, {1}});
    }
    void readConfig(Duration /*timeout*/, ConfigHandler handler) override
    {
        answer(std::move(handler), StoredConfig {StoredRecord {"c", "", {1}}, {1}, std::set {FailureDomain("z")}, {}});
    }
    void awaitConfig(std::int64_t /*revision*/, Duration /*wait*/, Duration /*timeout*/, ConfigHandler handler) override
    {
        waiting = std::move(handler);
    }

    ConfigHandler waiting;

private:
    template<typename Handler, typename Stored> void answer(Handler handler, Stored stored)
    {
        boost::asio::post(*m_loop, [this, handler = std::move(handler), stored = std::move(stored)] {
            const Error failure {ResultCode::StoreUnavailable, "no answer", std::nullopt};
            handler(m_available ? Result<Stored>(stored) : Result<Stored>(failure));
        });
    }

    boost::asio::io_context *m_loop;
    bool m_available;
};

class EmptyDecoder final : public RecordDecoder
{
public:
    Result<RelayConfig> decodeConfig(const StoredRecord & /*record*/) const override
    {
        RelayConfig config;
        config.version = RelayConfigVersion(1);
        return config;
    }
    Result<UpstreamRecord> decodeUpstream(const StoredRecord & /*record*/) const override
    {
        return Error {ResultCode::ConfigInvalid, "unreadable", std::nullopt};
    }
};

class NoOrders final : public EngineOrders
{
public:
    void reserve(const AttemptHelper & /*holder*/, Duration /*hold*/, ReserveHandler handler) override
    {
        handler(ReserveOutcome::Refused);
    }
    void inspect(const AttemptHelper & /*holder*/, StateHandler handler) override
    {
        handler(ReservationState::Unknown);
    }
    void release(const AttemptHelper & /*holder*/, ReleaseHandler handler) override
    {
        handler(true);
    }
};

/// Collects the events about evacuations as `event source`.
class EvacuationLog final : public EventListener
{
public:
    void onEvent(std::string_view name, const std::vector<LogField> &fields) override
    {
        if (name.starts_with("domain_")) {
            for (const auto &[field, value] : fields) {
                if (field == "source") {
                    lines.push_back(std::string(name) + " " + value);
                }
            }
        }
    }

    std::vector<std::string> lines;
};

/// Entry on loopback addresses.
struct EvacuationEntry
{
    EvacuationEntry(boost::asio::io_context &loop, const std::string &name, bool storeAvailable, udp::endpoint seed)
        : store(loop, storeAvailable)
        , peers(udp::socket(loop, udp::endpoint(AnyPort.address(), 0)).local_endpoint())
        , process(loop,
                  settings(name, peers, seed),
                  {&protocol, &decoder, &store, &orders, "/ready"},
                  Incarnation(1),
                  log,
                  metrics)
    {
        REQUIRE(errorOf(process.start()) == nullptr);
    }
    static RelaySettings settings(const std::string &name, const udp::endpoint &peers, const udp::endpoint &seed)
    {
        RelaySettings result;
        result.core.self = InstanceId(name);
        result.core.evacuations.applyTime = 5s;
        result.listen = AnyPort;
        result.ready = AnyPort;
        result.control = AnyPort;
        result.peers = peers;
        if (seed.port() != 0) {
            result.seeds = {seed.address().to_string() + ":" + std::to_string(seed.port())};
        }
        return result;
    }

    EvacuationLog log;
    Metrics metrics;
    PlatformProtocol protocol;
    EmptyDecoder decoder;
    NoOrders orders;
    EvacuationStore store;
    udp::endpoint peers;
    RelayProcess process;
};

} // namespace

// Guards against an entry that the store does not answer and that is not told of an evacuation or its end.
TEST_CASE("an entry tells the others of evacuations that it reads", "[relay]")
{
    boost::asio::io_context loop {1};
    EvacuationEntry reader(loop, "reader", true, {});
    EvacuationEntry other(loop, "other", false, reader.peers);
    REQUIRE(runUntil(loop, [&] {
        return reader.store.waiting != nullptr && other.log.lines.size() == 1;
    }));
    CHECK(other.log.lines == std::vector<std::string> {"domain_evacuated reader"});
    std::exchange(reader.store.waiting,
                  nullptr)(StoredConfig {std::nullopt, {2}, std::nullopt, {{FailureDomain("z"), false}}});
    REQUIRE(runUntil(loop, [&other] {
        return other.log.lines.size() == 2;
    }));
    CHECK(other.log.lines.back() == "domain_returned reader");
    CHECK(reader.log.lines == std::vector<std::string> {"domain_evacuated store", "domain_returned store"});
}
