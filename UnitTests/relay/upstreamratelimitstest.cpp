#include "ibismast/relay/relaycore.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

/// Entries that serve calls on the same engines, which name a rate limit in their responses.
class LimitedFleet
{
public:
    LimitedFleet(std::size_t entries, std::size_t engines, std::size_t limitedEngines)
    {
        RelayConfig config;
        config.version = RelayConfigVersion(1);
        RelayRoute route;
        route.host = "h";
        route.pathPrefix = "/g/";
        route.kind = CallKind::ResumableStream;
        route.shares = {{ServiceName("pool"), 1}};
        route.maxAttempts = 2;
        route.isPublic = true;
        config.routes.push_back(route);
        route.pathPrefix = "/p/";
        route.kind = CallKind::Idempotent;
        route.shares = {{ServiceName("plain"), 1}};
        config.routes.push_back(route);
        EngineProfile engine;
        engine.slots = 16;
        engine.memory = Tokens(315'000);
        config.services.emplace(ServiceName("pool"), RelayService {ServiceName("pool"), 64, engine});
        config.services.emplace(ServiceName("plain"), RelayService {ServiceName("plain"), 64, std::nullopt});
        UpstreamList list;
        list.revision = 1;
        for (const std::string service : {"pool", "plain"}) {
            for (std::size_t index = 0; index < engines; ++index) {
                UpstreamRecord &record = list.records.emplace_back();
                record.id = InstanceId(service + std::to_string(index));
                record.service = ServiceName(service);
                record.address = UpstreamAddress("10.0.0.1:" + std::to_string(list.records.size()));
                if (index < limitedEngines) {
                    m_limited.insert(record.id);
                }
            }
        }
        for (std::size_t index = 0; index < entries; ++index) {
            RelayCoreSettings settings;
            settings.self = InstanceId("entry" + std::to_string(index));
            m_entries.push_back(std::make_unique<RelayCore>(settings, index + 1, m_listener));
            m_entries.back()->applyConfig(config, m_now);
            m_entries.back()->directory().apply(list, m_now);
        }
    }

    /// Lets the entries serve @p rate calls a second at @p path in turn for @p time, while the engines name @p limit.
    void serve(const std::string &path, double rate, Duration time, std::optional<RequestRate> limit)
    {
        const TimePoint end = m_now + time;
        for (std::size_t index = 0; m_now < end; ++index) {
            m_now += fromSeconds(1.0 / rate);
            serveCall(path, index % m_entries.size(), limit);
        }
    }
    /// Largest number of calls that a limited engine has got in four seconds, counted from @p start.
    [[nodiscard]] std::size_t largestWindow(TimePoint start) const
    {
        std::size_t largest = 0;
        for (const auto &[engine, times] : m_sent) {
            for (auto first = std::ranges::lower_bound(times, start); first != times.end(); ++first) {
                const auto last = std::ranges::lower_bound(times, *first + 4s);
                largest = std::max(largest, static_cast<std::size_t>(last - first));
            }
        }
        return largest;
    }
    /// Number of calls that limited engines have got since @p start.
    [[nodiscard]] std::size_t sentSince(TimePoint start) const
    {
        std::size_t count = 0;
        for (const auto &[engine, times] : m_sent) {
            count += static_cast<std::size_t>(times.end() - std::ranges::lower_bound(times, start));
        }
        return count;
    }
    [[nodiscard]] TimePoint now() const
    {
        return m_now;
    }
    [[nodiscard]] int refused() const
    {
        return m_refused;
    }

private:
    void serveCall(const std::string &path, std::size_t index, std::optional<RequestRate> limit)
    {
        RelayCore &entry = *m_entries[index];
        IncomingCall incoming;
        incoming.requestId = "r";
        incoming.host = "h";
        incoming.path = path;
        incoming.size = {Tokens(path == "/g/" ? 1'000 : 0), Tokens(100)};
        RelayActions actions;
        entry.tick(m_now, actions);
        const Result<CallNumber> call = entry.submit(incoming, m_now, actions);
        REQUIRE(errorOf(call) == nullptr);
        for (std::size_t next = 0; next < actions.size(); ++next) {
            const auto *start = std::get_if<StartAttempt>(&actions[next].action);
            m_refused += std::holds_alternative<Refuse>(actions[next].action) ? 1 : 0;
            if (start == nullptr) {
                continue;
            }
            const InstanceId engine = start->plan.upstream.id;
            const bool limited = m_limited.contains(engine);
            if (limited) {
                m_sent[engine].push_back(m_now);
            }
            const int attempt = start->attempt;
            const CallNumber number = actions[next].call;
            RelayActions answers;
            ResponseHead head {200, false, true, {}, limited ? limit : std::nullopt};
            entry.headReceived(number, attempt, head, m_now, answers);
            entry.bodyReceived(number, attempt, "id: 1\ndata: x\n\n", m_now, answers);
            entry.responseCompleted(number, attempt, m_now, answers);
        }
        const LoadUpdate update = entry.takeLoadUpdate();
        for (std::size_t other = 0; other < m_entries.size(); ++other) {
            if (other != index) {
                m_entries[other]->applyLoadUpdate(entry.self(), update, m_now);
            }
        }
    }

    TimePoint m_now {1'000s};
    EventListener m_listener;
    std::vector<std::unique_ptr<RelayCore>> m_entries;
    std::set<InstanceId> m_limited;
    std::map<InstanceId, std::vector<TimePoint>> m_sent;
    int m_refused = 0;
};

} // namespace

// Load: more calls than some or all engines take. Guards against entries that send an engine more requests than the
// limit that it names (issue 26, LIMIT), each of them alone or all of them together, and against calls that are refused
// although other engines take them.
TEST_CASE("an upstream gets no more requests than the limit that it names", "[relay][load][!shouldfail]")
{
    const std::size_t entries = GENERATE(std::size_t {1}, std::size_t {3}, std::size_t {24});
    const std::string path = GENERATE(std::string("/g/"), std::string("/p/"));
    const std::size_t limitedEngines = GENERATE(std::size_t {3}, std::size_t {4});
    const double limit = GENERATE(0.0, 0.5, 1.0, 2.8, 12.0);
    LimitedFleet fleet(entries, 4, limitedEngines);
    fleet.serve(path, 60.0, 1s, std::nullopt);
    fleet.serve(path, 60.0, 500ms, RequestRate {limit});
    const TimePoint start = fleet.now();
    fleet.serve(path, 60.0, 20s, RequestRate {limit});
    CHECK(static_cast<double>(fleet.largestWindow(start)) <= 1.5 * 4.0 * limit + 5.0);
    if (limitedEngines < 4) {
        CHECK(fleet.refused() == 0);
    } else {
        // The limits are used.
        CHECK(static_cast<double>(fleet.sentSince(start)) >= 0.8 * 20.0 * limit * 4.0);
    }
}
