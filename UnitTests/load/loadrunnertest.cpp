#include "load/loadrunner.h"
#include "load/loadreport.h"

#include "UnitTests/standins/httpclient.h"
#include "standins/common/standinserver.h"
#include "standins/engine/answertext.h"
#include "standins/plainservice/plainserviceserver.h"

#include <QJsonArray>

#include <catch2/catch.hpp>

#include <sstream>

using namespace ibismast;
using namespace ibismast::load;
using namespace ibismast::test;

namespace
{

/// Entry that generates the answer itself and takes the faults of the stand-ins.
class FakeEntry : public StandinServer
{
public:
    /// Error code of all answers; 0 for none.
    int errorCode = 0;
    int requests = 0;

protected:
    void handle(const StandinRequest &request, const StandinReplyPointer &reply) override
    {
        ++requests;
        if (request.path == "/v1/operations/registration") {
            reply->sendJson(200, {{"operation_id", "agent.1.1"}});
            return;
        }
        const QJsonObject body = request.json().value();
        if (errorCode != 0) {
            reply->sendJson(503, {{"error", QJsonObject {{"code", errorCode}}}});
        } else if (request.path.startsWith("/services/")) {
            reply->sendJson(200, {{"reference", body["reference"]}, {"run", ++m_runs[body["reference"].toString()]}});
        } else {
            complete(body, *reply);
        }
    }

private:
    static void complete(const QJsonObject &body, StandinReply &reply)
    {
        const AnswerText answer(body["prompt"].toString().toStdString(), body["max_tokens"].toInteger());
        reply.beginStream("text/event-stream");
        for (std::uint64_t i = 0; i < answer.length(); ++i) {
            sendEvent(reply, {{"text", QString::fromStdString(answer.token(i))}});
        }
        sendEvent(reply, {{"text", ""}, {"finish_reason", QString::fromStdString(answer.finishReason())}});
        reply.writeChunk("data: [DONE]\n\n");
        reply.endStream();
    }

    static void sendEvent(StandinReply &reply, const QJsonObject &choice)
    {
        const QJsonObject event {{"choices", QJsonArray {choice}}};
        reply.writeChunk("data: " + QJsonDocument(event).toJson(QJsonDocument::Compact) + "\n\n");
    }

    std::map<QString, int> m_runs;
};

LoadSettings settingsFor(const std::vector<quint16> &ports)
{
    LoadSettings settings;
    for (const quint16 port : ports) {
        settings.targets.push_back("127.0.0.1:" + std::to_string(port));
    }
    settings.customers = {{"c", "key", 1.0}};
    settings.rate = 1'000;
    settings.duration = std::chrono::milliseconds(20);
    settings.maxPrompt = 2'000;
    settings.deadline = std::chrono::minutes(10);
    return settings;
}

std::vector<Outcome> run(const LoadSettings &settings)
{
    bool finished = false;
    LoadRunner runner(settings);
    runner.onFinished = [&finished] {
        finished = true;
    };
    runner.start();
    runUntil([&finished] {
        return finished;
    });
    return runner.outcomes();
}

std::size_t count(const std::vector<Outcome> &outcomes, Verdict verdict)
{
    return static_cast<std::size_t>(std::ranges::count_if(outcomes, [verdict](const Outcome &outcome) {
        return outcome.verdict == verdict;
    }));
}

} // namespace

TEST_CASE("every planned request is answered by a good entry", "[load]")
{
    ensureApplication();
    FakeEntry entry;
    LoadSettings settings = settingsFor({entry.start(0)});
    settings.service = "registration";
    settings.serviceFraction = 0.3;
    settings.keyFraction = 0.5;
    const std::vector<Outcome> outcomes = run(settings);
    CHECK(outcomes.size() == planRequests(settings).size());
    CHECK(count(outcomes, Verdict::Answered) == outcomes.size());

    std::ostringstream csv;
    const LoadRunReport report(settings, outcomes);
    report.writeCsv(csv);
    CHECK(static_cast<std::size_t>(std::ranges::count(csv.str(), '\n')) == outcomes.size() + 1);
    CHECK(report.correct());
}

// Guards against a checker that passes answers of other requests.
TEST_CASE("crossed answers are counted as wrong", "[load]")
{
    ensureApplication();
    FakeEntry entry;
    const LoadSettings settings = settingsFor({entry.start(0)});
    static_cast<void>(entry.execute({{"fault", "cross_answers"}, {"count", 2}}));
    const std::vector<Outcome> outcomes = run(settings);
    CHECK(count(outcomes, Verdict::Wrong) == 2);
    CHECK_FALSE(LoadRunReport(settings, outcomes).correct());
}

TEST_CASE("a request whose connection breaks or whose entry is gone is sent to the next entry", "[load]")
{
    ensureApplication();
    FakeEntry good;
    FakeEntry breaking;
    quint16 closedPort = 0;
    {
        FakeEntry gone;
        closedPort = gone.start(0);
    }
    const LoadSettings settings = settingsFor({closedPort, breaking.start(0), good.start(0)});
    static_cast<void>(breaking.execute({{"fault", "lose_answer"}, {"after_bytes", 300}}));
    const std::vector<Outcome> outcomes = run(settings);
    CHECK(count(outcomes, Verdict::Answered) == outcomes.size());
    CHECK(good.requests == static_cast<int>(outcomes.size()));
    CHECK(std::ranges::any_of(outcomes, [](const Outcome &outcome) {
        return outcome.brokenConnections > 0;
    }));
}

TEST_CASE("a request that an entry refuses because it shuts down is sent to the next entry", "[load]")
{
    ensureApplication();
    FakeEntry stopping;
    FakeEntry good;
    stopping.errorCode = 2011;
    const LoadSettings settings = settingsFor({stopping.start(0), good.start(0)});
    const std::vector<Outcome> outcomes = run(settings);
    CHECK(count(outcomes, Verdict::Answered) == outcomes.size());
    CHECK(std::ranges::any_of(outcomes, [](const Outcome &outcome) {
        return outcome.failovers > 0;
    }));
}

TEST_CASE("a failure is counted by its code", "[load]")
{
    ensureApplication();
    FakeEntry entry;
    entry.errorCode = 2001;
    const LoadSettings settings = settingsFor({entry.start(0)});
    const std::vector<Outcome> outcomes = run(settings);
    CHECK(count(outcomes, Verdict::Failed) == outcomes.size());
    std::ostringstream text;
    LoadRunReport(settings, outcomes).print(text);
    CHECK(text.str().find("failure code=2001 name=DeadlineNotFeasible count=" + std::to_string(outcomes.size()))
          != std::string::npos);
}

// Guards against missing answers that nobody counts.
TEST_CASE("a request without an answer is lost and one behind its deadline is late", "[load]")
{
    ensureApplication();
    FakeEntry entry;
    LoadSettings settings = settingsFor({entry.start(0)});
    SECTION("no answer")
    {
        settings.deadline = std::chrono::milliseconds(50);
        settings.lostAfter = std::chrono::milliseconds(1);
        static_cast<void>(entry.execute({{"fault", "silent"}}));
        const std::vector<Outcome> outcomes = run(settings);
        CHECK(count(outcomes, Verdict::Lost) == outcomes.size());
    }
    SECTION("late answer")
    {
        // A tolerance of minus the deadline makes every answer late, however fast the machine is.
        settings.lateTolerance = -settings.deadline;
        settings.deadlinePerThousand = Duration::zero();
        const std::vector<Outcome> outcomes = run(settings);
        CHECK(count(outcomes, Verdict::Late) == outcomes.size());
    }
}

// Guards against a double run of a registration that the load tool overlooks.
TEST_CASE("a registration that ran before is counted as duplicate", "[load]")
{
    ensureApplication();
    FakeEntry entry;
    LoadSettings settings = settingsFor({entry.start(0)});
    settings.service = "registration";
    settings.serviceFraction = 1.0;
    const std::vector<Outcome> first = run(settings);
    CHECK(count(first, Verdict::Answered) == first.size());
    const std::vector<Outcome> second = run(settings);
    CHECK(count(second, Verdict::Duplicate) == second.size());
}

TEST_CASE("a percentile is a value of the sample", "[load]")
{
    const std::vector<Duration> values {Duration(4), Duration(1), Duration(3), Duration(2)};
    CHECK(percentile(values, 0.5) == Duration(2));
    CHECK(percentile(values, 0.95) == Duration(4));
    CHECK(percentile({}, 0.5) == Duration(0));
}
