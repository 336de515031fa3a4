#include "ibismast/relay/relaycore.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

/// What the store or another entry says of the evacuated domains, one letter each.
struct Snapshot
{
    std::string domains;
    RecordRevision revision;
    /// Time since the previous snapshot.
    Duration pause = 100ms;
};

std::string inForce(const DomainEvacuations &evacuations)
{
    std::string result;
    for (const std::string domain : {"x", "y", "z"}) {
        result += evacuations.contains(FailureDomain(domain)) ? domain : "";
    }
    return result;
}

} // namespace

// Guards against an evacuation that an older message undoes or repeats, and against one that is lost with a restored
// store although the operators have not ended it.
TEST_CASE("the evacuated domains follow the latest revision of the store", "[relay]")
{
    struct Row
    {
        std::vector<Snapshot> snapshots;
        std::string expected;
    };
    constexpr StoreEra Next(1);
    const Row row = GENERATE_COPY(values<Row>({
        {{}, ""},
        {{{"", {1}}, {"z", {2}}}, "z"},
        {{{"z", {2}}, {"", {3}}}, ""},
        {{{"z", {2}}, {"", {1}}}, "z"},
        {{{"", {3}}, {"z", {2}}}, ""},
        {{{"z", {2}}, {"yz", {3}}, {"y", {4}}}, "y"},
        // The copy lacks the evacuation, which the operators repeat or not within the settle time.
        {{{"z", {9}}, {"", {4, Next}}}, "z"},
        {{{"z", {9}}, {"", {4, Next}}, {"", {5, Next}, 9s}}, "z"},
        {{{"z", {9}}, {"", {4, Next}}, {"", {5, Next}, 11s}}, ""},
        {{{"z", {9}}, {"", {4, Next}}, {"z", {5, Next}}, {"z", {6, Next}, 11s}}, "z"},
        {{{"z", {9}}, {"", {4, Next}}, {"z", {5, Next}}, {"", {6, Next}}}, ""},
        {{{"z", {9}}, {"y", {4, Next}}, {"", {5, Next}}}, "z"},
        {{{"z", {9}}, {"z", {4, Next}}, {"", {5, Next}}}, ""},
        // News of the former era arrive late.
        {{{"", {4, Next}}, {"z", {9}}}, ""},
    }));
    EventListener listener;
    DomainEvacuations evacuations({5s}, listener);
    TimePoint now {1'000s};
    CHECK_FALSE(evacuations.ready());
    for (const Snapshot &snapshot : row.snapshots) {
        now += snapshot.pause;
        std::set<FailureDomain> domains;
        for (const char domain : snapshot.domains) {
            domains.emplace(std::string(1, domain));
        }
        (void)evacuations.apply({domains, snapshot.revision}, "store", now);
        evacuations.expire(now);
    }
    CHECK(inForce(evacuations) == row.expected);
    CHECK(evacuations.ready() != row.snapshots.empty());
}

// Guards against a deployment without evacuations that waits for them, or applies what another entry says.
TEST_CASE("evacuations are ignored where they are not used", "[relay]")
{
    EventListener listener;
    DomainEvacuations evacuations({}, listener);
    CHECK(evacuations.ready());
    CHECK_FALSE(evacuations.apply({{FailureDomain("z")}, {1}}, "store", TimePoint(1'000s)));
    CHECK(inForce(evacuations).empty());
}

namespace
{

/// An entry with a stream and a plain service of two upstreams each, one in the domain "y" and one in "z".
class EvacuationFixture
{
protected:
    EvacuationFixture()
    {
        RelayConfig config;
        config.version = RelayConfigVersion(1);
        EngineProfile engine;
        engine.slots = 4;
        engine.memory = Tokens(315'000);
        for (const auto &[name, profile, kind] :
             {std::tuple("engines", std::optional(engine), CallKind::ResumableStream),
              std::tuple("plain", std::optional<EngineProfile>(), CallKind::Idempotent)}) {
            RelayRoute &route = config.routes.emplace_back();
            route.host = "h";
            route.pathPrefix = std::string("/") + name + "/";
            route.kind = kind;
            route.shares = {{ServiceName(name), 1}};
            route.maxAttempts = 3;
            route.isPublic = true;
            config.services.emplace(ServiceName(name), RelayService {ServiceName(name), 64, profile});
            for (const std::string domain : {"y", "z"}) {
                UpstreamRecord &record = list.records.emplace_back();
                record.id = InstanceId(name + ("-" + domain));
                record.service = ServiceName(name);
                record.domain = FailureDomain(domain);
                record.address = UpstreamAddress("10.0.0.1:" + std::to_string(list.records.size()));
            }
        }
        list.revision.number = 1;
        core.applyConfig(config, now);
        core.directory().apply(list, now);
    }
    static RelayCoreSettings settings()
    {
        RelayCoreSettings result;
        result.domain = FailureDomain("z");
        result.evacuations.applyTime = 5s;
        return result;
    }
    void evacuate(std::set<FailureDomain> domains)
    {
        (void)core.evacuations().apply({std::move(domains), {++m_revision}}, "store", now);
    }
    /// Submits a call and returns the domain that it is sent to; `refused` if it is refused, `error` if not admitted.
    std::string submit(const std::string &path)
    {
        IncomingCall call;
        call.requestId = "r";
        call.host = "h";
        call.path = path;
        call.size = {path == "/engines/" ? Tokens(1'000) : Tokens(), Tokens(100)};
        RelayActions actions;
        const Result<CallNumber> number = core.submit(call, now, actions);
        if (errorOf(number) != nullptr) {
            return "error";
        }
        last = std::get<CallNumber>(number);
        return sentTo(actions);
    }
    static std::string sentTo(const RelayActions &actions)
    {
        for (const RelayAction &action : actions) {
            if (const auto *start = std::get_if<StartAttempt>(&action.action)) {
                return start->plan.upstream.domain.value();
            }
            if (std::holds_alternative<Refuse>(action.action)) {
                return "refused";
            }
        }
        return "";
    }

    EventListener listener;
    RelayCore core {settings(), 1, listener};
    TimePoint now {1'000s};
    UpstreamList list;
    CallNumber last;

private:
    std::int64_t m_revision = 0;
};

} // namespace

// Guards against an entry that has just started and sends to a domain of whose evacuation it has not heard yet.
TEST_CASE_METHOD(EvacuationFixture, "an entry serves only once it knows the evacuated domains", "[relay]")
{
    CHECK_FALSE(core.ready());
    CHECK(submit("/plain/") == "error");
    evacuate({});
    CHECK(core.ready());
    CHECK(submit("/plain/") == "z");
}

// Guards against calls that are sent to an evacuated domain, also the entry's own, and against one that is not used
// again after its evacuation.
TEST_CASE_METHOD(EvacuationFixture, "new calls avoid evacuated domains", "[relay]")
{
    const std::string path = GENERATE("/engines/", "/plain/");
    const std::string evacuated = GENERATE("y", "z");
    const std::string other = evacuated == "y" ? "z" : "y";
    evacuate({FailureDomain(evacuated)});
    for (int count = 0; count < 3; ++count) {
        CHECK(submit(path) == other);
    }
    evacuate({FailureDomain("y"), FailureDomain("z")});
    CHECK(submit(path) == "refused");
    evacuate({FailureDomain(other)});
    CHECK(submit(path) == evacuated);
}

// Guards against retries and resumptions in a domain that was evacuated during the first attempt, and against streams
// that are cut by an evacuation.
TEST_CASE_METHOD(EvacuationFixture, "a call that runs goes on, and is repeated outside of evacuated domains", "[relay]")
{
    const std::string path = GENERATE("/engines/", "/plain/");
    const bool begun = GENERATE(false, true);
    const bool bothEvacuated = GENERATE(false, true);
    if (begun && path == "/plain/") {
        return;
    }
    evacuate({});
    const std::string first = submit(path);
    const std::string other = first == "y" ? "z" : "y";
    evacuate(bothEvacuated ? std::set {FailureDomain("y"), FailureDomain("z")} : std::set {FailureDomain(other)});
    RelayActions actions;
    core.tick(now, actions);
    CHECK(actions.empty());
    if (begun) {
        core.headReceived(last, 1, {200, false, true, {}}, now, actions);
        core.bodyReceived(last, 1, "id:1\ndata:x\n\n", now, actions);
        REQUIRE(actions.size() == 2);
        CHECK(std::holds_alternative<SendBody>(actions[1].action));
        actions.clear();
    }
    core.attemptFailed(last, 1, AttemptFailure::Broken, "reset", now, actions);
    CHECK(sentTo(actions) != other);
    CHECK((!bothEvacuated || sentTo(actions) != first));
    // A stream that has begun waits for room until its domain is back.
    for (int step = 0; step < 10 && begun; ++step) {
        now += 20ms;
        actions.clear();
        core.tick(now, actions);
        CHECK(sentTo(actions).empty());
    }
    if (begun) {
        evacuate({});
        now += 300ms;
        actions.clear();
        core.tick(now, actions);
        CHECK(sentTo(actions) == other);
    }
}

// Guards against a planned attempt that waits, or holds reserved memory, and is sent to or helped by an upstream in a
// domain that was evacuated meanwhile.
TEST_CASE_METHOD(EvacuationFixture, "an evacuation invalidates the plans that use its domain", "[relay]")
{
    const auto [evacuated, usable] = GENERATE(table<std::string, bool>({{"y", false}, {"z", false}, {"x", true}}));
    evacuate({FailureDomain(evacuated)});
    RelayCall call;
    call.service = ServiceName("engines");
    AttemptPlan plan;
    plan.upstream = list.records[0];
    plan.helpers.push_back({list.records[1], Tokens(1'000), {}});
    const std::optional<PlanFault> fault = core.planFault(call, plan, now + 1s);
    CHECK((!fault || !fault->unusable) == usable);
}

// Guards against reservations in a domain that was evacuated while the memory was being reserved.
TEST_CASE_METHOD(EvacuationFixture, "a call that has reserved memory is not sent into an evacuated domain", "[relay]")
{
    evacuate({});
    IncomingCall call;
    call.requestId = "r";
    call.host = "h";
    call.path = "/engines/";
    call.size = {Tokens(350'000), Tokens(100)};
    RelayActions actions;
    const Result<CallNumber> number = core.submit(call, now, actions);
    REQUIRE(errorOf(number) == nullptr);
    REQUIRE(actions.size() == 1);
    const auto *reserve = std::get_if<ReserveEngineMemory>(&actions[0].action);
    REQUIRE(reserve != nullptr);
    const std::size_t holders = reserve->holders.size();
    const std::string evacuated = GENERATE("y", "z");
    evacuate({FailureDomain(evacuated)});
    actions.clear();
    core.memoryReserved(std::get<CallNumber>(number), 1, true, now, actions);
    CHECK(sentTo(actions) != evacuated);
    for (const RelayAction &action : actions) {
        if (const auto *again = std::get_if<ReserveEngineMemory>(&action.action)) {
            CHECK(std::ranges::none_of(again->holders, [&evacuated](const AttemptHelper &holder) {
                return holder.upstream.domain.value() == evacuated;
            }));
        }
    }
    // The memory is released, also in the evacuated domain.
    const auto *release = actions.empty() ? nullptr : std::get_if<ReleaseEngineMemory>(&actions[0].action);
    REQUIRE(release != nullptr);
    CHECK(release->holders.size() == holders);
}
