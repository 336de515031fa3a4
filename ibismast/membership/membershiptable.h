#pragma once

#include "ibismast/core/messages.h"
#include "ibismast/core/seededrandom.h"
#include "ibismast/membership/failuredetector.h"

#include <map>
#include <memory>

namespace ibismast
{

/// State of an instance as this process sees it.
enum class MemberState : std::uint8_t {
    /// Known from another instance or the platform's list, but not heard yet.
    Known,
    Alive,
    /// Its heartbeats are missing; it gets no new work, but its work is not given up yet.
    Suspected,
    /// It has said that it is leaving, or the platform has. Lasts until it restarts.
    Leaving,
    /// Its work is given up. A heartbeat makes it alive again, because it may have been cut off only.
    Dead,
};

/// Returns the name of @p state for logs: `known`, `alive`, `suspected`, `leaving` or `dead`.
[[nodiscard]] std::string_view toString(MemberState state);

/// Settings of `MembershipTable`.
struct MembershipTableSettings
{
    /// Time for which an instance stays suspected before it is dead.
    Duration deadAfter = std::chrono::seconds(5);
    /// Time after which a dead or leaving instance that is silent is removed.
    Duration forgetAfter = std::chrono::minutes(5);
    /// Instances that a heartbeat passes on.
    std::size_t sampleSize = 4;

    /// Returns an error that names the first field outside its range.
    [[nodiscard]] Result<Success> validate() const;
};

/// One instance in a `MembershipTable`.
struct Member
{
    PeerSummary summary;
    MemberState state = MemberState::Known;
    TimePoint changedAt {};
    /// Time of the last heartbeat; unset if none arrived.
    std::optional<TimePoint> lastHeard;
};

/// Change of a member's state, or of its incarnation.
struct MemberChange
{
    InstanceId instance;
    Incarnation incarnation;
    MemberState before = MemberState::Known;
    MemberState after = MemberState::Known;
    /// True if another run of the instance has taken the place of the one that was known.
    bool restarted = false;
};

/// Instances that one process knows, with their incarnations and states.
class MembershipTable
{
public:
    MembershipTable(const MembershipTableSettings &settings, std::unique_ptr<FailureDetector> detector);

    /// Handles a heartbeat of an instance itself; one of an earlier incarnation is ignored.
    void heartbeat(const PeerSummary &sender, TimePoint now);
    /// Handles what another instance or the platform's list says. It adds instances and marks them as leaving, but
    /// never makes one alive, because it may be late.
    void hearsay(const PeerSummary &member, TimePoint now);
    /// The instance is leaving in its present incarnation.
    void leaving(const InstanceId &instance, TimePoint now);
    /// Updates the states at @p now.
    void tick(TimePoint now);
    /// Returns the changes since the last call.
    [[nodiscard]] std::vector<MemberChange> takeChanges();

    /// Returns the member, or null if it is unknown.
    [[nodiscard]] const Member *find(const InstanceId &instance) const;
    [[nodiscard]] const std::map<InstanceId, Member> &members() const;
    /// Returns the instances that are alive.
    [[nodiscard]] std::vector<PeerSummary> alive() const;
    /// Returns a random sample of live and leaving instances for the next heartbeat.
    [[nodiscard]] std::vector<PeerSummary> sample(SeededRandom &random) const;

private:
    void changeState(Member &member, MemberState state, bool restarted, TimePoint now);

    MembershipTableSettings m_settings;
    std::unique_ptr<FailureDetector> m_detector;
    std::map<InstanceId, Member> m_members;
    std::vector<MemberChange> m_changes;
};

} // namespace ibismast
