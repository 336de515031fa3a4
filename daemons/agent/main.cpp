#include "adapters/agentdaemon.h"
#include "daemons/daemonmain.h"

#include <QtCore/QCoreApplication>

#include <iostream>

namespace
{

using namespace ibismast;

const DaemonHelp Help {"Agent of ibismast: admits, queues and runs the work of the engine or plain service beside it.",
                       R"(Examples:
  ibismast-agent --settings /etc/ibismast/agent.ini
  ibismast-agent --settings agent.ini --check

Smallest settings file:
  [instance]
  id = agent-1
  domain = zone-a
  [peers]
  listen = 127.0.0.1:7070
  [engine]
  address = 127.0.0.1:9000
  models = small

Beside a plain service, [service] address and name take the place of [engine].
With [store] gateway = http://127.0.0.1:2379 the agent holds the fleet's configuration and passes it on.
SIGTERM or SIGINT stops after the open work has ended; a second signal stops at once.
Exit status: 0 stopped without cutting work, 1 work was cut, 2 wrong settings, 3 failure.)"};

constexpr int FailureExitStatus = 3;

} // namespace

int main(int argc, char **argv)
{
    const DaemonOptions options = parseDaemonOptions(argc, argv, Help);
    if (options.exitStatus) {
        return *options.exitStatus;
    }
    const QCoreApplication application(argc, argv);
    Result<SettingsFile> file = SettingsFile::read(options.settingsPath);
    if (const Error *error = errorOf(file)) {
        return reportSettingsError(*error);
    }
    auto &settingsFile = std::get<SettingsFile>(file);
    AgentDaemonSettings settings = readAgentSettings(settingsFile);
    if (const std::optional<Error> error = settingsFile.finish()) {
        return reportSettingsError(*error);
    }
    if (options.check) {
        std::cout << options.settingsPath << ": valid\n";
        return 0;
    }
    const StopTimes stopTimes = settings.stop;
    AgentDaemon daemon(std::move(settings), newIncarnation(), [](const Error &error) {
        logEvent(spdlog::level::err, "failed", {{"reason", error.message}});
        QCoreApplication::exit(FailureExitStatus);
    });
    const Result<Success> started = daemon.start();
    if (const Error *error = errorOf(started)) {
        logEvent(spdlog::level::err, "start_failed", {{"reason", error->message}});
        return FailureExitStatus;
    }
    logEvent(spdlog::level::info, "started", {{"peer_port", std::to_string(daemon.peerPort())}});
    return runUntilStopped({[&daemon] {
                                daemon.beginShutdown();
                            },
                            [&daemon] {
                                return daemon.openWork();
                            },
                            [&daemon](int /*exitCode*/) {
                                daemon.stop();
                            }},
                           stopTimes);
}
