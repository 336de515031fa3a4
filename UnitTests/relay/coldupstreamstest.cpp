#include "ibismast/relay/coldupstreams.h"
#include "ibismast/core/seededrandom.h"

#include <catch2/catch.hpp>

#include <memory>

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

constexpr double Rate = 26.0;
constexpr double Overrun = 1.5;
constexpr double Slack = 5.0;

RelayService coldService()
{
    return {ServiceName("pool"), 64, std::nullopt, 3s, {Rate}};
}

UpstreamRecord record(std::uint64_t incarnation, std::uint64_t reportNumber, Duration remaining = {})
{
    UpstreamRecord result;
    result.id = InstanceId("a");
    result.service = ServiceName("pool");
    result.incarnation = Incarnation(incarnation);
    result.reportNumber = reportNumber;
    result.coldRemaining = remaining;
    return result;
}

/// What goes wrong between the entries while an upstream is cold.
enum class Trouble {
    None,
    LostNews,
    /// The entries hear each other no more.
    Cut,
    /// The entries have never heard each other.
    NeverHeard,
    /// An entry stands still, and wakes with all that its callers have sent meanwhile.
    Freeze,
    /// The entries learn at different times that the upstream is cold.
    LateKnowledge,
    /// All entries start again and have forgotten everything.
    Restart,
};

/// Entries that send a cold upstream as much as they may.
class ColdFleet
{
public:
    ColdFleet(std::size_t entries, Trouble trouble) : m_trouble(trouble)
    {
        m_directory.apply({{record(1, 1)}, {1}}, m_now);
        for (std::size_t index = 0; index < entries; ++index) {
            m_entries.push_back(start(index));
        }
        for (m_now = TimePoint(1'000s); m_now < TimePoint(1'004s); m_now += 500ms) {
            greet();
        }
    }
    void run(Duration time)
    {
        const TimePoint begin = m_now;
        for (int step = 0; m_now < begin + time; m_now += 10ms, ++step) {
            for (std::size_t index = 0; index < m_entries.size(); ++index) {
                serve(index, m_now - begin);
            }
            if (step % 50 == 0) {
                greet();
            }
            if (m_trouble == Trouble::Restart && m_now - begin == 1500ms) {
                for (std::size_t index = 0; index < m_entries.size(); ++index) {
                    m_entries[index] = start(index);
                }
            }
        }
        std::ranges::sort(m_arrivals);
    }
    /// Largest number of requests that were sent and have arrived within a second.
    [[nodiscard]] std::size_t largestSecond() const
    {
        std::size_t largest = 0;
        for (auto first = m_arrivals.begin(); first != m_arrivals.end(); ++first) {
            const auto last = std::ranges::lower_bound(m_arrivals, *first + 1s);
            largest = std::max(largest, static_cast<std::size_t>(last - first));
        }
        return largest;
    }
    [[nodiscard]] std::size_t total() const
    {
        return m_arrivals.size();
    }

private:
    std::unique_ptr<ColdUpstreams> start(std::size_t index) const
    {
        ColdUpstreamsSettings settings;
        settings.overrun = Overrun;
        settings.slack = Slack;
        settings.hasPeers = true;
        auto entry = std::make_unique<ColdUpstreams>(settings, InstanceId("entry" + std::to_string(index)));
        entry->setServices({{ServiceName("pool"), coldService()}}, m_now);
        return entry;
    }
    [[nodiscard]] bool delivered()
    {
        switch (m_trouble) {
        case Trouble::LostNews:
            return m_random.uniform() < 0.3;
        case Trouble::Cut:
            return m_now < TimePoint(1'004s);
        case Trouble::NeverHeard:
            return false;
        default:
            return true;
        }
    }
    void tell(std::size_t sender, const std::vector<ColdUpstreamReport> &reports)
    {
        for (std::size_t other = 0; other < m_entries.size(); ++other) {
            if (other != sender && delivered()) {
                const InstanceId id("entry" + std::to_string(sender));
                m_entries[other]->noteEntry(id, m_now);
                m_entries[other]->apply(id, reports, m_now);
            }
        }
    }
    void greet()
    {
        for (std::size_t index = 0; index < m_entries.size(); ++index) {
            tell(index, m_entries[index]->nextReports(10, m_now));
        }
    }
    void serve(std::size_t index, Duration sinceBegin)
    {
        ColdUpstreams &entry = *m_entries[index];
        const UpstreamDirectory::Member &member = *m_directory.find(InstanceId("a"));
        const bool frozen = m_trouble == Trouble::Freeze && index == 0 && sinceBegin < 2s;
        const Duration learns = m_trouble == Trouble::LateKnowledge ? 30ms * static_cast<int>(index) : Duration();
        if (frozen || sinceBegin < learns) {
            return;
        }
        (void)entry.noteResponse(member.record, 3s, m_now);
        for (int call = 0; call < 5 && entry.allows(member, m_now); ++call) {
            (void)entry.noteSent(member, m_now, m_now);
            m_arrivals.push_back(m_now + fromSeconds(0.1 * m_random.uniform()));
            if (const auto report = entry.report(runKey(member.record), m_now)) {
                tell(index, {*report});
            }
        }
    }

    Trouble m_trouble;
    TimePoint m_now {999s};
    SeededRandom m_random {7};
    EventListener m_listener;
    UpstreamDirectory m_directory {UpstreamDirectorySettings(), m_listener};
    std::vector<std::unique_ptr<ColdUpstreams>> m_entries;
    std::vector<TimePoint> m_arrivals;
};

} // namespace

// Load: more calls than a cold upstream takes, at each of the entries. Guards against entries that together exceed the
// limit in some second (rule FAILBACK), whether they hear each other or not, and against an upstream that is left idle.
TEST_CASE("all entries together stay below the limit of a cold upstream", "[relay][load]")
{
    const std::size_t entries = GENERATE(as<std::size_t>(), 1, 2, 7, 30, 35, 60);
    const Trouble trouble = GENERATE(Trouble::None,
                                     Trouble::LostNews,
                                     Trouble::Cut,
                                     Trouble::NeverHeard,
                                     Trouble::Freeze,
                                     Trouble::LateKnowledge,
                                     Trouble::Restart);
    // Entries that start and hear nobody send one request in a second each.
    const bool blind = trouble == Trouble::NeverHeard || trouble == Trouble::Restart;
    if (blind && entries > static_cast<std::size_t>(Rate * Overrun + Slack)) {
        return;
    }
    CAPTURE(entries, static_cast<int>(trouble));
    ColdFleet fleet(entries, trouble);
    fleet.run(5s);
    CHECK(static_cast<double>(fleet.largestSecond()) <= Rate * Overrun + Slack);
    if (entries > 1 && trouble == Trouble::None) {
        CHECK(static_cast<double>(fleet.total()) >= Rate * 5.0 * 0.6);
    }
}

// Guards against an upstream that is flooded since one of the ways in which it shows that it is cold goes unnoticed,
// and against one that is held back although it is warm.
TEST_CASE("an upstream is cold by each source that says so", "[relay]")
{
    enum class Sign {
        FirstList,
        FirstListCold,
        Start,
        RestartWithId,
        RestartWithoutIncarnation,
        ReturnOfRun,
        ListAgain,
        Response,
        Report,
    };
    const auto [sign, expected] = GENERATE(table<Sign, bool>({{Sign::FirstList, false},
                                                              {Sign::FirstListCold, true},
                                                              {Sign::Start, true},
                                                              {Sign::RestartWithId, true},
                                                              {Sign::RestartWithoutIncarnation, true},
                                                              {Sign::ReturnOfRun, false},
                                                              {Sign::ListAgain, true},
                                                              {Sign::Response, true},
                                                              {Sign::Report, true}}));
    CAPTURE(static_cast<int>(sign));
    EventListener listener;
    UpstreamDirectory directory {UpstreamDirectorySettings(), listener};
    ColdUpstreamsSettings settings;
    settings.overrun = Overrun;
    ColdUpstreams cold(settings, InstanceId("entry"));
    cold.setServices({{ServiceName("pool"), coldService()}}, TimePoint(990s));
    TimePoint now {1'000s};
    const std::uint64_t born = sign == Sign::RestartWithoutIncarnation ? 0 : 1;
    UpstreamList list {{record(born, 5, sign == Sign::FirstListCold ? Duration(2s) : Duration())}, {1}};
    if (sign == Sign::Start) {
        list.records.clear();
    }
    directory.apply(list, now);
    const auto apply = [&](std::vector<UpstreamRecord> records) {
        now += 100ms;
        directory.apply({std::move(records), {++list.revision.number}}, now);
    };
    switch (sign) {
    case Sign::FirstList:
    case Sign::FirstListCold:
        break;
    case Sign::Start:
        apply({record(1, 1)});
        break;
    case Sign::RestartWithId:
        apply({record(2, 1)});
        break;
    case Sign::RestartWithoutIncarnation:
        apply({record(0, 1)});
        break;
    case Sign::ReturnOfRun:
        apply({});
        apply({record(1, 6)});
        break;
    case Sign::ListAgain:
        apply({record(1, 6, 1s)});
        break;
    case Sign::Response:
        CHECK(cold.noteResponse(record(1, 5), 2s, now));
        CHECK_FALSE(cold.noteResponse(record(1, 5), 2s, now));
        break;
    case Sign::Report:
        cold.apply(InstanceId("other"), {{runKey(record(1, 5)), 2s, 1}}, now);
        break;
    }
    const UpstreamDirectory::Member *member = directory.find(InstanceId("a"));
    REQUIRE(member != nullptr);
    CHECK(cold.remaining(*member, now).has_value() == expected);
    CHECK_FALSE(cold.remaining(*member, now + 3s).has_value());
}

// Guards against a burst to an upstream that has crashed and is back before the list says so.
TEST_CASE("an upstream that has failed gets few requests until it can be warm", "[relay]")
{
    const bool failed = GENERATE(false, true);
    EventListener listener;
    UpstreamDirectory directory {UpstreamDirectorySettings(), listener};
    ColdUpstreamsSettings settings;
    settings.overrun = Overrun;
    ColdUpstreams cold(settings, InstanceId("entry"));
    cold.setServices({{ServiceName("pool"), coldService()}}, TimePoint(990s));
    const TimePoint now {1'000s};
    directory.apply({{record(1, 1)}, {1}}, now);
    const UpstreamDirectory::Member &member = *directory.find(InstanceId("a"));
    if (failed) {
        cold.noteFailure(member, now);
    }
    int sent = 0;
    for (; sent < 100 && cold.allows(member, now); ++sent) {
        (void)cold.noteSent(member, now, now);
    }
    CHECK(sent == (failed ? 26 : 100));
    CHECK(cold.allows(member, now + 3s));
}
