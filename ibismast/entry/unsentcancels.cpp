#include "ibismast/entry/unsentcancels.h"

namespace ibismast
{

namespace
{

// Largest number of cancellations kept for one agent. Further ones can be dropped, because agents cancel the attempts
// of an entry whose heartbeats have stopped.
constexpr std::size_t MaxCancels = 1'000;

} // namespace

void UnsentCancels::add(const InstanceId &agent, const AttemptId &attempt, TimePoint deadline)
{
    std::vector<Cancel> &cancels = m_cancels[agent];
    if (cancels.size() < MaxCancels) {
        cancels.push_back(Cancel {attempt, deadline});
    }
}

void UnsentCancels::send(const InstanceId &agent, TimePoint now, EntryActions &out)
{
    const auto cancels = m_cancels.find(agent);
    if (cancels == m_cancels.end()) {
        return;
    }
    for (const Cancel &cancel : cancels->second) {
        if (cancel.deadline > now) {
            out.emplace_back(SendToPeer {agent, CancelAttempt {cancel.attempt}});
        }
    }
    m_cancels.erase(cancels);
}

} // namespace ibismast
