#include "adapters/relay/relaysettings.h"

namespace ibismast
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::minutes;

constexpr std::size_t DescriptorsForFiles = 200;

boost::asio::ip::tcp::endpoint
endpoint(SettingsFile &file, const std::string &section, const std::string &key, const std::string &example)
{
    const std::string text = file.text(section, key, std::nullopt);
    const auto parsed = parseTcpEndpoint(text);
    if (!parsed && !text.empty()) {
        file.refuse(section, key, text, "an address of the form ip:port, for example " + example);
    }
    return parsed.value_or(boost::asio::ip::tcp::endpoint());
}

/// Returns the first number of a list of ports.
std::uint16_t firstPort(SettingsFile &file, const std::string &section, const std::string &key)
{
    constexpr int HighestPort = 65535;
    const std::vector<std::string> ports = file.list(section, key);
    const int port = ports.empty() ? 0 : std::atoi(ports.front().c_str());
    if (port <= 0 || port > HighestPort) {
        file.refuse(section, key, ports.empty() ? "" : ports.front(), "a list of ports from 1 to 65535");
        return 0;
    }
    return static_cast<std::uint16_t>(port);
}

} // namespace

RelaySettings readRelaySettings(SettingsFile &file)
{
    RelaySettings settings;
    settings.core.self = InstanceId(file.text("instance", "id", std::nullopt));
    settings.core.domain = FailureDomain(file.text("instance", "domain", std::nullopt));
    settings.listen = endpoint(file, "http", "listen", "10.1.0.40:8080");
    settings.ready = endpoint(file, "http", "ready", "10.1.0.40:8081");
    settings.control = endpoint(file, "peers", "copy_listen", "10.1.0.40:8082");
    if (file.has("metrics", "listen")) {
        settings.metrics = endpoint(file, "metrics", "listen", "10.1.0.40:9100");
    }
    const std::uint16_t peerPort = firstPort(file, "peers", "ports");
    settings.peers = {settings.control.address(), peerPort};
    for (const std::string &seed : file.list("peers", "seeds")) {
        const auto parsed = parseTcpEndpoint(seed);
        if (!parsed) {
            file.refuse("peers", "seeds", seed, "a list of addresses of the form ip:port");
            continue;
        }
        // All entries use the same port for datagrams.
        settings.seeds.push_back(parsed->address().to_string() + ":" + std::to_string(peerPort));
    }
    settings.store = endpoint(file, "store", "address", "10.1.0.7:2379");
    settings.watch.listInterval =
        file.milliseconds("store", "list_interval_ms", settings.watch.listInterval, milliseconds(50), minutes(1));
    settings.watch.readTimeout =
        file.milliseconds("store", "read_timeout_ms", settings.watch.readTimeout, milliseconds(20), minutes(1));
    settings.watch.configWait =
        file.milliseconds("store", "config_wait_ms", settings.watch.configWait, milliseconds(50), minutes(1));
    settings.upstream.connectTimeout = file.milliseconds(
        "upstream", "connect_timeout_ms", settings.upstream.connectTimeout, milliseconds(10), minutes(1));
    settings.core.retryRatio = file.number("retry", "ratio", settings.core.retryRatio, 0.0, 1.0);
    settings.core.retryAllowance = file.number("retry", "slack", settings.core.retryAllowance, 0.0, 1e6);
    settings.core.call.reservations.maxIdle = file.milliseconds(
        "engines", "max_idle_reservation_ms", settings.core.call.reservations.maxIdle, milliseconds(1000), minutes(10));
    if (file.has("evacuation", "apply_ms")) {
        const Duration applyTime = file.milliseconds("evacuation", "apply_ms", {}, milliseconds(400), minutes(10));
        settings.core.evacuations.applyTime = applyTime;
        // After a wait that breaks off, a read or the news of another entry must still arrive in time.
        settings.watch.configWait = std::min(settings.watch.configWait, applyTime / 4);
    }
    settings.core.rank.always = file.integer("waiting", "rank_always", 0, 0, 1) != 0;
    settings.core.waiting.enabled = file.integer("waiting", "enabled", 0, 0, 1) != 0;
    settings.core.waiting.maxCalls = static_cast<std::size_t>(
        file.integer("waiting", "max_calls", static_cast<std::int64_t>(settings.core.waiting.maxCalls), 1, 1'000'000));
    settings.core.waiting.maxBytes =
        file.integer("waiting", "max_bytes", settings.core.waiting.maxBytes, 1, std::int64_t {1} << 40);
    settings.core.reserve.horizon =
        file.milliseconds("waiting", "reserve_ms", settings.core.reserve.horizon, milliseconds(0), minutes(1));
    if (file.has("cold", "overrun")) {
        settings.core.cold.overrun = file.number("cold", "overrun", 1.0, 0.0, 1000.0);
        settings.core.cold.slack = file.number("cold", "slack", settings.core.cold.slack, 0.0, 1e6);
    }
    settings.core.cold.hasPeers = !settings.seeds.empty();
    UpstreamPaceSettings &pace = settings.core.pace;
    pace.enabled = file.integer("pace", "enabled", 0, 0, 1) == 1;
    pace.firstShare = file.number("pace", "first_share", pace.firstShare, pace.minShare, 1.0);
    pace.growthFactor = file.number("pace", "growth_factor", pace.growthFactor, 1.0, 10.0);
    pace.growthStep = file.number("pace", "growth_step", pace.growthStep, 0.001, 1.0);
    pace.shrinkFactor = file.number("pace", "shrink_factor", pace.shrinkFactor, 0.05, 1.0);
    pace.toleranceFactor = file.number("pace", "tolerance_factor", pace.toleranceFactor, 1.0, 100.0);
    settings.core.shares.enabled = file.integer("shares", "enabled", 0, 0, 1) != 0;
    const auto grace = file.number("stop", "grace_s", 8.0, 1.0, 600.0);
    settings.stop.total = fromSeconds(grace) - milliseconds(400);
    const auto descriptors = static_cast<std::size_t>(file.integer("limits", "descriptors", 4096, 300, 1'000'000));
    // Upstream connections are at most as many as callers' requests.
    settings.clients.maxConnections = (descriptors - DescriptorsForFiles) * 2 / 3;
    const std::int64_t memory = file.integer("limits", "memory_mb", 512, 32, 1'000'000) << 20;
    // The other half is for the program, the records of the fleet and what the allocator keeps.
    settings.clients.maxBytes = memory / 2;
    settings.clients.maxConnections =
        std::min(settings.clients.maxConnections,
                 static_cast<std::size_t>(settings.clients.maxBytes / 2 / settings.clients.connectionBytes));
    settings.core.maxBufferedBytes = std::min(settings.core.maxBufferedBytes, settings.clients.maxBytes / 2);
    return settings;
}

} // namespace ibismast
