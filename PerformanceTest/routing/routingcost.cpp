#include "PerformanceTest/routing/routingcost.h"

#include "PerformanceTest/routing/allocationcounter.h"
#include "ibismast/entry/attemptdispatcher.h"
#include "ibismast/entry/entrycore.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>

namespace ibismast
{

namespace
{

constexpr std::array FleetSizes {100, 1'000, 10'000};
constexpr int Rounds = 15;
constexpr int DecisionsPerRound = 20'000;
constexpr int FailureDomains = 16;
constexpr int PrefixesPerUpstream = 64;
// Different prefixes of all prompts; each is cached at one member of a full subset on average.
constexpr std::uint64_t DifferentPrefixes = 2'000;
// 4,096 tokens, a short prompt.
constexpr std::size_t PromptBlocks = 8;
constexpr double LargestRatio = 1.3;

PeerFrame heartbeatOf(int number, SeededRandom &random)
{
    Heartbeat heartbeat;
    heartbeat.self.instance = InstanceId("upstream-" + std::to_string(number));
    heartbeat.self.incarnation = Incarnation(1);
    heartbeat.self.role = InstanceRole::Agent;
    heartbeat.self.domain = FailureDomain("domain-" + std::to_string(number % FailureDomains));
    heartbeat.load.emplace();
    // One model for all upstreams keeps the subset full, and so the decision the same, at each size of the fleet.
    heartbeat.load->models = {ModelName("model")};
    heartbeat.load->memoryCapacity = Tokens(1'000'000);
    heartbeat.load->prefillRate = 10'000.0;
    for (const PriorityClass priorityClass : AllPriorityClasses) {
        heartbeat.load->outstanding[classIndex(priorityClass)] =
            Tokens(static_cast<std::int64_t>(random.below(100'000)));
    }
    for (int prefix = 0; prefix < PrefixesPerUpstream; ++prefix) {
        heartbeat.load->cachedPrefixes.push_back(random.below(DifferentPrefixes));
    }
    return PeerFrame {heartbeat.self.instance, Incarnation(1), Revision(), heartbeat};
}

PeerSummary entrySummary()
{
    PeerSummary self;
    self.instance = InstanceId("entry-1");
    self.incarnation = Incarnation(1);
    return self;
}

CompletionRequest request(SeededRandom &random)
{
    CompletionRequest request;
    request.customer = CustomerId("customer-" + std::to_string(random.below(1'200)));
    request.model = ModelName("model");
    request.promptTokens = Tokens(4'000);
    request.maxOutputTokens = Tokens(300);
    request.timeLeft = std::chrono::seconds(30);
    for (std::size_t block = 0; block < PromptBlocks; ++block) {
        request.prefixHashes.push_back(random.below(DifferentPrefixes));
    }
    return request;
}

/// Median nanoseconds and mean bytes of one operation.
struct Cost
{
    double nanoseconds = 0.0;
    double bytes = 0.0;
};

/// Times rounds of an operation.
class Stopwatch
{
public:
    template<typename Operation> void round(Operation operation)
    {
        const std::uint64_t bytesBefore = allocatedBytes();
        const auto start = std::chrono::steady_clock::now();
        operation();
        const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - start;
        m_nanoseconds.push_back(elapsed.count() / DecisionsPerRound);
        m_bytes += static_cast<double>(allocatedBytes() - bytesBefore) / DecisionsPerRound;
    }

    [[nodiscard]] Cost cost()
    {
        std::ranges::sort(m_nanoseconds);
        return {m_nanoseconds[m_nanoseconds.size() / 2], m_bytes / static_cast<double>(m_nanoseconds.size())};
    }

private:
    std::vector<double> m_nanoseconds;
    double m_bytes = 0.0;
};

/// Entry with a fleet of a given size.
class Subject
{
public:
    explicit Subject(int upstreams)
        : m_size(upstreams)
        , m_random(5)
        , m_context({}, entrySummary(), 3, nullptr)
        , m_core(EntryCoreSettings(), entrySummary(), 3, nullptr)
    {
        EntryActions actions;
        for (int number = 0; number < upstreams; ++number) {
            const PeerFrame frame = heartbeatOf(number, m_random);
            const auto &heartbeat = std::get<Heartbeat>(frame.message);
            m_context.upstreams.noteFrame(frame.sender, frame.incarnation, Now);
            m_context.upstreams.applyHeartbeat(heartbeat, Now);
            m_core.handlePeer(frame, Now, actions);
        }
        // The entry hears regularly only from its subset.
        for (Upstream *upstream : m_context.upstreams.modelSubset(ModelName("model"))) {
            m_context.prefixes.update(*upstream, upstream->load.cachedPrefixes, Now);
        }
        for (int count = 0; count < DecisionsPerRound; ++count) {
            Completion &completion = m_completions.emplace_back();
            completion.request = request(m_random);
            completion.deadline = Now + completion.request.timeLeft;
        }
    }

    /// Chooses an upstream for each request, with the filters that the entry uses.
    void decide()
    {
        m_decisions.round([this] {
            for (const Completion &completion : m_completions) {
                const CompletionRequest &each = completion.request;
                const CompletionFilter filter(completion, m_context, Now);
                const RouteQuery query {
                    completion.priorityClass, each.promptTokens, m_context.prefixes.find(each.prefixHashes, Now)};
                Upstream *upstream = m_context.router.choose(
                    m_context.upstreams.modelSubset(each.model), query, filter, m_context.random);
                if (upstream == nullptr) {
                    std::puts("error: no upstream was chosen");
                    std::exit(1);
                }
                // The work is taken back at once, so that all rounds see the same load.
                m_context.upstreams.noteDispatched(*upstream, completion.priorityClass, completion.work());
                m_context.upstreams.noteRefused(*upstream, completion.priorityClass, completion.work());
            }
        });
    }

    /// Submits each request to an entry and ends it at once.
    void submit()
    {
        m_submissions.round([this] {
            EntryActions actions;
            for (const Completion &completion : m_completions) {
                actions.clear();
                const RequestId id = m_core.submit(completion.request, Now, actions);
                m_core.callerDisconnected(id, Now, actions);
            }
        });
    }

    void print()
    {
        const Cost submission = m_submissions.cost();
        decision = m_decisions.cost();
        std::printf("upstreams=%d decision_ns=%.0f decision_bytes=%.0f submit_ns=%.0f submit_bytes=%.0f\n",
                    m_size,
                    decision.nanoseconds,
                    decision.bytes,
                    submission.nanoseconds,
                    submission.bytes);
    }

    Cost decision;

private:
    static constexpr TimePoint Now {std::chrono::seconds(1'000)};

    int m_size;
    SeededRandom m_random;
    EntryContext m_context;
    EntryCore m_core;
    std::vector<Completion> m_completions;
    Stopwatch m_decisions;
    Stopwatch m_submissions;
};

} // namespace

int measureRoutingCost()
{
    std::vector<std::unique_ptr<Subject>> subjects;
    subjects.reserve(std::size(FleetSizes));
    for (const int size : FleetSizes) {
        subjects.push_back(std::make_unique<Subject>(size));
    }
    // The sizes take turns, so that a change of the machine's load meets all of them.
    for (int round = 0; round < Rounds; ++round) {
        for (const auto &subject : subjects) {
            subject->decide();
            subject->submit();
        }
    }
    double fastest = 1e18;
    double slowest = 0.0;
    for (const auto &subject : subjects) {
        subject->print();
        fastest = std::min(fastest, subject->decision.nanoseconds);
        slowest = std::max(slowest, subject->decision.nanoseconds);
    }
    std::printf("ratio=%.2f limit=%.2f\n", slowest / fastest, LargestRatio);
    return slowest / fastest <= LargestRatio ? 0 : 1;
}

} // namespace ibismast
