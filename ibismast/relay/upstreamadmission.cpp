#include "ibismast/relay/upstreamadmission.h"

namespace ibismast
{

std::string_view toText(Admission::State state)
{
    switch (state) {
    case Admission::State::Admitted:
        return "admitted";
    case Admission::State::Suspected:
        return "suspected";
    case Admission::State::ColdLimited:
        return "cold_limited";
    case Admission::State::RateLimited:
        return "rate_limited";
    case Admission::State::Paused:
        return "paused";
    case Admission::State::Leaving:
        return "leaving";
    case Admission::State::Evacuated:
        return "evacuated";
    case Admission::State::Restarted:
        return "restarted";
    case Admission::State::NotListed:
        return "not_listed";
    }
    return "unknown";
}

UpstreamAdmission::UpstreamAdmission(const UpstreamDirectory &directory,
                                     const UpstreamRateLimits &rateLimits,
                                     const UpstreamPauses &pauses,
                                     const DomainEvacuations &evacuations,
                                     const ColdUpstreams &cold)
    : m_directory(&directory), m_rateLimits(&rateLimits), m_pauses(&pauses), m_evacuations(&evacuations), m_cold(&cold)
{
}

Admission UpstreamAdmission::decide(const UpstreamDirectory::Member &member, TimePoint now) const
{
    return decide(member, false, now);
}

Admission UpstreamAdmission::decidePlanned(const UpstreamRecord &planned, TimePoint now) const
{
    const UpstreamDirectory::Member *member = m_directory->find(planned.id);
    if (member == nullptr) {
        return {Admission::State::NotListed, "list"};
    }
    if (member->record.incarnation != planned.incarnation || member->record.address != planned.address) {
        return {Admission::State::Restarted, "list", now - member->reportedAt};
    }
    return decide(*member, true, now);
}

Admission UpstreamAdmission::decide(const UpstreamDirectory::Member &member, bool counted, TimePoint now) const
{
    const UpstreamRunKey key = runKey(member.record);
    if (const std::optional<Duration> age = m_evacuations->ageOf(member.record.domain, now)) {
        return {Admission::State::Evacuated, "operators", age};
    }
    if (member.leaveNoticedAt) {
        return {Admission::State::Leaving, "response", now - *member.leaveNoticedAt};
    }
    if (member.record.leaving) {
        return {Admission::State::Leaving, "list", now - member.reportedAt};
    }
    if (m_pauses->endOf(key, now)) {
        return {Admission::State::Paused, "response", m_pauses->ageOf(key, now)};
    }
    if (!counted && !m_rateLimits->allows(key, now)) {
        return {Admission::State::RateLimited, "response", m_rateLimits->ageOf(key, now)};
    }
    if (!counted && !m_cold->allows(member, now)) {
        return {Admission::State::ColdLimited, "list", now - member.reportedAt};
    }
    if (m_directory->suspected(member, now)) {
        return {Admission::State::Suspected, "attempts"};
    }
    return {};
}

} // namespace ibismast
