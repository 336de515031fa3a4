#include "standins/engine/engineserver.h"
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
template<typename Server> int serve(Server &server, const CommonOptions &options)
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

/// Options of the engine whose types differ from those of the settings.
struct EngineOptions
{
    std::vector<std::string> models {"model"};
    std::int64_t capacity = 400'000;
    std::int64_t stepUs = 10'000;
    std::int64_t tokenUs = 20;
    std::int64_t loadLagMs = 500;
    bool ignorePriorities = false;
    bool ignoreFencing = false;

    void applyTo(EngineServerSettings &settings) const
    {
        EngineModelSettings &model = settings.model;
        model.models.clear();
        for (const std::string &name : models) {
            model.models.emplace_back(name);
        }
        model.memoryCapacity = Tokens(capacity);
        model.cacheCapacity = Tokens(std::min(model.cacheCapacity.value(), capacity / 4));
        model.stepTime = Duration(stepUs);
        model.timePerToken = Duration(tokenUs);
        model.loadLag = milliseconds(loadLagMs);
        model.honourPriorities = !ignorePriorities;
        model.checkFencingTokens = !ignoreFencing;
    }
};

void addEngineOptions(CLI::App &command, EngineServerSettings &settings, EngineOptions &options)
{
    EngineModelSettings &model = settings.model;
    command.add_option("--model", options.models, "Model that is loaded at the start; repeatable")
        ->capture_default_str();
    command.add_option("--capacity", options.capacity, "KV memory in tokens")->capture_default_str();
    command.add_option("--step-tokens", model.tokensPerStep, "Largest number of tokens in a step")
        ->capture_default_str();
    command.add_option("--step-us", options.stepUs, "Time of an empty step in microseconds")->capture_default_str();
    command.add_option("--token-us", options.tokenUs, "Further time for each token of a step in microseconds")
        ->capture_default_str();
    command.add_option("--max-running", model.maxRunning, "Largest number of attempts in a batch")
        ->capture_default_str();
    command.add_option("--load-lag-ms", options.loadLagMs, "Age of load reports")->capture_default_str();
    command.add_option("--cache-event-loss", model.cacheEventLoss, "Fraction of cache events that is lost")
        ->check(CLI::Range(0.0, 1.0))
        ->capture_default_str();
    command.add_option("--seed", settings.seed, "Seed of the random source")->capture_default_str();
    command.add_flag("--ignore-priorities", options.ignorePriorities, "Run attempts in order of arrival");
    command.add_flag("--ignore-fencing", options.ignoreFencing, "Carry out orders with old fencing tokens");
    command.add_flag("--cancel-on-disconnect", settings.cancelOnDisconnect, "Cancel an attempt when its client leaves");
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

    CLI::App *engine = app.add_subcommand("engine", "Model engine with continuous batching");
    EngineServerSettings engineSettings;
    EngineOptions engineOptions;
    addCommonOptions(*engine, common);
    addEngineOptions(*engine, engineSettings, engineOptions);

    CLI11_PARSE(app, argc, argv);

    if (engine->parsed()) {
        engineOptions.applyTo(engineSettings);
        EngineServer server(engineSettings);
        return serve(server, common);
    }

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
