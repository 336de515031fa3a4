#include "load/loadreport.h"
#include "load/loadrunner.h"

#include <CLI/CLI.hpp>
#include <QCoreApplication>

#include <fstream>
#include <iostream>

using namespace ibismast;
using namespace ibismast::load;

namespace
{

struct Options
{
    LoadSettings settings;
    std::vector<std::string> customers;
    double seconds = 30;
    double peakStart = 10;
    double peakLength = 10;
    double deadlineSeconds = 10;
    double deadlinePerThousandMs = 100;
    std::string csv;
    std::string plot;
};

void addOptions(CLI::App &app, Options &options)
{
    LoadSettings &settings = options.settings;
    app.add_option("--target", settings.targets, "Entry as ip:port; repeatable")->required();
    app.add_option("--customer", options.customers, "Customer as name:key[:weight]; repeatable")->required();
    app.add_option("--model", settings.model, "Model name")->capture_default_str();
    app.add_option("--seed", settings.seed, "Seed of the plan")->capture_default_str();
    app.add_option("--seconds", options.seconds, "Time in which requests start")->capture_default_str();
    app.add_option("--rate", settings.rate, "Requests per second outside the peak")->capture_default_str();
    app.add_option("--peak-start", options.peakStart, "Start of the peak phase in seconds")->capture_default_str();
    app.add_option("--peak-seconds", options.peakLength, "Length of the peak phase")->capture_default_str();
    app.add_option("--peak-factor", settings.peakFactor, "Factor of the peak phase on the rate")->capture_default_str();
    app.add_option("--min-prompt", settings.minPrompt, "Shortest prompt in tokens")->capture_default_str();
    app.add_option("--max-prompt", settings.maxPrompt, "Longest prompt in tokens")->capture_default_str();
    app.add_option("--huge", settings.hugeFraction, "Fraction of prompts above 100,000 tokens")->capture_default_str();
    app.add_option("--min-output", settings.minOutput, "Smallest max_tokens")->capture_default_str();
    app.add_option("--max-output", settings.maxOutput, "Largest max_tokens")->capture_default_str();
    app.add_option("--shared", settings.sharedPrefixFraction, "Fraction of prompts with a common first half")
        ->capture_default_str();
    app.add_option("--deadline", options.deadlineSeconds, "Deadline of a short prompt in seconds")
        ->capture_default_str();
    app.add_option("--deadline-per-thousand", options.deadlinePerThousandMs, "Further ms for each 1,000 prompt tokens")
        ->capture_default_str();
    app.add_option("--service", settings.service, "Plain service to call under operation ids");
    app.add_option("--service-fraction", settings.serviceFraction, "Fraction of requests that call it")
        ->capture_default_str();
    app.add_option("--key-fraction", settings.keyFraction, "Fraction of these calls with an idempotency key")
        ->capture_default_str();
    app.add_option("--csv", options.csv, "File for one line per request");
    app.add_option("--plot", options.plot, "File for an SVG plot of TTFT by prompt length");
    app.footer("Examples:\n"
               "  ibismast-load --target 127.0.0.1:8080 --customer bank:key-1 --seconds 10\n"
               "  ibismast-load --target 127.0.0.1:8080 --target 127.0.0.1:8081 --customer large:key-1:5 \\\n"
               "    --customer small:key-2 --rate 50 --peak-factor 2 --csv out/load.csv --plot out/load.svg\n"
               "Exit status: 0 if no answer was lost, wrong, duplicate or late; 1 if one was; 2 for invalid options.");
}

/// Parses `name:key[:weight]`.
std::optional<LoadCustomer> parseCustomer(const std::string &text)
{
    const QStringList fields = QString::fromStdString(text).split(':');
    bool valid = fields.size() == 2 || fields.size() == 3;
    LoadCustomer customer;
    if (valid) {
        customer = {fields[0].toStdString(), fields[1].toStdString(), 1.0};
    }
    if (valid && fields.size() == 3) {
        customer.weight = fields[2].toDouble(&valid);
    }
    valid = valid && !customer.name.empty() && !customer.apiKey.empty() && customer.weight > 0;
    return valid ? std::optional(customer) : std::nullopt;
}

bool writeFile(const std::string &path, const std::function<void(std::ostream &)> &write)
{
    if (path.empty()) {
        return true;
    }
    std::ofstream file(path);
    write(file);
    file.close();
    if (!file) {
        std::cerr << "error=write path=" << path << '\n';
    }
    return !file.fail();
}

} // namespace

int main(int argc, char **argv)
{
    const QCoreApplication application(argc, argv);
    CLI::App app("Sends open-loop load to the entries of a fleet and checks every answer.");
    app.name("ibismast-load");
    Options options;
    addOptions(app, options);
    CLI11_PARSE(app, argc, argv);

    LoadSettings &settings = options.settings;
    settings.duration = fromSeconds(options.seconds);
    settings.peakStart = fromSeconds(options.peakStart);
    settings.peakLength = fromSeconds(options.peakLength);
    settings.deadline = fromSeconds(options.deadlineSeconds);
    settings.deadlinePerThousand = fromSeconds(options.deadlinePerThousandMs / 1e3);
    for (const std::string &text : options.customers) {
        const std::optional<LoadCustomer> customer = parseCustomer(text);
        if (!customer) {
            std::cerr << "error=options message=\"customer: '" << text << "' is not name:key[:weight]\"\n";
            return 2;
        }
        settings.customers.push_back(*customer);
    }
    const Result<Success> valid = validate(settings);
    if (const Error *error = errorOf(valid)) {
        std::cerr << "error=options message=\"" << error->message << "\"\n";
        return 2;
    }

    LoadRunner runner(settings);
    runner.onFinished = [] {
        QCoreApplication::quit();
    };
    QMetaObject::invokeMethod(
        &runner,
        [&runner] {
            runner.start();
        },
        Qt::QueuedConnection);
    QCoreApplication::exec();

    const LoadRunReport report(settings, runner.outcomes());
    report.print(std::cout);
    const bool csvWritten = writeFile(options.csv, [&report](std::ostream &out) {
        report.writeCsv(out);
    });
    const bool plotWritten = writeFile(options.plot, [&report](std::ostream &out) {
        report.writePlot(out);
    });
    return report.correct() && csvWritten && plotWritten ? 0 : 1;
}
