#include "ibismast/entry/completiontable.h"

namespace ibismast
{

Completion &CompletionTable::add(const RequestId &request)
{
    Completion &completion = m_completions[request];
    completion.id = request;
    return completion;
}

void CompletionTable::erase(const RequestId &request)
{
    m_completions.erase(request);
}

Completion *CompletionTable::find(const RequestId &request)
{
    const auto completion = m_completions.find(request);
    return completion == m_completions.end() ? nullptr : &completion->second;
}

CompletionTable::OpenAttempt CompletionTable::findOpenAttempt(const PeerFrame &frame, const AttemptId &id)
{
    Completion *completion = find(id.request);
    UpstreamAttempt *attempt = completion != nullptr ? completion->current(id) : nullptr;
    AttemptTarget *target = attempt != nullptr ? attempt->find(frame.sender) : nullptr;
    return target != nullptr && isOpen(target->state) ? OpenAttempt {completion, attempt, target} : OpenAttempt {};
}

std::vector<RequestId> CompletionTable::findByUpstream(const InstanceId &upstream)
{
    std::vector<RequestId> requests;
    for (auto &[id, completion] : m_completions) {
        const AttemptTarget *target = completion.attempts.empty() ? nullptr : completion.attempts.back().find(upstream);
        const bool runs = target != nullptr && isOpen(target->state);
        // A group member without a dispatched segment holds, or will be asked for, a memory reservation.
        const bool reserved = target == nullptr && completion.group && completion.group->contains(upstream);
        if (runs || reserved) {
            requests.push_back(id);
        }
    }
    return requests;
}

void CompletionTable::collectActive(std::set<InstanceId> &upstreams) const
{
    for (const auto &[id, completion] : m_completions) {
        if (completion.attempts.empty()) {
            continue;
        }
        for (const AttemptTarget &target : completion.attempts.back().targets) {
            if (isOpen(target.state)) {
                upstreams.insert(target.upstream);
            }
        }
        if (completion.group) {
            for (const GroupMember &member : completion.group->members()) {
                upstreams.insert(member.upstream);
            }
        }
    }
}

std::size_t CompletionTable::size() const
{
    return m_completions.size();
}

void CompletionTable::setPhase(Completion &completion, CompletionPhase phase, TimePoint until)
{
    completion.phase = phase;
    completion.phaseUntil = until;
    if (until != TimePoint::max()) {
        m_timers.schedule(until, completion.id);
    }
}

void CompletionTable::schedule(TimePoint due, const RequestId &request)
{
    m_timers.schedule(due, request);
}

Completion *CompletionTable::popDue(TimePoint now)
{
    while (const auto request = m_timers.popDue(now)) {
        if (Completion *completion = find(*request)) {
            return completion;
        }
    }
    return nullptr;
}

} // namespace ibismast
