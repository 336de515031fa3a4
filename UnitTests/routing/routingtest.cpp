#include "ibismast/routing/router.h"
#include "ibismast/routing/upstreamview.h"

#include <catch2/catch.hpp>

#include <set>

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint Now(1'000s);

class AcceptAll : public RouteFilter
{
public:
    [[nodiscard]] bool accepts(const Upstream & /*upstream*/) const override
    {
        return true;
    }
};

std::string nameOf(int number)
{
    return "u" + std::to_string(number);
}

void report(UpstreamView &view,
            int number,
            InstanceState state = InstanceState::Ready,
            std::uint64_t incarnation = 1,
            TimePoint now = Now)
{
    Heartbeat heartbeat;
    heartbeat.self.instance = InstanceId(nameOf(number));
    heartbeat.self.incarnation = Incarnation(incarnation);
    heartbeat.self.role = InstanceRole::Agent;
    heartbeat.self.state = state;
    heartbeat.self.domain = FailureDomain("d" + std::to_string(number % 4));
    heartbeat.load.emplace();
    heartbeat.load->models = {ModelName("m")};
    heartbeat.load->prefillRate = 1'000.0;
    view.noteFrame(heartbeat.self.instance, heartbeat.self.incarnation, now);
    view.applyHeartbeat(heartbeat, now);
}

std::set<InstanceId> subsetOf(const UpstreamView &view)
{
    std::set<InstanceId> ids;
    for (const Upstream *upstream : view.modelSubset(ModelName("m"))) {
        ids.insert(upstream->id);
    }
    return ids;
}

} // namespace

// Guards against subsets that miss a failure domain, or that change largely when one upstream leaves.
TEST_CASE("the subset is bounded, covers all domains and is stable", "[routing]")
{
    UpstreamView view({}, InstanceId("entry-1"));
    for (int number = 0; number < 200; ++number) {
        report(view, number);
    }
    const auto before = subsetOf(view);
    CHECK(before.size() == 32);
    std::set<FailureDomain> domains;
    for (const InstanceId &id : before) {
        domains.insert(view.find(id)->domain);
    }
    CHECK(domains.size() == 4);
    view.markLeaving(*before.begin());
    const auto after = subsetOf(view);
    CHECK(after.size() == 32);
    std::vector<InstanceId> kept;
    std::ranges::set_intersection(before, after, std::back_inserter(kept));
    CHECK(kept.size() == 31);
}

// Guards against all entries sending their requests to the same few upstreams.
TEST_CASE("entries have different subsets", "[routing]")
{
    UpstreamView first({}, InstanceId("entry-1"));
    UpstreamView second({}, InstanceId("entry-2"));
    for (int number = 0; number < 200; ++number) {
        report(first, number);
        report(second, number);
    }
    CHECK(subsetOf(first) != subsetOf(second));
}

// Guards against new work for an upstream that was reported as leaving.
TEST_CASE("a leaving upstream gets no work until its next incarnation", "[routing]")
{
    UpstreamView view({}, InstanceId("entry-1"));
    report(view, 1);
    REQUIRE(subsetOf(view).size() == 1);
    const int signal = GENERATE(0, 1, 2);
    if (signal == 0) {
        report(view, 1, InstanceState::Leaving);
    } else if (signal == 1) {
        view.markLeavingByList(InstanceId("u1"), Now);
    } else {
        view.markLeaving(InstanceId("u1"));
    }
    CHECK(subsetOf(view).empty());
    report(view, 1, InstanceState::Ready);
    CHECK(subsetOf(view).empty());
    report(view, 1, InstanceState::Ready, 2);
    CHECK(subsetOf(view).size() == 1);
}

// Guards against an outdated instance list that marks the next incarnation of an instance as leaving.
TEST_CASE("an outdated leaving state in the instance list does not affect the next incarnation", "[routing]")
{
    UpstreamView view({}, InstanceId("entry-1"));
    report(view, 1);
    view.markLeavingByList(InstanceId("u1"), Now);
    report(view, 1, InstanceState::Ready, 2, Now + 2s);
    view.markLeavingByList(InstanceId("u1"), Now + 3s);
    CHECK(subsetOf(view).size() == 1);
}

// Guards against work for upstreams whose agents have stopped, and against late messages of an earlier incarnation.
TEST_CASE("silent upstreams are suspected, then lost", "[routing]")
{
    UpstreamView view({}, InstanceId("entry-1"));
    report(view, 1);
    CHECK(view.checkSilence(Now + 2s).empty());
    CHECK(subsetOf(view).size() == 1);
    CHECK(view.checkSilence(Now + 3s).empty());
    CHECK(subsetOf(view).empty());
    CHECK(view.checkSilence(Now + 6s) == std::vector<InstanceId> {InstanceId("u1")});
    report(view, 1, InstanceState::Ready, 2, Now + 7s);
    CHECK(subsetOf(view).size() == 1);
    CHECK(view.noteFrame(InstanceId("u1"), Incarnation(1), Now + 7s) == UpstreamView::Change::Stale);
}

// Guards against a thundering herd: many requests sent to the same upstream on the basis of one load report.
TEST_CASE("work dispatched by this entry counts until a load report includes it", "[routing]")
{
    UpstreamView view({}, InstanceId("entry-1"));
    report(view, 1);
    Upstream &upstream = *view.find(InstanceId("u1"));
    view.noteDispatched(upstream, PriorityClass::Short, Tokens(100));
    view.noteDispatched(upstream, PriorityClass::Short, Tokens(50));
    view.noteDispatched(upstream, PriorityClass::Short, Tokens(7));
    view.noteAccepted(upstream, PriorityClass::Short, Tokens(100));
    view.noteRefused(upstream, PriorityClass::Short, Tokens(7));
    CHECK(upstream.outstanding(PriorityClass::Short) == Tokens(150));
    report(view, 1);
    CHECK(upstream.outstanding(PriorityClass::Short) == Tokens(50));
}

// Guards against uneven load and against ignored prefix hits: the candidate with the lower cost must be chosen.
TEST_CASE("the router balances load and prefers cached prefixes", "[routing]")
{
    UpstreamView view({}, InstanceId("entry-1"));
    for (int number = 0; number < 8; ++number) {
        report(view, number);
    }
    const Router router({});
    SeededRandom random(3);
    std::map<InstanceId, int> chosen;
    for (int request = 0; request < 800; ++request) {
        const RouteQuery query {PriorityClass::Short, Tokens(1'000), {}};
        Upstream *upstream = router.choose(view.modelSubset(ModelName("m")), query, AcceptAll(), random);
        REQUIRE(upstream != nullptr);
        ++chosen[upstream->id];
        view.noteDispatched(*upstream, PriorityClass::Short, Tokens(1'000));
    }
    for (const auto &[id, count] : chosen) {
        CHECK(count > 90);
        CHECK(count < 110);
    }

    PrefixIndex prefixes({});
    Upstream &holder = *view.find(InstanceId("u5"));
    prefixes.update(holder, {1, 2, 3, 4}, Now);
    RouteQuery query {PriorityClass::Short, Tokens(2'048), prefixes.find({1, 2, 3, 4}, Now)};
    CHECK(query.hits[0].tokens == Approx(2'048.0));
    CHECK(router.choose(view.modelSubset(ModelName("m")), query, AcceptAll(), random)->id == holder.id);
}

// Guards against routing by outdated reports of cached prefixes.
TEST_CASE("prefix reports lose weight with age and are ignored after a restart", "[routing]")
{
    UpstreamView view({}, InstanceId("entry-1"));
    report(view, 1);
    PrefixIndex prefixes({});
    prefixes.update(*view.find(InstanceId("u1")), {1, 2}, Now);
    const double fresh = prefixes.find({1, 2}, Now)[0].tokens;
    CHECK(prefixes.find({1, 2}, Now + 30s)[0].tokens == Approx(fresh / 2));
    CHECK(prefixes.find({1, 9}, Now)[0].tokens == Approx(fresh / 2));
    report(view, 1, InstanceState::Ready, 2);
    CHECK(prefixes.find({1, 2}, Now)[0].upstream == nullptr);
}
