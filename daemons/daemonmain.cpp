#include "daemons/daemonmain.h"

#include "adapters/plumbing/logging.h"
#include "adapters/plumbing/processclock.h"
#include "adapters/stopsignals.h"

#include <CLI/CLI.hpp>
#include <QtCore/QCoreApplication>

#include <chrono>
#include <iostream>

namespace ibismast
{

namespace
{

constexpr int SettingsExitStatus = 2;

} // namespace

DaemonOptions parseDaemonOptions(int argc, char **argv, const DaemonHelp &help)
{
    DaemonOptions options;
    std::string level = "info";
    CLI::App app(help.description);
    app.footer(help.examples);
    app.set_version_flag("--version", "0.1.0");
    app.add_option("-s,--settings", options.settingsPath, "Settings file (INI)")->required();
    app.add_flag("--check", options.check, "Check the settings, print every fault and exit");
    app.add_option("--log-level", level, "Least level that is logged")
        ->check(CLI::IsMember({"debug", "info", "warn", "error"}))
        ->capture_default_str();
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        options.exitStatus = app.exit(error);
    }
    setUpLogging(spdlog::level::from_str(level));
    return options;
}

Incarnation newIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return Incarnation(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count()));
}

int reportSettingsError(const Error &error)
{
    std::cerr << error.message << '\n';
    return SettingsExitStatus;
}

int runUntilStopped(const StopHooks &hooks, const StopTimes &stopTimes)
{
    StopHooks inLoop = hooks;
    inLoop.finish = [&hooks](int status) {
        hooks.finish(status);
        QCoreApplication::exit(status);
    };
    GracefulStop stop(inLoop, stopTimes, processNow);
    const StopSignals signals([&stop](int /*count*/) {
        stop.request();
    });
    return QCoreApplication::exec();
}

} // namespace ibismast
