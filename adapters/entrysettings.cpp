#include "adapters/entrydaemon.h"
#include "adapters/fleetsettings.h"
#include "adapters/tlssettings.h"

namespace ibismast
{

namespace
{

using std::chrono::milliseconds;

constexpr std::int64_t Kilobyte = 1024;
constexpr std::int64_t Gigabyte = Kilobyte * Kilobyte * Kilobyte;

HttpFrontSettings readHttp(SettingsFile &file)
{
    HttpFrontSettings http;
    HttpGuardSettings &guard = http.guard;
    guard.message.maxBodyBytes = static_cast<std::uint64_t>(file.integer(
        "http", "max_body_bytes", static_cast<std::int64_t>(guard.message.maxBodyBytes), Kilobyte, Gigabyte));
    guard.message.maxHeadBytes = static_cast<std::uint32_t>(
        file.integer("http", "max_head_bytes", guard.message.maxHeadBytes, Kilobyte, Kilobyte * Kilobyte));
    guard.headTimeout =
        file.milliseconds("http", "head_timeout_ms", guard.headTimeout, milliseconds(100), milliseconds(600'000));
    guard.bodyTimeout =
        file.milliseconds("http", "body_timeout_ms", guard.bodyTimeout, milliseconds(100), milliseconds(600'000));
    guard.minBodyRate = static_cast<std::uint64_t>(
        file.integer("http", "min_body_rate", static_cast<std::int64_t>(guard.minBodyRate), 1, Gigabyte));
    guard.idleTimeout =
        file.milliseconds("http", "idle_timeout_ms", guard.idleTimeout, milliseconds(100), milliseconds(3'600'000));
    guard.maxConnections = static_cast<std::size_t>(
        file.integer("http", "max_connections", static_cast<std::int64_t>(guard.maxConnections), 1, 1'000'000));
    http.defaultDeadline = file.milliseconds(
        "http", "default_deadline_ms", http.defaultDeadline, milliseconds(1), milliseconds(86'400'000));
    http.maxDeadline =
        file.milliseconds("http", "max_deadline_ms", http.maxDeadline, milliseconds(1), milliseconds(86'400'000));
    http.defaultMaxTokens =
        Tokens(file.integer("http", "default_max_tokens", http.defaultMaxTokens.value(), 1, 1'000'000));
    return http;
}

std::vector<AgentAddress> readAgents(SettingsFile &file)
{
    std::vector<AgentAddress> agents;
    for (const std::string &element : file.list("peers", "agents")) {
        const std::size_t at = element.find('@');
        const std::optional<HttpEndpoint> endpoint =
            at == std::string::npos ? std::nullopt : parseEndpoint(element.substr(at + 1));
        if (at == 0 || !endpoint) {
            file.refuse("peers", "agents", element, "a list of elements of the form id@ip:port");
            continue;
        }
        agents.push_back({InstanceId(element.substr(0, at)), endpoint->address, endpoint->port});
    }
    return agents;
}

} // namespace

EntryDaemonSettings readEntrySettings(SettingsFile &file)
{
    EntryDaemonSettings settings;
    settings.instance = InstanceId(file.text("instance", "id", std::nullopt));
    settings.domain = FailureDomain(file.text("instance", "domain", std::nullopt));
    settings.stop.drain =
        file.milliseconds("instance", "drain_ms", settings.stop.drain, milliseconds(0), milliseconds(600'000));
    settings.stop.timeout = file.milliseconds(
        "instance", "stop_timeout_ms", settings.stop.timeout, milliseconds(0), milliseconds(86'400'000));
    settings.httpListen = readEndpoint(file, "http", "listen", std::nullopt);
    settings.http = readHttp(file);
    settings.httpTls = readTls(file, "http");
    settings.agents = readAgents(file);
    settings.peerTls = readTls(file, "peers");
    PeerConnectionSettings &connection = settings.process.links.connection;
    connection.maxQueuedBytes = static_cast<std::size_t>(file.integer(
        "peers", "max_queued_bytes", static_cast<std::int64_t>(connection.maxQueuedBytes), 1024 * Kilobyte, Gigabyte));
    settings.process.tickInterval = file.milliseconds(
        "instance", "tick_interval_ms", settings.process.tickInterval, milliseconds(1), milliseconds(1000));
    settings.instances = readInstanceList(file);
    settings.store = readFleet(file);
    settings.operators = readOperators(file);
    if (settings.operators && !settings.store) {
        file.refuse("store", "gateway", {}, "set, because [operators] listen is");
    }
    const Result<Success> valid = validate(settings.core);
    if (const Error *error = errorOf(valid)) {
        file.refuse("core", "settings", {}, error->message);
    }
    return settings;
}

} // namespace ibismast
