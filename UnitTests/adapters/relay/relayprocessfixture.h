#pragma once

#include "UnitTests/adapters/relay/loopbackpeer.h"
#include "adapters/relay/relayprocess.h"
#include "platform/platformprotocol.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include <set>

namespace ibismast
{

inline const boost::asio::ip::tcp::endpoint AnyPort(boost::asio::ip::address_v4::loopback(), 0);
/// Limit by which a test recognises that the configuration is in force.
constexpr std::uint64_t MaxBodyBytes = 1'000;

/// Store with one configuration and three engines by default, all at one address.
class FixedStore final : public ClusterStore
{
public:
    FixedStore(boost::asio::io_context &loop, std::string address) : m_loop(&loop), m_address(std::move(address)) { }

    void readUpstreams(Duration /*timeout*/, UpstreamsHandler handler) override
    {
        boost::asio::post(*m_loop, [this, handler = std::move(handler)] {
            StoredUpstreams stored {{}, 1};
            for (const std::string &id : ids) {
                stored.records.push_back({id, m_address, 1});
            }
            handler(stored);
            listRead = true;
        });
    }
    void readConfig(Duration /*timeout*/, ConfigHandler handler) override
    {
        boost::asio::post(*m_loop, [handler = std::move(handler)] {
            handler(StoredConfig {StoredRecord {"c", "", 1}, 1});
        });
    }
    void
    awaitConfig(std::int64_t /*revision*/, Duration /*wait*/, Duration /*timeout*/, ConfigHandler /*handler*/) override
    {
        // Nothing changes during a test.
    }

    std::vector<std::string> ids {"e1", "e2", "e3"};
    bool listRead = false;

private:
    boost::asio::io_context *m_loop;
    std::string m_address;
};

/// Decodes records whose key is the engine's id and whose value is its address. An engine holds 100,000 tokens.
class EngineDecoder final : public RecordDecoder
{
public:
    Result<RelayConfig> decodeConfig(const StoredRecord & /*record*/) const override
    {
        RelayConfig config;
        config.version = RelayConfigVersion(1);
        config.limits.maxBodyBytes = maxBodyBytes;
        RelayRoute route;
        route.host = "h";
        route.pathPrefix = "/";
        route.kind = kind;
        route.shares = {{ServiceName("pool"), 1}};
        route.isPublic = true;
        config.routes.push_back(route);
        EngineProfile engine;
        engine.slots = 4;
        engine.memory = Tokens(100'000);
        config.services.emplace(ServiceName("pool"), RelayService {ServiceName("pool"), 64, engine});
        return config;
    }
    Result<UpstreamRecord> decodeUpstream(const StoredRecord &record) const override
    {
        UpstreamRecord upstream;
        upstream.id = InstanceId(record.key);
        upstream.service = ServiceName("pool");
        upstream.address = UpstreamAddress(record.value);
        return upstream;
    }

    CallKind kind = CallKind::Stream;
    std::uint64_t maxBodyBytes = MaxBodyBytes;
};

/// Engines that reserve memory at once and count reservations and releases.
class CountingOrders final : public EngineOrders
{
public:
    explicit CountingOrders(boost::asio::io_context &loop) : m_loop(&loop) { }

    void reserve(const AttemptHelper &holder, Duration /*hold*/, ReserveHandler handler) override
    {
        reserved.insert(holder.reservationId);
        holders.insert(holder.upstream.id);
        boost::asio::post(*m_loop, [handler = std::move(handler)] {
            handler(ReserveOutcome::Granted);
        });
    }
    void inspect(const AttemptHelper & /*holder*/, StateHandler handler) override
    {
        handler(ReservationState::Used);
    }
    void release(const AttemptHelper &holder, ReleaseHandler handler) override
    {
        ++releaseOrders[holder.upstream.id];
        const bool answered = lostReleases == 0;
        if (answered) {
            released.insert(holder.reservationId);
        } else {
            --lostReleases;
        }
        boost::asio::post(*m_loop, [handler = std::move(handler), answered] {
            handler(answered);
        });
    }

    /// Reports that the engine @p id asks for a pause.
    void pause(const InstanceId &id, Duration time)
    {
        UpstreamRecord engine;
        engine.id = id;
        reportNotice(engine, {.pause = time});
    }
    /// Reports that the engine @p id has announced its leave.
    void leave(const InstanceId &id)
    {
        UpstreamRecord engine;
        engine.id = id;
        engine.address = address;
        reportNotice(engine, {.leaving = true});
    }

    /// Address of all engines.
    UpstreamAddress address;
    std::set<std::string> reserved;
    /// Engines at which memory is reserved.
    std::set<InstanceId> holders;
    std::map<InstanceId, int> releaseOrders;
    std::set<std::string> released;
    /// Number of releases that are lost from now on.
    int lostReleases = 0;

private:
    boost::asio::io_context *m_loop;
};

class ProcessFixture
{
protected:
    ProcessFixture()
    {
        REQUIRE(errorOf(process.start()) == nullptr);
        caller.socket.connect(callerAcceptor.local_endpoint());
        connection = std::make_shared<CallerConnection>(callerAcceptor.accept(), process);
        connection->start();
        caller.read();
        orders.address = UpstreamAddress("127.0.0.1:" + std::to_string(upstreamAcceptor.local_endpoint().port()));
        acceptUpstream();
    }
    /// Accepts the next connection to the engines in place of the present one.
    void acceptUpstream()
    {
        upstream.socket.close();
        upstreamAcceptor.async_accept(upstream.socket, [this](const boost::system::error_code &error) {
            if (!error) {
                upstream.read();
            }
        });
    }
    static RelaySettings settings()
    {
        RelaySettings result;
        result.core.self = InstanceId("self");
        result.listen = AnyPort;
        result.ready = AnyPort;
        result.control = AnyPort;
        result.peers = {AnyPort.address(), 0};
        result.stop.listen = Duration::zero();
        return result;
    }
    [[nodiscard]] bool await(const std::function<bool()> &condition)
    {
        return runUntil(loop, condition);
    }

    boost::asio::io_context loop {1};
    boost::asio::ip::tcp::acceptor upstreamAcceptor {loop, AnyPort};
    boost::asio::ip::tcp::acceptor callerAcceptor {loop, AnyPort};
    LoopbackPeer upstream {loop};
    LoopbackPeer caller {loop};
    EventListener listener;
    Metrics metrics;
    PlatformProtocol protocol;
    EngineDecoder decoder;
    FixedStore store {loop, "127.0.0.1:" + std::to_string(upstreamAcceptor.local_endpoint().port())};
    CountingOrders orders {loop};
    RelayProcess process {
        loop, settings(), {&protocol, &decoder, &store, &orders, "/ready"}, Incarnation(1), listener, metrics};
    std::shared_ptr<CallerConnection> connection;
};

} // namespace ibismast
