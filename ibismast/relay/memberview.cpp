#include "ibismast/relay/memberview.h"

#include <algorithm>
#include <utility>

namespace ibismast
{

MemberView::MemberView(const MemberViewSettings &settings, FailureDomain self)
    : m_settings(settings), m_self(std::move(self))
{
}

bool MemberView::isLocal(const EntryMember &member) const
{
    return member.domain.empty() || member.domain == m_self;
}

MemberView::MembershipChange MemberView::messageReceived(const EntryMember &member, TimePoint now)
{
    m_unconfirmed.erase(member.address);
    const auto found = m_members.find(member.id);
    if (found == m_members.end()) {
        if (m_members.size() < m_settings.maxMembers) {
            m_members.emplace(member.id, KnownMember {member, now});
        }
        return MembershipChange::Joined;
    }
    KnownMember &known = found->second;
    const bool restarted = member.incarnation != known.member.incarnation;
    known = KnownMember {member, now};
    return restarted ? MembershipChange::Restarted : MembershipChange::None;
}

void MemberView::addressReported(const std::string &address, TimePoint now)
{
    for (const auto &[id, known] : m_members) {
        if (known.member.address == address) {
            return;
        }
    }
    if (m_unconfirmed.size() < m_settings.maxMembers) {
        m_unconfirmed.try_emplace(address, now);
    }
}

std::vector<InstanceId> MemberView::expire(TimePoint now, bool remoteInTurns)
{
    const auto remote = static_cast<std::size_t>(std::ranges::count_if(m_members, [this](const auto &entry) {
        return !isLocal(entry.second.member);
    }));
    const std::size_t turns = (remote + m_settings.remoteHeartbeats - 1) / m_settings.remoteHeartbeats;
    const Duration turnTime = m_settings.heartbeatInterval * static_cast<int>(turns);
    const Duration remoteTimeout =
        remoteInTurns ? m_settings.memberTimeout + turnTime * m_settings.maxMissedTurns : m_settings.memberTimeout;
    std::vector<InstanceId> gone;
    for (const auto &[id, known] : m_members) {
        if (now - known.lastHeard > (isLocal(known.member) ? m_settings.memberTimeout : remoteTimeout)) {
            gone.push_back(id);
        }
    }
    for (const InstanceId &id : gone) {
        m_members.erase(id);
    }
    std::erase_if(m_unconfirmed, [this, now](const auto &entry) {
        return now - entry.second > m_settings.unconfirmedTimeout;
    });
    return gone;
}

std::vector<std::string> MemberView::addresses() const
{
    std::vector<std::string> result;
    for (const auto &[id, known] : m_members) {
        result.push_back(known.member.address);
    }
    return result;
}

std::vector<std::string> MemberView::localAddresses() const
{
    std::vector<std::string> result;
    for (const auto &[id, known] : m_members) {
        if (isLocal(known.member)) {
            result.push_back(known.member.address);
        }
    }
    return result;
}

std::vector<std::string> MemberView::addressesIn(const FailureDomain &domain) const
{
    std::vector<std::string> result;
    for (const auto &[id, known] : m_members) {
        if (known.member.domain == domain) {
            result.push_back(known.member.address);
        }
    }
    return result;
}

template<typename Filter>
std::vector<std::string> MemberView::nextAddresses(InstanceId &cursor, std::size_t count, const Filter &accepts)
{
    std::vector<std::string> result;
    auto place = m_members.upper_bound(cursor);
    for (std::size_t seen = 0; seen < m_members.size() && result.size() < count; ++seen) {
        if (place == m_members.end()) {
            place = m_members.begin();
        }
        if (accepts(place->second.member)) {
            result.push_back(place->second.member.address);
            cursor = place->first;
        }
        ++place;
    }
    return result;
}

std::vector<std::string> MemberView::nextRemoteAddresses()
{
    return nextAddresses(m_lastRemote, m_settings.remoteHeartbeats, [this](const EntryMember &member) {
        return !isLocal(member);
    });
}

std::vector<std::string> MemberView::nextReportedAddresses()
{
    return nextAddresses(m_lastReported, m_settings.reportedAddresses, [](const EntryMember & /*member*/) {
        return true;
    });
}

std::vector<std::string> MemberView::unconfirmedAddresses() const
{
    std::vector<std::string> result;
    for (const auto &[address, since] : m_unconfirmed) {
        result.push_back(address);
    }
    return result;
}

} // namespace ibismast
