#pragma once

#include "ibismast/relay/coldupstreams.h"
#include "ibismast/relay/domainevacuations.h"
#include "ibismast/relay/upstreamdirectory.h"
#include "ibismast/relay/upstreampauses.h"
#include "ibismast/relay/upstreamratelimits.h"

namespace ibismast
{

/// Decision whether an upstream may get a request now.
struct Admission
{
    enum class State : std::uint8_t {
        Admitted,
        /// Gets requests only if no admitted upstream has room.
        Suspected,
        /// This entry has used up its share of what the upstream takes while it is cold.
        ColdLimited,
        /// The entries have used up the rate that the upstream takes.
        RateLimited,
        /// The upstream has asked this entry for a pause.
        Paused,
        Leaving,
        /// The operators have evacuated the failure domain of the upstream.
        Evacuated,
        /// The run of the upstream has ended, and another one has its id.
        Restarted,
        NotListed,
    };

    State state = State::Admitted;
    /// Where the information that decided is from: `list`, `response`, `attempts`, `operators` or `none`.
    std::string_view source = "none";
    /// Age of this information; empty if it has none.
    std::optional<Duration> age {};

    /// True if the upstream may get requests, though others may be better.
    [[nodiscard]] bool usable() const
    {
        return state == State::Admitted || state == State::Suspected;
    }
};

/// Returns the name of @p state in log events.
[[nodiscard]] std::string_view toText(Admission::State state);

/// Decides from all that is known of an upstream whether it may get a request. The strongest reason against it counts,
/// in the order of `Admission::State`.
class UpstreamAdmission
{
public:
    /// The arguments must outlive the object.
    UpstreamAdmission(const UpstreamDirectory &directory,
                      const UpstreamRateLimits &rateLimits,
                      const UpstreamPauses &pauses,
                      const DomainEvacuations &evacuations,
                      const ColdUpstreams &cold);

    /// Decides about a new request to @p member.
    [[nodiscard]] Admission decide(const UpstreamDirectory::Member &member, TimePoint now) const;
    /// Decides about a request that was planned for the run of the upstream that @p planned describes and counted
    /// against its limits on requests, but not sent yet.
    [[nodiscard]] Admission decidePlanned(const UpstreamRecord &planned, TimePoint now) const;

private:
    [[nodiscard]] Admission decide(const UpstreamDirectory::Member &member, bool counted, TimePoint now) const;

    const UpstreamDirectory *m_directory;
    const UpstreamRateLimits *m_rateLimits;
    const UpstreamPauses *m_pauses;
    const DomainEvacuations *m_evacuations;
    const ColdUpstreams *m_cold;
};

} // namespace ibismast
