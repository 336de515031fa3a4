#include "ibismast/membership/membershiptable.h"

#include <algorithm>
#include <cassert>

namespace ibismast
{

std::string_view toString(MemberState state)
{
    switch (state) {
    case MemberState::Known:
        return "known";
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspected:
        return "suspected";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Dead:
        return "dead";
    }
    return "unknown";
}

Result<Success> MembershipTableSettings::validate() const
{
    if (deadAfter <= Duration::zero()) {
        return Error {ResultCode::SettingsInvalid, "MembershipTableSettings::deadAfter must be positive", std::nullopt};
    }
    if (forgetAfter <= Duration::zero()) {
        return Error {
            ResultCode::SettingsInvalid, "MembershipTableSettings::forgetAfter must be positive", std::nullopt};
    }
    return Success();
}

MembershipTable::MembershipTable(const MembershipTableSettings &settings, std::unique_ptr<FailureDetector> detector)
    : m_settings(settings), m_detector(std::move(detector))
{
    assert(m_detector);
}

void MembershipTable::changeState(Member &member, MemberState state, bool restarted, TimePoint now)
{
    if (member.state == state && !restarted) {
        return;
    }
    m_changes.push_back({member.summary.instance, member.summary.incarnation, member.state, state, restarted});
    member.state = state;
    member.changedAt = now;
}

void MembershipTable::heartbeat(const PeerSummary &sender, TimePoint now)
{
    const auto [entry, added] = m_members.try_emplace(sender.instance);
    Member &member = entry->second;
    if (added) {
        member.summary = sender;
        member.changedAt = now;
    } else if (sender.incarnation < member.summary.incarnation) {
        return;
    }
    const bool restarted = sender.incarnation > member.summary.incarnation;
    if (restarted) {
        // The intervals of the earlier run and the gap during the restart do not predict the intervals of this run.
        m_detector->forget(sender.instance);
    }
    const bool wasLeaving = member.state == MemberState::Leaving && !restarted;
    member.summary = sender;
    member.lastHeard = now;
    m_detector->heartbeatArrived(sender.instance, now);
    const bool leaves = wasLeaving || sender.state == InstanceState::Leaving;
    if (leaves) {
        member.summary.state = InstanceState::Leaving;
    }
    changeState(member, leaves ? MemberState::Leaving : MemberState::Alive, restarted, now);
}

void MembershipTable::indirectReport(const PeerSummary &reported, TimePoint now)
{
    const auto [entry, added] = m_members.try_emplace(reported.instance);
    Member &member = entry->second;
    if (added) {
        member.summary = reported;
        member.changedAt = now;
    } else if (reported.incarnation > member.summary.incarnation && member.state != MemberState::Alive) {
        // The earlier run has ended and cannot return. No heartbeat of the new run has arrived yet.
        member.summary = reported;
        member.lastHeard.reset();
        m_detector->forget(reported.instance);
        changeState(member, MemberState::Known, true, now);
    }
    if (reported.state == InstanceState::Leaving && reported.incarnation == member.summary.incarnation) {
        markLeaving(reported.instance, now);
    }
}

void MembershipTable::markLeaving(const InstanceId &instance, TimePoint now)
{
    const auto entry = m_members.find(instance);
    if (entry != m_members.end() && entry->second.state != MemberState::Dead) {
        entry->second.summary.state = InstanceState::Leaving;
        changeState(entry->second, MemberState::Leaving, false, now);
    }
}

void MembershipTable::tick(TimePoint now)
{
    for (auto entry = m_members.begin(); entry != m_members.end();) {
        Member &member = entry->second;
        const bool silent = m_detector->suspects(entry->first, now);
        const bool overdue = now - member.changedAt >= m_settings.deadAfter;
        const bool canBecomeDead =
            member.state == MemberState::Suspected || (member.state == MemberState::Leaving && silent);
        if (member.state == MemberState::Alive && silent) {
            changeState(member, MemberState::Suspected, false, now);
        } else if (canBecomeDead && overdue) {
            changeState(member, MemberState::Dead, false, now);
        }
        const bool removable = member.state == MemberState::Dead || !member.lastHeard;
        if (removable && now - member.changedAt >= m_settings.forgetAfter) {
            m_detector->forget(entry->first);
            entry = m_members.erase(entry);
        } else {
            ++entry;
        }
    }
}

std::vector<MemberChange> MembershipTable::takeChanges()
{
    return std::exchange(m_changes, {});
}

const Member *MembershipTable::find(const InstanceId &instance) const
{
    const auto entry = m_members.find(instance);
    return entry == m_members.end() ? nullptr : &entry->second;
}

const std::map<InstanceId, Member> &MembershipTable::members() const
{
    return m_members;
}

std::vector<PeerSummary> MembershipTable::alive() const
{
    std::vector<PeerSummary> result;
    for (const auto &[id, member] : m_members) {
        if (member.state == MemberState::Alive) {
            result.push_back(member.summary);
        }
    }
    return result;
}

std::vector<PeerSummary> MembershipTable::sample(SeededRandom &random) const
{
    std::vector<PeerSummary> candidates;
    for (const auto &[id, member] : m_members) {
        if (member.state == MemberState::Alive || member.state == MemberState::Leaving) {
            candidates.push_back(member.summary);
        }
    }
    const std::size_t count = std::min(m_settings.sampleSize, candidates.size());
    for (std::size_t index = 0; index < count; ++index) {
        std::swap(candidates[index], candidates[index + random.below(candidates.size() - index)]);
    }
    candidates.resize(count);
    return candidates;
}

} // namespace ibismast
