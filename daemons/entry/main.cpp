#include "adapters/entrydaemon.h"
#include "daemons/daemonmain.h"

#include <QtCore/QCoreApplication>

#include <iostream>

namespace
{

using namespace ibismast;

const DaemonHelp Help {"Entry instance of ibismast: accepts prompts over HTTP and dispatches them to agents.",
                       R"(Examples:
  ibismast-entry --settings /etc/ibismast/entry.ini
  ibismast-entry --settings entry.ini --check
  ibismast-entry --settings entry.ini --log-level debug

Smallest settings file:
  [instance]
  id = entry-1
  domain = zone-a
  [http]
  listen = 127.0.0.1:8080
  [peers]
  agents = agent-1@127.0.0.1:7070
  [model.small]
  max_output_tokens = 4096
  [customer.registry]
  key_sha256 = <SHA-256 of the API key: printf %s KEY | sha256sum>

With [store] gateway = http://127.0.0.1:2379 the fleet's configuration in the key-value service takes the place of the
sections [model.*], [service.*] and [customer.*]. Operators are served at [operators] listen = 127.0.0.1:7443, with
tls_certificate, tls_key and tls_authority; the client certificate's common name is the operator, its organisational
unit the role (viewer, editor or admin). Without TLS only loopback addresses are allowed, and plain_role is the role.

SIGTERM or SIGINT stops after the open requests have ended; a second signal stops at once.
Exit status: 0 stopped without cutting a request, 1 requests were cut, 2 wrong settings, 3 failure.)"};

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
    EntryDaemonSettings settings = readEntrySettings(settingsFile);
    auto config = std::make_unique<DeclaredConfig>(settingsFile);
    if (const std::optional<Error> error = settingsFile.finish()) {
        return reportSettingsError(*error);
    }
    if (settings.store && !config->empty()) {
        logEvent(
            spdlog::level::warn, "declarations_ignored", {{"reason", "[store] gateway supplies the configuration"}});
    }
    if (options.check) {
        std::cout << options.settingsPath << ": valid\n";
        return 0;
    }
    const StopTimes stopTimes = settings.stop;
    EntryDaemon daemon(std::move(settings), std::move(config), newIncarnation(), [](const Error &error) {
        logEvent(spdlog::level::err, "failed", {{"reason", error.message}});
        QCoreApplication::exit(FailureExitStatus);
    });
    const Result<Success> started = daemon.start();
    if (const Error *error = errorOf(started)) {
        logEvent(spdlog::level::err, "start_failed", {{"reason", error->message}});
        return FailureExitStatus;
    }
    logEvent(
        spdlog::level::info,
        "started",
        {{"http_port", std::to_string(daemon.httpPort())}, {"operator_port", std::to_string(daemon.operatorPort())}});
    return runUntilStopped({[&daemon] {
                                daemon.beginShutdown();
                            },
                            [&daemon] {
                                return daemon.openRequests();
                            },
                            [&daemon](int /*exitCode*/) {
                                daemon.stop();
                            }},
                           stopTimes);
}
