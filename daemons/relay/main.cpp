#include "adapters/plumbing/logging.h"
#include "adapters/relay/relaylog.h"
#include "adapters/relay/relayprocess.h"
#include "platform/platformdecoder.h"
#include "platform/platformorders.h"
#include "platform/platformprotocol.h"
#include "platform/platformstore.h"
#include "platform/wirenames.h"

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>
#include <random>

namespace
{

using namespace ibismast;

constexpr int SettingsExitStatus = 2;
constexpr int FailureExitStatus = 3;

const char *const Examples = R"(Examples:
  ibismast-relay                          settings file named by the platform's environment variable
  ibismast-relay --settings relay.ini
  ibismast-relay --settings relay.ini --check

Smallest settings file:
  [instance]
  id = entry-1
  domain = zone-a
  [http]
  listen = 10.1.0.40:8080
  ready = 10.1.0.40:8081
  [peers]
  copy_listen = 10.1.0.40:8082
  ports = 7340,7355
  seeds = 10.1.0.40:8082,10.2.0.29:8082
  [store]
  address = 10.1.0.7:2379

SIGTERM or SIGINT stops after the open requests have ended. SIGHUP checks the settings file and logs the result;
addresses take effect at the next start.
Exit status: 0 stopped without cutting a request, 1 requests were cut, 2 wrong settings, 3 failure.)";

struct Options
{
    std::string settingsPath;
    std::string logLevel = "info";
    bool check = false;
    std::optional<int> exitStatus;
};

Options parseOptions(int argc, char **argv)
{
    Options options;
    if (const char *path = std::getenv(platform::SettingsVariable)) {
        options.settingsPath = path;
    }
    CLI::App app("Entry instance of ibismast that relays calls with opaque bodies to the platform's upstreams.");
    app.footer(Examples);
    app.set_version_flag("--version", "0.2.0");
    app.add_option("-s,--settings", options.settingsPath, "Settings file (INI)")->capture_default_str();
    app.add_flag("--check", options.check, "Check the settings, print every fault and exit");
    app.add_option("--log-level", options.logLevel, "Least level that is logged")
        ->check(CLI::IsMember({"debug", "info", "warn", "error"}))
        ->capture_default_str();
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        options.exitStatus = app.exit(error);
    }
    return options;
}

Result<RelaySettings> readSettings(const std::string &path)
{
    Result<SettingsFile> file = SettingsFile::read(path);
    if (const Error *error = errorOf(file)) {
        return *error;
    }
    auto &settingsFile = std::get<SettingsFile>(file);
    RelaySettings settings = readRelaySettings(settingsFile);
    if (const std::optional<Error> error = settingsFile.finish()) {
        return *error;
    }
    return settings;
}

/// Returns a number that differs between two runs. The time of day is no source of it, since it may jump back.
Incarnation randomIncarnation()
{
    std::random_device device;
    const std::uint64_t high = device();
    return Incarnation((high << 31U) ^ device());
}

/// Logs whether the settings file would be accepted at the next start.
void checkSettings(const std::string &path)
{
    const Result<RelaySettings> settings = readSettings(path);
    const Error *error = errorOf(settings);
    logEvent(error != nullptr ? spdlog::level::warn : spdlog::level::info,
             "settings_reloaded",
             {{"path", path},
              {"valid", error != nullptr ? "false" : "true"},
              {"reason", error != nullptr ? error->message : std::string("none")}});
}

/// Calls @p handler for each SIGHUP.
void watchReloads(boost::asio::signal_set &signals, const std::function<void()> &handler)
{
    signals.async_wait([&signals, handler](const boost::system::error_code &error, int /*signal*/) {
        if (!error) {
            handler();
            watchReloads(signals, handler);
        }
    });
}

int runRelay(const Options &options, RelaySettings settings)
{
    boost::asio::io_context loop(1);
    Metrics metrics;
    RelayLog listener(metrics);
    const PlatformProtocol protocol;
    const PlatformDecoder decoder;
    const PlatformStore::OperatorRecords records = settings.core.evacuations.applyTime
        ? PlatformStore::OperatorRecords::ConfigAndEvacuations
        : PlatformStore::OperatorRecords::Config;
    PlatformStore store(loop, settings.store, records);
    PlatformOrders orders(loop);
    const std::string instance = settings.core.self.value();
    const auto port = settings.listen.port();
    RelayProcess process(loop,
                         std::move(settings),
                         {&protocol, &decoder, &store, &orders, std::string(platform::ReadyPath)},
                         randomIncarnation(),
                         listener,
                         metrics);
    const Result<Success> started = process.start();
    if (const Error *error = errorOf(started)) {
        logEvent(spdlog::level::err, "start_failed", {{"reason", error->message}});
        return FailureExitStatus;
    }
    logEvent(spdlog::level::info, "started", {{"instance", instance}, {"port", std::to_string(port)}});

    int exitStatus = 0;
    boost::asio::signal_set stopSignals(loop, SIGTERM, SIGINT);
    stopSignals.async_wait([&](const boost::system::error_code &error, int signal) {
        if (error) {
            return;
        }
        logEvent(spdlog::level::info, "stopping", {{"signal", std::to_string(signal)}});
        process.stop([&](std::size_t cut) {
            exitStatus = cut == 0 ? 0 : 1;
            logEvent(spdlog::level::info, "stopped", {{"cut", std::to_string(cut)}});
            loop.stop();
        });
    });
    boost::asio::signal_set reloadSignals(loop, SIGHUP);
    watchReloads(reloadSignals, [&options] {
        checkSettings(options.settingsPath);
    });
    loop.run();
    return exitStatus;
}

} // namespace

int main(int argc, char **argv)
{
    const Options options = parseOptions(argc, argv);
    if (options.exitStatus) {
        return *options.exitStatus;
    }
    setUpLogging(spdlog::level::from_str(options.logLevel));
    std::signal(SIGPIPE, SIG_IGN);
    Result<RelaySettings> settings = readSettings(options.settingsPath);
    if (const Error *error = errorOf(settings)) {
        std::cerr << error->message << '\n';
        return SettingsExitStatus;
    }
    if (options.check) {
        std::cout << options.settingsPath << ": valid\n";
        return 0;
    }
    return runRelay(options, std::move(std::get<RelaySettings>(settings)));
}
