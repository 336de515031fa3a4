#include "UnitTests/harness/invariantchecker.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace ibismast::harness;

namespace
{

struct Planted
{
    std::string property;
    std::function<void(RunRecord &)> plant;
};

RunRecord correctRun()
{
    RunRecord run;
    CallerRecord caller;
    caller.request = RequestId {Incarnation(1), 1};
    caller.deadline = TimePoint(std::chrono::seconds(10));
    caller.ended = TimePoint(std::chrono::seconds(5));
    caller.expectedTokens = {"a", "b"};
    caller.tokens = caller.expectedTokens;
    caller.reportedTokens = Tokens(2);
    caller.ending = Ending::Answer;
    caller.finals = 1;
    run.callers.push_back(caller);
    run.startedRequests.insert(caller.request);
    run.serviceRuns["call"] = 1;
    run.residues.push_back({InstanceId("agent"), Tokens(0), Tokens(0), 0});
    return run;
}

CallerRecord &first(RunRecord &run)
{
    return run.callers.front();
}

} // namespace

TEST_CASE("the checker accepts a correct run", "[harness]")
{
    CHECK(checkInvariants(correctRun()).empty());
}

// Guards against a checker that cannot fail.
TEST_CASE("the checker finds planted violations", "[harness]")
{
    const auto planted = GENERATE(values<Planted>({
        {"P1",
         [](RunRecord &run) {
             first(run).finals = 0;
         }},
        {"P1",
         [](RunRecord &run) {
             first(run).finals = 2;
         }},
        {"P1",
         [](RunRecord &run) {
             first(run).ended = first(run).deadline + Duration(1);
         }},
        {"P2",
         [](RunRecord &run) {
             run.residues.front().engineMemory = Tokens(1);
         }},
        {"P2",
         [](RunRecord &run) {
             run.residues.front().reservedMemory = Tokens(1);
         }},
        {"P2",
         [](RunRecord &run) {
             run.residues.front().openWork = 1;
         }},
        {"P3",
         [](RunRecord &run) {
             first(run).tokens[1] = "a";
         }},
        {"P3",
         [](RunRecord &run) {
             first(run).tokens.pop_back();
         }},
        {"P3",
         [](RunRecord &run) {
             first(run).tokens.emplace_back("b");
         }},
        {"P3",
         [](RunRecord &run) {
             first(run).reportedTokens = Tokens(3);
         }},
        {"P3",
         [](RunRecord &run) {
             first(run).isService = true;
             first(run).ending = Ending::ServiceReply;
             first(run).reply = "other";
         }},
        {"P4",
         [](RunRecord &run) {
             first(run).ending = Ending::Failure;
             first(run).error.code = ResultCode::NoUpstream;
         }},
        {"P5",
         [](RunRecord &run) {
             run.serviceRuns["call"] = 2;
         }},
        {"P6",
         [](RunRecord &run) {
             run.leavingSince[InstanceId("agent")] = TimePoint(std::chrono::seconds(1));
             run.starts.emplace_back(InstanceId("agent"), TimePoint(Duration(3'000'001)));
         }},
        {"P7",
         [](RunRecord &run) {
             first(run).mustSucceed = true;
             first(run).ending = Ending::Failure;
             first(run).error.code = ResultCode::UpstreamFailed;
         }},
    }));
    RunRecord run = correctRun();
    planted.plant(run);
    const auto violations = checkInvariants(run);
    REQUIRE_FALSE(violations.empty());
    CHECK(violations.front().property == planted.property);
}
