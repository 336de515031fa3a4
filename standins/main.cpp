#include "standins/instancelist/instancelistserver.h"
#include "standins/keyvalue/keyvalueserver.h"
#include "standins/plainservice/plainserviceserver.h"

#include <CLI/CLI.hpp>
#include <QCoreApplication>
#include <QFile>
#include <QJsonDocument>

#include <iostream>

using namespace ibismast;

namespace
{

struct CommonOptions
{
    quint16 port = 0;
    std::vector<std::string> commands;
};

void addCommonOptions(CLI::App &command, CommonOptions &options)
{
    command.add_option("--port", options.port, "Port on 127.0.0.1; 0 lets the system choose")->capture_default_str();
    command.add_option("--control", options.commands, "Control command to carry out at the start, as JSON; repeatable");
    command.footer("POST /control takes {\"fault\": \"silent\"|\"late\"|\"lose_answer\"|\"cross_answers\", \"path\": "
                   "PREFIX,\n\"count\": N, \"delay_ms\": N, \"after_bytes\": N} or {\"clear\": true}; GET /control "
                   "returns counters.");
}

/// Starts @p server, prints its port and runs the event loop.
int serve(StandinServer &server, const CommonOptions &options)
{
    const quint16 port = server.start(options.port);
    if (port == 0) {
        std::cerr << "error=listen port=" << options.port << " message=\"the port is not available\"\n";
        return 1;
    }
    for (const std::string &text : options.commands) {
        const QJsonDocument document = QJsonDocument::fromJson(QByteArray::fromStdString(text));
        const Result<QJsonObject> result = server.execute(document.object());
        if (const Error *error = errorOf(result)) {
            std::cerr << "error=control message=\"" << error->message << "\"\n";
            return 2;
        }
    }
    std::cout << "listening port=" << port << std::endl;
    return QCoreApplication::exec();
}

Duration milliseconds(std::int64_t count)
{
    return std::chrono::milliseconds(count);
}

} // namespace

int main(int argc, char **argv)
{
    const QCoreApplication application(argc, argv);
    CLI::App app("Stand-ins for the platform's services, for tests and demonstrations.\n"
                 "Example: ibismast-standin keyvalue --port 0 --writes 500");
    app.name("ibismast-standin");
    app.require_subcommand(1);
    CommonOptions common;

    CLI::App *keyValue = app.add_subcommand("keyvalue", "Key-value service, etcd v3 JSON gateway");
    KeyValueServerSettings keyValueSettings;
    addCommonOptions(*keyValue, common);
    keyValue->add_option("--writes", keyValueSettings.writesPerSecond, "Writes per second; 0 means no limit")
        ->capture_default_str();
    keyValue->add_option("--reads", keyValueSettings.readsPerSecond, "Reads per second; 0 means no limit")
        ->capture_default_str();
    keyValue->add_option("--max-value", keyValueSettings.maxValueBytes, "Largest value in bytes")
        ->capture_default_str();

    CLI::App *plainService = app.add_subcommand("plainservice", "Plain service whose calls must not be repeated");
    std::int64_t workMs = 0;
    addCommonOptions(*plainService, common);
    plainService->add_option("--work-ms", workMs, "Time that a call takes")->capture_default_str();

    CLI::App *instanceList = app.add_subcommand("instancelist", "List of live and leaving instances");
    std::int64_t lagMs = 0;
    addCommonOptions(*instanceList, common);
    instanceList->add_option("--lag-ms", lagMs, "Time until a change becomes visible")->capture_default_str();

    CLI11_PARSE(app, argc, argv);

    if (keyValue->parsed()) {
        KeyValueServer server(keyValueSettings);
        return serve(server, common);
    }
    if (plainService->parsed()) {
        PlainServiceServer server({milliseconds(workMs)});
        return serve(server, common);
    }
    InstanceListServer server({milliseconds(lagMs)});
    return serve(server, common);
}
