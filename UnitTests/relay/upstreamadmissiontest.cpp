#include "ibismast/relay/relaycore.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;
using State = Admission::State;

namespace
{

/// Something that is known of an upstream, in the order in which it counts.
enum class Fact {
    FailedAttempts,
    UsedUpColdShare,
    UsedUpRate,
    Pause,
    LeavingInList,
    LeavingInResponse,
    Evacuation,
    Restart,
    Removal,
};

const std::vector<Fact> AllFacts {Fact::FailedAttempts,
                                  Fact::UsedUpColdShare,
                                  Fact::UsedUpRate,
                                  Fact::Pause,
                                  Fact::LeavingInList,
                                  Fact::LeavingInResponse,
                                  Fact::Evacuation,
                                  Fact::Restart,
                                  Fact::Removal};

class AdmissionFixture
{
protected:
    AdmissionFixture()
    {
        upstream.id = InstanceId("a");
        upstream.service = ServiceName("pool");
        upstream.domain = FailureDomain("z");
        upstream.incarnation = Incarnation(1);
        upstream.reportNumber = 1;
        RelayService service {upstream.service, 64, std::nullopt, 10s, {1.0}};
        cold.setServices({{upstream.service, service}}, now - 10s);
        list(upstream);
    }
    void list(const UpstreamRecord &record)
    {
        directory.apply({{record}, ++m_revision}, now);
    }
    /// Lets the admission learn of @p fact. Restart and removal come last, since a new run inherits nothing.
    void learn(Fact fact)
    {
        switch (fact) {
        case Fact::FailedAttempts:
            for (int count = 0; count < 5; ++count) {
                directory.noteFailure(upstream.id, now);
            }
            return;
        case Fact::UsedUpColdShare:
            (void)cold.noteResponse(upstream, 10s, now);
            (void)cold.noteSent(*directory.find(upstream.id), now, now);
            return;
        case Fact::UsedUpRate:
            (void)rateLimits.noteResponse(runKey(upstream), RequestRate {1.0}, now);
            (void)rateLimits.noteSent(runKey(upstream), now);
            return;
        case Fact::Pause:
            (void)pauses.begin(runKey(upstream), 10s, now);
            return;
        case Fact::LeavingInList: {
            UpstreamRecord leaving = upstream;
            leaving.leaving = true;
            list(leaving);
            return;
        }
        case Fact::LeavingInResponse:
            (void)directory.noteLeaving(upstream, now);
            return;
        case Fact::Evacuation:
            (void)evacuations.apply({{upstream.domain}, {1}}, "store", now);
            return;
        case Fact::Restart: {
            UpstreamRecord next = upstream;
            next.incarnation = Incarnation(2);
            list(next);
            return;
        }
        case Fact::Removal:
            directory.apply({{}, ++m_revision}, now);
            return;
        }
    }
    static State stateOf(Fact fact)
    {
        switch (fact) {
        case Fact::FailedAttempts:
            return State::Suspected;
        case Fact::UsedUpColdShare:
            return State::ColdLimited;
        case Fact::UsedUpRate:
            return State::RateLimited;
        case Fact::Pause:
            return State::Paused;
        case Fact::LeavingInList:
        case Fact::LeavingInResponse:
            return State::Leaving;
        case Fact::Evacuation:
            return State::Evacuated;
        case Fact::Restart:
            return State::Restarted;
        case Fact::Removal:
            return State::NotListed;
        }
        return State::Admitted;
    }

    EventListener listener;
    TimePoint now {1'000s};
    UpstreamDirectory directory {UpstreamDirectorySettings(), listener};
    UpstreamRateLimits rateLimits {UpstreamRateLimitsSettings()};
    UpstreamPauses pauses {UpstreamPausesSettings()};
    DomainEvacuations evacuations {{5s}, listener};
    ColdUpstreams cold {{.overrun = 1.0}, InstanceId("entry")};
    UpstreamAdmission admission {directory, rateLimits, pauses, evacuations, cold};
    UpstreamRecord upstream;

private:
    std::int64_t m_revision = 0;
};

} // namespace

// Guards against a reason to send nothing to an upstream that another source of information undoes: each pair, in both
// orders of arrival.
TEST_CASE_METHOD(AdmissionFixture, "the strongest reason against an upstream decides", "[relay]")
{
    const Fact first = GENERATE(from_range(AllFacts));
    const Fact second = GENERATE(from_range(AllFacts));
    const bool ends = first == Fact::Restart || first == Fact::Removal;
    if (first == second || ends) {
        return;
    }
    CAPTURE(static_cast<int>(first), static_cast<int>(second));
    learn(first);
    now += 100ms;
    learn(second);
    now += 100ms;
    const State strongest = std::max(stateOf(first), stateOf(second));
    const Admission planned = admission.decidePlanned(upstream, now);
    // The request was counted when it was planned.
    const auto withoutCount = [](State state) {
        return state == State::RateLimited || state == State::ColdLimited ? State::Admitted : state;
    };
    const State expected = std::max(withoutCount(stateOf(first)), withoutCount(stateOf(second)));
    CHECK(planned.state == expected);
    CHECK(planned.usable() == (expected <= State::Suspected));
    if (planned.state == State::Leaving || planned.state == State::Paused || planned.state == State::Evacuated) {
        REQUIRE(planned.age);
        CHECK(*planned.age >= 100ms);
        CHECK(*planned.age <= 200ms);
    }
    const UpstreamDirectory::Member *member = directory.find(upstream.id);
    if (second == Fact::Removal) {
        CHECK(member == nullptr);
        return;
    }
    REQUIRE(member != nullptr);
    const Admission fresh = admission.decide(*member, now);
    // A new run inherits neither limits nor notices, and its upstream is trusted again, but its domain stays evacuated.
    const State restarted = first == Fact::Evacuation ? State::Evacuated : State::Admitted;
    CHECK(fresh.state == (second == Fact::Restart ? restarted : strongest));
}

namespace
{

/// An entry with two engines; the fleet is of one entry.
class LeavingFixture
{
protected:
    LeavingFixture()
    {
        RelayConfig config;
        config.version = RelayConfigVersion(1);
        for (const auto &[prefix, kind] : {std::pair("/r/", CallKind::ResumableStream),
                                           std::pair("/s/", CallKind::Stream),
                                           std::pair("/i/", CallKind::Idempotent),
                                           std::pair("/u/", CallKind::AtMostOnce)}) {
            RelayRoute &route = config.routes.emplace_back();
            route.host = "h";
            route.pathPrefix = prefix;
            route.kind = kind;
            route.shares = {{ServiceName("pool"), 1}};
            route.maxAttempts = 2;
            route.isPublic = true;
        }
        config.services.emplace(ServiceName("pool"), RelayService {ServiceName("pool"), 64, std::nullopt});
        core.applyConfig(config, now);
        for (const std::string id : {"a", "b"}) {
            UpstreamRecord &record = list.records.emplace_back();
            record.id = InstanceId(id);
            record.service = ServiceName("pool");
            record.address = UpstreamAddress("10.0.0.1:" + std::to_string(80 + list.records.size()));
            record.incarnation = Incarnation(1);
        }
        list.revision.number = 1;
        core.directory().apply(list, now);
    }
    /// Submits a call and returns the upstream that it is sent to; `refused` if it is refused.
    std::string submit(const std::string &path)
    {
        IncomingCall call;
        call.requestId = "r" + std::to_string(++m_requests);
        call.host = "h";
        call.path = path;
        RelayActions actions;
        const Result<CallNumber> number = core.submit(call, now, actions);
        REQUIRE(errorOf(number) == nullptr);
        last = std::get<CallNumber>(number);
        return sentTo(actions);
    }
    static std::string sentTo(const RelayActions &actions)
    {
        for (const RelayAction &action : actions) {
            if (const auto *start = std::get_if<StartAttempt>(&action.action)) {
                return start->plan.upstream.id.value();
            }
            if (std::holds_alternative<Refuse>(action.action)) {
                return "refused";
            }
        }
        return "";
    }
    /// Lets the upstream of the last call answer that it is leaving; returns where the call goes on, if it does.
    std::string answerLeaving(int attempt, ResponseHead head)
    {
        head.notice.leaving = true;
        RelayActions actions;
        core.headReceived(last, attempt, head, now, actions);
        return sentTo(actions);
    }

    EventListener listener;
    RelayCore core {RelayCoreSettings(), 1, listener};
    TimePoint now {1'000s};
    UpstreamList list;
    CallNumber last;

private:
    int m_requests = 0;
};

} // namespace

// Guards against new calls and retries that go to an upstream whose responses say that it is leaving, while the list
// does not say so because the store is away (review case 4). An upstream says so in refusals and failures too.
TEST_CASE_METHOD(LeavingFixture,
                 "nothing new goes to an upstream that has announced its leave in a response",
                 "[relay]")
{
    const std::string path = GENERATE(as<std::string>(), "/r/", "/s/", "/i/", "/u/");
    const ResponseHead head = GENERATE(values<ResponseHead>({
        {200, false, true, {}},
        {500, false, true, {}},
        {503, true, true, {}},
    }));
    const bool listAgain = GENERATE(false, true);
    const std::string left = submit(path);
    REQUIRE((left == "a" || left == "b"));
    const std::string other = left == "a" ? "b" : "a";
    const std::string retried = answerLeaving(1, head);
    CHECK((retried.empty() || retried == other || retried == "refused"));
    if (listAgain) {
        // A list of before the leave, and a report of the upstream that does not mention it.
        core.directory().apply(list, now);
        ++list.revision.number;
        list.records[left == "a" ? 0 : 1].reportNumber = 7;
        core.directory().apply(list, now + 500ms);
    }
    for (int count = 0; count < 4; ++count) {
        now += 1s;
        CHECK(submit(path) == other);
    }
}

// Guards against a call that waits until its deadline although every upstream is leaving.
TEST_CASE_METHOD(LeavingFixture, "a call is refused at once if all upstreams are leaving", "[relay]")
{
    const std::string path = GENERATE(as<std::string>(), "/r/", "/u/");
    for (const UpstreamRecord &record : list.records) {
        core.sideNoticeReceived(record, {.leaving = true}, now);
    }
    CHECK(submit(path) == "refused");
}

// Guards against a stream that is cut because its upstream announces its leave while it still sends, and against a
// resumption at the upstream that is leaving.
TEST_CASE_METHOD(LeavingFixture, "a stream goes on at an upstream that is leaving, and resumes at another", "[relay]")
{
    const std::string left = submit("/r/");
    CHECK(answerLeaving(1, {200, false, true, {}}).empty());
    RelayActions actions;
    core.bodyReceived(last, 1, "id:1\ndata:x\n\n", now, actions);
    REQUIRE(actions.size() == 2);
    CHECK(std::holds_alternative<SendBody>(actions[1].action));
    actions.clear();
    core.attemptFailed(last, 1, AttemptFailure::Broken, "reset", now, actions);
    CHECK(sentTo(actions) == (left == "a" ? "b" : "a"));
}

// Guards against a planned attempt that waits or holds reserved memory and is sent to, or helped by, an upstream that
// has announced its leave meanwhile.
TEST_CASE_METHOD(LeavingFixture, "a leave invalidates the plans that use its upstream", "[relay]")
{
    const auto [leaving, usable] = GENERATE(table<std::size_t, bool>({{0, false}, {1, false}, {2, true}}));
    if (leaving < list.records.size()) {
        core.sideNoticeReceived(list.records[leaving], {.leaving = true}, now);
    }
    RelayCall call;
    call.service = ServiceName("pool");
    AttemptPlan plan;
    plan.upstream = list.records[0];
    plan.helpers.push_back({list.records[1], Tokens(1'000), {}});
    const std::optional<PlanFault> fault = core.planFault(call, plan, now + 1s);
    CHECK((!fault || !fault->unusable) == usable);
}
