#include "daemons/ctl/ctlcommands.h"
#include "daemons/ctl/ctlconnection.h"

#include <CLI/CLI.hpp>
#include <thrift/Thrift.h>

#include <chrono>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

using namespace ibismast::ctl;

namespace
{

std::string randomChangeId()
{
    std::random_device source;
    std::ostringstream text;
    for (int word = 0; word < 4; ++word) {
        text << std::hex << source();
    }
    return text.str();
}

std::map<std::string, std::string> readFiles(const std::vector<std::string> &names)
{
    std::map<std::string, std::string> files;
    for (const std::string &name : names) {
        std::ifstream file(name, std::ios::binary);
        std::ostringstream contents;
        contents << file.rdbuf();
        files[name] = contents.str();
    }
    return files;
}

struct Arguments
{
    ConnectionOptions connection;
    bool json = false;
    std::vector<std::string> files;
    bool prune = false;
    ChangeOptions change;
    std::int64_t revision = 0;
    std::int32_t limit = 20;
    bool audit = false;
    std::string prefix;
    std::string instance;
    bool undo = false;
};

void addChangeOptions(CLI::App &command, Arguments &arguments)
{
    command.add_flag("--wait", arguments.change.wait, "wait until the change is in force on the reached instances");
    command.add_option("--wait-seconds", arguments.change.waitSeconds, "limit of --wait")->check(CLI::Range(1, 3'600));
    command.add_option("--change-id", arguments.change.changeId, "id of a change that is sent again");
    command.add_option("--reason", arguments.change.reason, "reason for the history");
}

void addFiles(CLI::App &command, Arguments &arguments)
{
    command.add_option("files", arguments.files, "declaration files (INI)")->required()->check(CLI::ExistingFile);
}

void addConnectionOptions(CLI::App &app, Arguments &arguments)
{
    app.add_option("--host", arguments.connection.host, "address of any entry or agent");
    app.add_option("--port", arguments.connection.port, "port of its operator service")->check(CLI::Range(1, 65'535));
    app.add_option("--ca", arguments.connection.caFile, "CA certificates (PEM); turns TLS on")
        ->check(CLI::ExistingFile);
    auto *certificate = app.add_option("--cert", arguments.connection.certificateFile, "client certificate (PEM)");
    auto *key = app.add_option("--key", arguments.connection.keyFile, "private key of the certificate (PEM)");
    certificate->needs(key)->check(CLI::ExistingFile);
    key->needs(certificate)->check(CLI::ExistingFile);
    app.add_option("--timeout-ms", arguments.connection.timeoutMilliseconds, "limit of each call")
        ->check(CLI::Range(100, 600'000));
    app.add_flag("--json", arguments.json, "print JSON instead of tables");
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Validates, plans, applies and rolls back the configuration of ibismast.");
    Arguments arguments;
    arguments.change.changeId = randomChangeId();
    addConnectionOptions(app, arguments);
    app.require_subcommand(1);
    app.fallthrough();
    app.footer("Exit codes: 0 done, 1 failed, 2 usage, 3 invalid declarations, 4 conflict, 5 permission denied,\n"
               "6 outcome unknown (repeat with --change-id), 7 accepted but not in force in time, 8 unavailable,\n"
               "9 revision not found");
    auto *validate = app.add_subcommand("validate", "check files by themselves");
    addFiles(*validate, arguments);
    auto *plan = app.add_subcommand("plan", "compare files with the configuration in force");
    addFiles(*plan, arguments);
    plan->add_flag("--prune", arguments.prune, "remove objects that the files do not hold");
    auto *apply = app.add_subcommand("apply", "plan files and make the change");
    addFiles(*apply, arguments);
    apply->add_flag("--prune", arguments.prune, "remove objects that the files do not hold");
    addChangeOptions(*apply, arguments);
    auto *status = app.add_subcommand("status", "show how far a revision has spread");
    status->add_option("--revision", arguments.revision, "revision; the newest one if it is not given");
    auto *history = app.add_subcommand("history", "show past changes");
    history->add_option("--limit", arguments.limit, "number of entries")->check(CLI::Range(1, 1'000));
    history->add_flag("--audit", arguments.audit, "show the audit trail with refused and uncertain calls");
    auto *show = app.add_subcommand("show", "show the objects of a revision");
    show->add_option("--revision", arguments.revision, "revision; the newest one if it is not given");
    show->add_option("prefix", arguments.prefix, "only objects whose name starts so, for example 'model '");
    auto *rollback = app.add_subcommand("rollback", "make the objects of a revision a new revision");
    rollback->add_option("revision", arguments.revision, "revision to return to")->required();
    addChangeOptions(*rollback, arguments);
    auto *drain = app.add_subcommand("drain", "declare that an instance is draining");
    drain->add_option("instance", arguments.instance, "name of the instance")->required();
    drain->add_flag("--undo", arguments.undo, "end draining");
    addChangeOptions(*drain, arguments);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : static_cast<int>(ExitCode::Usage);
    }

    const OutputForm form = arguments.json ? OutputForm::Json : OutputForm::Table;
    apache::thrift::GlobalOutput.setOutputFunction([](const char *) {});
    try {
        const auto client = connect(arguments.connection);
        Commands commands(*client, form, std::cout, [](int milliseconds) {
            std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
        });
        ExitCode code = ExitCode::Done;
        if (validate->parsed()) {
            code = commands.validate(readFiles(arguments.files));
        } else if (plan->parsed()) {
            code = commands.plan(readFiles(arguments.files), arguments.prune);
        } else if (apply->parsed()) {
            code = commands.apply(readFiles(arguments.files), arguments.prune, arguments.change);
        } else if (status->parsed()) {
            code = commands.status(arguments.revision);
        } else if (history->parsed()) {
            code = commands.history(arguments.limit, arguments.audit);
        } else if (show->parsed()) {
            code = commands.show(arguments.revision, arguments.prefix);
        } else if (rollback->parsed()) {
            code = commands.rollback(arguments.revision, arguments.change);
        } else {
            code = commands.drain(arguments.instance, arguments.undo, arguments.change);
        }
        return static_cast<int>(code);
    } catch (const ibismast::wire::operators::OperatorError &error) {
        std::cerr << ibismast::ctl::show(error, form);
        return static_cast<int>(exitCodeOf(error.code));
    } catch (const apache::thrift::TException &exception) {
        std::cerr << arguments.connection.host << ':' << arguments.connection.port << ": " << exception.what() << '\n';
        return static_cast<int>(ExitCode::Unavailable);
    }
}
