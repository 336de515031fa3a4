#include "ibismast/operator/operatorservice.h"
#include "UnitTests/harness/fakestore.h"
#include "ibismast/config/configrelay.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace ibismast::harness;
using namespace std::chrono_literals;

namespace
{

const OperatorIdentity Viewer {"vera", OperatorRole::Viewer};
const OperatorIdentity Editor {"edi", OperatorRole::Editor};
const OperatorIdentity Admin {"ana", OperatorRole::Admin};

// One process that serves operators' calls.
struct Server
{
    Server(FakeStore &store, std::uint16_t range, const std::string &name)
        : ids(range)
        , relay({}, PeerSummary {InstanceId(name), Incarnation(1), {}, {}, FailureDomain("d"), {}}, replica, ids, range)
        , service({}, name, replica, relay, ids)
        , m_store(&store)
    {
        relay.setMembers({PeerSummary {InstanceId(name), Incarnation(1), {}, {}, FailureDomain("d"), {}}});
    }

    void step(const StoreAnswers &answers, TimePoint now)
    {
        ConfigRelayOutput output;
        for (const StoreAnswer &answer : answers) {
            if (!relay.handleStore(answer, now, output)) {
                service.handle(answer, now, output.calls);
            }
        }
        relay.tick(now, output);
        service.tick(now, output.calls);
        for (const StoreCall &call : output.calls) {
            m_store->submit(call, now);
        }
        for (OperatorAnswer &answer : service.takeAnswers()) {
            answered.insert_or_assign(answer.id, std::move(answer.reply));
        }
    }

    StoreCallIds ids;
    ConfigReplica replica;
    ConfigRelay relay;
    OperatorService service;
    std::map<OperatorCallId, OperatorReply> answered;

private:
    FakeStore *m_store;
};

class OperatorBench
{
public:
    OperatorBench() : first(store, 1, "first"), second(store, 2, "second")
    {
        run(50ms);
    }

    void run(Duration length)
    {
        for (const TimePoint end = m_now + length; m_now < end; m_now += 1ms) {
            const auto answers = store.takeAnswers(m_now);
            first.step(answers, m_now);
            second.step(answers, m_now);
        }
    }
    OperatorCallId start(Server &server, const OperatorIdentity &who, OperatorRequest request)
    {
        StoreCalls calls;
        const auto id =
            server.service.call(who, std::move(request), WallTime(m_now.time_since_epoch().count()), m_now, calls);
        for (const StoreCall &call : calls) {
            store.submit(call, m_now);
        }
        return id;
    }
    template<typename Reply> Reply call(Server &server, const OperatorIdentity &who, OperatorRequest request)
    {
        const auto id = start(server, who, std::move(request));
        for (int wait = 0; wait < 15'000 && !server.answered.contains(id); ++wait) {
            run(1ms);
        }
        REQUIRE(server.answered.contains(id));
        REQUIRE(std::holds_alternative<Reply>(server.answered.at(id)));
        const Reply reply = std::get<Reply>(server.answered.at(id));
        run(20ms);
        return reply;
    }
    ChangeReply drain(const std::string &id, const std::string &instance, bool undo = false)
    {
        return call<ChangeReply>(first, Editor, DrainCall {id, "disk", InstanceId(instance), undo});
    }

    FakeStore store;
    Server first;
    Server second;

private:
    TimePoint m_now {100s};
};

ApplyCall applyOf(const PlanReply &plan, const std::string &id)
{
    ApplyCall apply {id, "reason", {}, plan.expected};
    for (const ConfigEdit &edit : plan.edits) {
        apply.edits[edit.object] = edit.after;
    }
    return apply;
}

const DeclarationFiles ServiceFile {{"a.ini", "[service s]\naddress = 10.0.0.1:80\n"}};

} // namespace

TEST_CASE("files are validated, planned, applied and shown", "[operator]")
{
    OperatorBench bench;
    CHECK(bench.call<ValidateReply>(bench.first, Viewer, ValidateCall {ServiceFile}).issues.empty());
    CHECK(bench.call<ValidateReply>(bench.first, Viewer, ValidateCall {{{"a.ini", "[service s]\n"}}}).issues.size()
          == 1);
    const auto plan = bench.call<PlanReply>(bench.first, Viewer, PlanCall {ServiceFile, false});
    REQUIRE(plan.edits.size() == 1);
    CHECK(plan.expected.at("service s") == Revision(0));
    const auto change = bench.call<ChangeReply>(bench.first, Editor, applyOf(plan, "c1"));
    CHECK(change.code == ResultCode::Ok);
    CHECK(change.revision == Revision(1));
    const auto show = bench.call<ShowReply>(bench.second, Viewer, ShowCall {{}, "service"});
    CHECK(show.revision == Revision(1));
    CHECK(show.objects.at("service s").values.at("address") == "10.0.0.1:80");
    CHECK(bench.call<PlanReply>(bench.second, Viewer, PlanCall {ServiceFile, true}).edits.empty());
}

// Guards against objects being removed only because a file does not name them.
TEST_CASE("a plan removes objects only when asked to", "[operator]")
{
    OperatorBench bench;
    bench.drain("c1", "x");
    CHECK(bench.call<PlanReply>(bench.first, Viewer, PlanCall {ServiceFile, false}).edits.size() == 1);
    const auto pruning = bench.call<PlanReply>(bench.first, Viewer, PlanCall {ServiceFile, true});
    REQUIRE(pruning.edits.size() == 2);
    CHECK_FALSE(pruning.edits[0].after.has_value());
    CHECK(pruning.expected.at("drain x") == Revision(1));
}

// Guards against the later of two operators undoing the change of the earlier one unseen.
TEST_CASE("a plan that was overtaken is refused with the change that came between", "[operator]")
{
    OperatorBench bench;
    const auto plan = bench.call<PlanReply>(bench.first, Viewer, PlanCall {ServiceFile, false});
    const DeclarationFiles other {{"b.ini", "[service s]\naddress = 10.0.0.2:80\n"}};
    const auto otherPlan = bench.call<PlanReply>(bench.second, Viewer, PlanCall {other, false});
    CHECK(bench.call<ChangeReply>(bench.second, Admin, applyOf(otherPlan, "c2")).code == ResultCode::Ok);
    const auto change = bench.call<ChangeReply>(bench.first, Editor, applyOf(plan, "c1"));
    CHECK(change.code == ResultCode::ConfigConflict);
    REQUIRE(change.between.size() == 1);
    CHECK(change.between[0].changeId == "c2");
    CHECK(change.between[0].author == "ana");
}

// Guards against calls beyond an operator's role.
TEST_CASE("roles limit the calls", "[operator]")
{
    OperatorBench bench;
    struct Case
    {
        OperatorIdentity who;
        OperatorRequest request;
    };
    const auto [who, request] = GENERATE(Case {Viewer, ApplyCall {"c", "", {}, {}}},
                                         Case {Viewer, DrainCall {"c", "", InstanceId("x"), false}},
                                         Case {Viewer, RollbackCall {"c", "", Revision(0)}},
                                         Case {Editor, RollbackCall {"c", "", Revision(0)}});
    const auto error = bench.call<Error>(bench.first, who, request);
    CHECK(error.code == ResultCode::PermissionDenied);
    bench.run(100ms);
    const auto history = bench.call<HistoryReply>(bench.second, Viewer, HistoryCall {10, true});
    REQUIRE(history.audit.size() == 1);
    CHECK(history.audit[0].code == ResultCode::PermissionDenied);
    CHECK(history.audit[0].who == who.name);
}

// Guards against a rollback that lowers the revision or misses objects that were added or removed.
TEST_CASE("a rollback makes the old objects a new revision", "[operator]")
{
    OperatorBench bench;
    bench.drain("c1", "a");
    bench.drain("c2", "b");
    bench.drain("c3", "a", true);
    const auto old = bench.call<ShowReply>(bench.first, Viewer, ShowCall {Revision(1), {}});
    CHECK(old.objects.size() == 1);
    const auto change = bench.call<ChangeReply>(bench.second, Admin, RollbackCall {"r", "", Revision(1)});
    CHECK(change.code == ResultCode::Ok);
    CHECK(change.revision == Revision(4));
    const auto now = bench.call<ShowReply>(bench.first, Viewer, ShowCall {});
    CHECK(now.objects.size() == 1);
    CHECK(now.objects.contains("drain a"));
}

TEST_CASE("revisions that do not exist are refused", "[operator]")
{
    OperatorBench bench;
    bench.drain("c1", "a");
    CHECK(bench.call<Error>(bench.first, Admin, RollbackCall {"r", "", Revision(9)}).code
          == ResultCode::RevisionNotFound);
    CHECK(bench.call<Error>(bench.first, Viewer, ShowCall {Revision(9), {}}).code == ResultCode::RevisionNotFound);
}

TEST_CASE("the history shows changes and the audit trail also refused ones", "[operator]")
{
    OperatorBench bench;
    bench.drain("c1", "a");
    ApplyCall invalid {"c2", "", {{"service s", ObjectValues()}}, {}};
    CHECK(bench.call<ChangeReply>(bench.first, Editor, invalid).code == ResultCode::ConfigInvalid);
    bench.drain("c3", "b");
    bench.run(100ms);
    const auto history = bench.call<HistoryReply>(bench.second, Viewer, HistoryCall {10, false});
    REQUIRE(history.changes.size() == 2);
    CHECK(history.changes[0].changeId == "c3");
    const auto audit = bench.call<HistoryReply>(bench.second, Viewer, HistoryCall {10, true}).audit;
    REQUIRE(audit.size() == 3);
    CHECK(audit[1].code == ResultCode::ConfigInvalid);
    CHECK(audit[0].from == Revision(1));
    CHECK(audit[0].to == Revision(2));
    CHECK(audit[0].diff.find("+ [drain b]") != std::string::npos);
}

// Guards against an uncertain change being reported as made or as refused, and against it leaving no trace.
TEST_CASE("a change of uncertain outcome is reported and audited as such", "[operator]")
{
    OperatorBench bench;
    bench.drain("c1", "a");
    bench.store.loseAnswersAfterEffect(1);
    const auto id = bench.start(bench.first, Editor, DrainCall {"c2", "", InstanceId("b"), false});
    bench.run(2ms);
    bench.store.setDown(true);
    bench.run(13s);
    REQUIRE(bench.first.answered.contains(id));
    CHECK(std::get<ChangeReply>(bench.first.answered.at(id)).code == ResultCode::ConfigOutcomeUnknown);
    bench.store.setDown(false);
    bench.run(20s);
    const auto audit = bench.call<HistoryReply>(bench.second, Viewer, HistoryCall {10, true}).audit;
    REQUIRE(audit.size() == 2);
    CHECK(audit[0].code == ResultCode::ConfigOutcomeUnknown);
    // Sending the same change id again resolves the outcome.
    CHECK(bench.drain("c2", "b").revision == Revision(2));
}

TEST_CASE("changes are refused while the store is down and reads of the present state work", "[operator]")
{
    OperatorBench bench;
    bench.drain("c1", "a");
    bench.store.setDown(true);
    CHECK(bench.drain("c2", "b").code == ResultCode::StoreUnavailable);
    CHECK(bench.call<ShowReply>(bench.first, Viewer, ShowCall {}).objects.size() == 1);
    CHECK(bench.call<Error>(bench.first, Viewer, HistoryCall {5, false}).code == ResultCode::StoreUnavailable);
    CHECK(bench.call<StatusReply>(bench.first, Viewer, StatusCall {}).inForceHere == Revision(1));
}
