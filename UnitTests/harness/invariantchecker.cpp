#include "UnitTests/harness/invariantchecker.h"

#include <algorithm>

namespace ibismast::harness
{

namespace
{

/// P6: an upstream that is leaving receives no new work after this time.
constexpr Duration LeavingLimit = std::chrono::seconds(2);

class Checker
{
public:
    explicit Checker(const RunRecord &run) : m_run(run) { }

    std::vector<Violation> check()
    {
        for (const CallerRecord &caller : m_run.callers) {
            checkEnding(caller);
            checkAnswer(caller);
            checkNotRun(caller);
        }
        checkMemory();
        checkServiceRuns();
        checkLeaving();
        return std::move(m_violations);
    }

private:
    void checkEnding(const CallerRecord &caller)
    {
        if (caller.ending == Ending::ConnectionLost) {
            return;
        }
        if (caller.finals != 1) {
            add("P1", caller, "got " + std::to_string(caller.finals) + " final deliveries");
        } else if (caller.ended > caller.deadline) {
            add("P1", caller, "ended " + std::to_string((caller.ended - caller.deadline).count()) + " us late");
        }
        const bool succeeded = caller.ending == Ending::Answer || caller.ending == Ending::ServiceReply;
        if (caller.mustSucceed && !succeeded) {
            add("P7", caller, "was cut by a planned stop: " + caller.error.message);
        }
    }

    void checkAnswer(const CallerRecord &caller)
    {
        if (caller.isService) {
            if (caller.ending == Ending::ServiceReply && caller.reply != caller.logicalCall) {
                add("P3", caller, "got the reply of call " + caller.reply);
            }
            return;
        }
        const bool isPrefix = caller.tokens.size() <= caller.expectedTokens.size()
            && std::equal(caller.tokens.begin(), caller.tokens.end(), caller.expectedTokens.begin());
        if (!isPrefix) {
            add("P3", caller, "got tokens that are not a prefix of its answer");
        }
        if (caller.ending != Ending::Answer) {
            return;
        }
        if (caller.tokens.size() != caller.expectedTokens.size()) {
            add("P3", caller, "got " + std::to_string(caller.tokens.size()) + " tokens as its whole answer");
        }
        if (caller.reportedTokens.value() != static_cast<std::int64_t>(caller.tokens.size())) {
            add("P3", caller, "got a wrong token count");
        }
    }

    void checkNotRun(const CallerRecord &caller)
    {
        if (caller.ending != Ending::Failure || !resultCodeInfo(caller.error.code).notRun) {
            return;
        }
        if (m_run.startedRequests.contains(caller.request) || !caller.tokens.empty()) {
            add("P4", caller, "was told not run: " + caller.error.message);
        }
    }

    void checkMemory()
    {
        for (const Residue &residue : m_run.residues) {
            if (residue.engineMemory.value() != 0 || residue.reservedMemory.value() != 0 || residue.openWork != 0) {
                m_violations.push_back({"P2",
                                        residue.instance.value() + " holds "
                                            + std::to_string(residue.engineMemory.value()) + " tokens in the engine, "
                                            + std::to_string(residue.reservedMemory.value()) + " reserved, "
                                            + std::to_string(residue.openWork) + " open"});
            }
        }
    }

    void checkServiceRuns()
    {
        for (const auto &[call, runs] : m_run.serviceRuns) {
            if (runs > 1) {
                m_violations.push_back({"P5", "call " + call + " ran " + std::to_string(runs) + " times"});
            }
        }
    }

    void checkLeaving()
    {
        for (const auto &[upstream, time] : m_run.starts) {
            const auto leaving = m_run.leavingSince.find(upstream);
            if (leaving != m_run.leavingSince.end() && time > leaving->second + LeavingLimit) {
                m_violations.push_back({"P6", upstream.value() + " got new work while it was leaving"});
            }
        }
    }

    void add(const char *property, const CallerRecord &caller, const std::string &text)
    {
        m_violations.push_back({property, "request " + toString(caller.request) + ' ' + text});
    }

    const RunRecord &m_run;
    std::vector<Violation> m_violations;
};

} // namespace

std::vector<Violation> checkInvariants(const RunRecord &run)
{
    return Checker(run).check();
}

} // namespace ibismast::harness
