#include "ibismast/relay/memberview.h"

namespace ibismast
{

MemberView::MemberView(const MemberViewSettings &settings) : m_settings(settings) { }

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

std::vector<InstanceId> MemberView::expire(TimePoint now)
{
    std::vector<InstanceId> gone;
    for (const auto &[id, known] : m_members) {
        if (now - known.lastHeard > m_settings.memberTimeout) {
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

std::vector<std::string> MemberView::unconfirmedAddresses() const
{
    std::vector<std::string> result;
    for (const auto &[address, since] : m_unconfirmed) {
        result.push_back(address);
    }
    return result;
}

} // namespace ibismast
