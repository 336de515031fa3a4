#include "UnitTests/adapters/fleetfixture.h"

using namespace ibismast;

namespace
{

/// Two entries beside one agent; an operator works with each.
struct TwoEntries : FleetFixture
{
    TwoEntries()
        : agent(startAgent("agent-1"))
        , first(startEntry("entry-1", "agent-1@" + address(agent->peerPort())))
        , second(startEntry("entry-2", "agent-1@" + address(agent->peerPort())))
    {
        REQUIRE(runUntil([this] {
            return first->config().ready() && second->config().ready();
        }));
    }
    /// Waits until @p revision is in force in both entries.
    void waitFor(Revision revision) const
    {
        REQUIRE(runUntil([this, revision] {
            return first->config().revision() >= revision && second->config().revision() >= revision;
        }));
    }

    std::unique_ptr<AgentDaemon> agent;
    std::unique_ptr<EntryDaemon> first;
    std::unique_ptr<EntryDaemon> second;
};

std::string model(const std::string &version)
{
    return "[model small]\nversion = " + version + "\ncopies_per_domain = 1\nmemory_tokens = 1000\n";
}

} // namespace

// Guards against a lost update, and against an operator who is told the opposite of what happened because the store's
// answer to the change was lost.
TEST_CASE("of two operators that race one wins, and both learn which", "[fleet][operators]")
{
    const int lostAnswers = GENERATE(0, 1, 2);
    CAPTURE(lostAnswers);
    TwoEntries fleet;
    const ChangeReply base = FleetFixture::apply(*fleet.first, "base", model("1"));
    REQUIRE(base.code == ResultCode::Ok);
    fleet.waitFor(base.revision);

    std::map<std::string, ChangeReply> replies;
    const auto start = [&replies](EntryDaemon &entry, const std::string &who, const std::string &version) {
        const auto plan = FleetFixture::call<PlanReply>(entry, PlanCall {{{"fleet.ini", model(version)}}, false});
        return [&replies, &entry, who, apply = FleetFixture::toApply(plan, "change-of-" + who)] {
            entry.operators()->call({who, OperatorRole::Editor}, apply, [&replies, who](const OperatorReply &reply) {
                replies[who] = std::get<ChangeReply>(reply);
            });
        };
    };
    // Both plans are made before either change is sent.
    const auto sendAna = start(*fleet.first, "ana", "2");
    const auto sendBudi = start(*fleet.second, "budi", "3");
    if (lostAnswers > 0) {
        fleet.fault({{"fault", "lose_answer"}, {"path", "/v3/kv/txn"}, {"count", lostAnswers}});
    }
    sendAna();
    sendBudi();
    REQUIRE(runUntil([&replies] {
        return replies.size() == 2;
    }));

    const bool anaWon = replies["ana"].code == ResultCode::Ok;
    const ChangeReply &won = anaWon ? replies["ana"] : replies["budi"];
    const ChangeReply &lost = anaWon ? replies["budi"] : replies["ana"];
    REQUIRE(won.code == ResultCode::Ok);
    CHECK(won.revision == base.revision + Revision(1));
    REQUIRE(lost.code == ResultCode::ConfigConflict);
    REQUIRE(lost.between.size() == 1);
    CHECK(lost.between[0].changeId == (anaWon ? "change-of-ana" : "change-of-budi"));
    fleet.waitFor(won.revision);
    for (EntryDaemon *entry : {fleet.first.get(), fleet.second.get()}) {
        const auto shown = FleetFixture::call<ShowReply>(*entry, ShowCall {});
        CHECK(shown.revision == won.revision);
        CHECK(shown.objects.at("model small").values.at("version") == (anaWon ? "2" : "3"));
        CHECK(FleetFixture::call<HistoryReply>(*entry, HistoryCall {}).changes.size() == 2);
    }
}

// Guards against a change that takes effect twice when the operator's client sends it again through another entry.
TEST_CASE("a change that is sent again takes effect once", "[fleet][operators]")
{
    TwoEntries fleet;
    const auto plan = FleetFixture::call<PlanReply>(*fleet.first, PlanCall {{{"fleet.ini", model("1")}}, false});
    const ApplyCall apply = FleetFixture::toApply(plan, "change-1");
    const auto sent = FleetFixture::call<ChangeReply>(*fleet.first, apply);
    const auto again = FleetFixture::call<ChangeReply>(*fleet.second, apply);
    CHECK(sent.code == ResultCode::Ok);
    CHECK(again.code == ResultCode::Ok);
    CHECK(again.revision == sent.revision);
    CHECK(FleetFixture::call<HistoryReply>(*fleet.second, HistoryCall {}).changes.size() == 1);
}

// Guards against a stop that leaves an operator without the outcome of a change.
TEST_CASE("a stop waits for the operators' calls", "[fleet][operators]")
{
    TwoEntries fleet;
    const auto plan = FleetFixture::call<PlanReply>(*fleet.first, PlanCall {{{"fleet.ini", model("1")}}, false});
    bool answered = false;
    fleet.first->operators()->call(
        {"ana", OperatorRole::Editor}, FleetFixture::toApply(plan, "change-1"), [&answered](const OperatorReply &) {
            answered = true;
        });
    fleet.first->beginShutdown();
    CHECK(fleet.first->openRequests() == 1);
    REQUIRE(runUntil([&answered] {
        return answered;
    }));
    CHECK(fleet.first->openRequests() == 0);
}

// Guards against an operator who changes the fleet without the role for it, and against refusals that leave no trace.
TEST_CASE("a call beyond the operator's role is refused and recorded", "[fleet][operators]")
{
    TwoEntries fleet;
    const auto error = FleetFixture::call<Error>(
        *fleet.first, RollbackCall {"undo", "test", Revision(1)}, {"vera", OperatorRole::Editor});
    CHECK(error.code == ResultCode::PermissionDenied);
    REQUIRE(runUntil([&fleet] {
        return !fleet.first->operators()->busy();
    }));
    const auto history = FleetFixture::call<HistoryReply>(*fleet.second, HistoryCall {20, true});
    REQUIRE(history.audit.size() == 1);
    CHECK(history.audit[0].who == "vera");
    CHECK(history.audit[0].code == ResultCode::PermissionDenied);
}
