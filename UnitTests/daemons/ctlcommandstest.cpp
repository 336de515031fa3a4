#include "daemons/ctl/ctlcommands.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace ibismast::ctl;
namespace wo = ibismast::wire::operators;

namespace
{

// Service whose replies are set by the test.
class FakeOperator : public wo::OperatorNull
{
public:
    void plan(wo::PlanReply &result, const std::map<std::string, std::string> &files, const bool prune) override
    {
        static_cast<void>(files);
        static_cast<void>(prune);
        result = planReply;
    }
    void apply(wo::ChangeReply &result,
               const std::string &changeId,
               const std::string &reason,
               const std::map<std::string, wo::ObjectEdit> &edits,
               const std::map<std::string, std::int64_t> &expected) override
    {
        static_cast<void>(reason);
        appliedId = changeId;
        appliedEdits = edits;
        appliedExpected = expected;
        result = changeReply;
    }
    void status(wo::StatusReply &result, const std::int64_t revision) override
    {
        statusCalls += 1;
        result.revision = revision;
        result.inForceHere = revision;
        result.peers = 3;
        result.peersInForce = statusCalls >= inForceAfter ? 3 : 2;
    }

    wo::PlanReply planReply;
    wo::ChangeReply changeReply;
    std::string appliedId;
    std::map<std::string, wo::ObjectEdit> appliedEdits;
    std::map<std::string, std::int64_t> appliedExpected;
    int statusCalls = 0;
    int inForceAfter = 3;
};

struct Bench
{
    FakeOperator service;
    std::ostringstream out;
    Commands commands {service, OutputForm::Table, out, [](int) {}};
};

} // namespace

TEST_CASE("apply sends the plan's edits and versions and waits", "[ctl]")
{
    Bench bench;
    wo::Edit added;
    added.object = "drain a";
    added.__set_after({{"reason", "disk"}});
    wo::Edit removed;
    removed.object = "drain b";
    removed.__set_before({});
    bench.service.planReply.edits = {added, removed};
    bench.service.planReply.expected = {{"drain a", 0}, {"drain b", 5}};
    bench.service.changeReply.revision = 8;
    ChangeOptions options;
    options.changeId = "c1";
    options.wait = true;
    CHECK(bench.commands.apply({}, false, options) == ExitCode::Done);
    CHECK(bench.service.appliedId == "c1");
    CHECK(bench.service.appliedExpected.at("drain b") == 5);
    CHECK(bench.service.appliedEdits.at("drain a").__isset.values);
    CHECK_FALSE(bench.service.appliedEdits.at("drain b").__isset.values);
    CHECK(bench.service.statusCalls == 3);
    CHECK(bench.out.str().find("+ [drain a]") != std::string::npos);
}

// Guards against scripts that take a change for in force although instances lag.
TEST_CASE("a change that does not spread in time has its own exit code", "[ctl]")
{
    Bench bench;
    bench.service.inForceAfter = 1'000'000;
    ChangeOptions options;
    options.wait = true;
    CHECK(bench.commands.apply({}, false, options) == ExitCode::NotInForce);
}

TEST_CASE("invalid plans are not applied", "[ctl]")
{
    Bench bench;
    bench.service.planReply.issues.emplace_back();
    CHECK(bench.commands.apply({}, false, {}) == ExitCode::InvalidDeclarations);
    CHECK(bench.service.appliedId.empty());
}

TEST_CASE("result codes have exit codes", "[ctl]")
{
    struct Case
    {
        int resultCode;
        ExitCode exitCode;
    };
    const auto [resultCode, exitCode] = GENERATE(Case {0, ExitCode::Done},
                                                 Case {4001, ExitCode::InvalidDeclarations},
                                                 Case {4002, ExitCode::Conflict},
                                                 Case {4004, ExitCode::OutcomeUnknown},
                                                 Case {4006, ExitCode::PermissionDenied},
                                                 Case {4007, ExitCode::RevisionNotFound},
                                                 Case {2008, ExitCode::Unavailable},
                                                 Case {5001, ExitCode::Failed});
    Bench bench;
    bench.service.changeReply.code = resultCode;
    CHECK(bench.commands.apply({}, false, {}) == exitCode);
}

// Guards against output that JSON readers refuse.
TEST_CASE("texts are escaped in JSON", "[ctl]")
{
    CHECK(jsonString("a\"b\\c\nd") == "\"a\\\"b\\\\c\\u000ad\"");
    wo::StatusReply status;
    status.lagging["node \"1\""] = 4;
    CHECK(show(status, OutputForm::Json).find(R"("lagging":{"node \"1\"":4})") != std::string::npos);
}
