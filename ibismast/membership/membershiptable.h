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
    /// Reported by another instance or the platform's instance list; no heartbeat received yet.
    Known,
    Alive,
    /// Its heartbeats are missing. It gets no new work, but its current work is not yet treated as lost.
    Suspected,
    /// The instance or the platform announced that it is leaving. Lasts until it restarts or is declared dead.
    Leaving,
    /// Its work is treated as lost. A heartbeat makes it alive again, because it may only have been unreachable.
    Dead,
};

/// Returns the name of @p state for logs: `known`, `alive`, `suspected`, `leaving` or `dead`.
[[nodiscard]] std::string_view toString(MemberState state);

/// Settings of `MembershipTable`.
struct MembershipTableSettings
{
    /// Time after which a suspected instance, or a leaving one whose heartbeats are missing, is declared dead. Counted
    /// from its last change of state.
    Duration deadAfter = std::chrono::seconds(5);
    /// Time after which an instance that is dead or never sent a heartbeat is removed. Counted from its last change of
    /// state.
    Duration forgetAfter = std::chrono::minutes(5);
    /// Maximum number of members whose summaries are included in a heartbeat.
    std::size_t sampleSize = 4;

    /// Returns an error that names the first field outside its range.
    [[nodiscard]] Result<Success> validate() const;
};

/// Instance in a `MembershipTable`.
struct Member
{
    PeerSummary summary;
    MemberState state = MemberState::Known;
    /// Time of the last change of state, or of the first report.
    TimePoint changedAt {};
    /// Time of the last heartbeat of this incarnation; unset if none arrived.
    std::optional<TimePoint> lastHeard;
};

/// Change of a member's state, or of its incarnation.
struct MemberChange
{
    InstanceId instance;
    Incarnation incarnation;
    MemberState before = MemberState::Known;
    MemberState after = MemberState::Known;
    /// True if the instance was restarted, so that its incarnation has changed.
    bool restarted = false;
};

/// Instances known to this process, with their incarnations and states.
class MembershipTable
{
public:
    MembershipTable(const MembershipTableSettings &settings, std::unique_ptr<FailureDetector> detector);

    /// Handles a heartbeat received from the instance itself. One of an earlier incarnation is ignored.
    void heartbeat(const PeerSummary &sender, TimePoint now);
    /// Handles a report about an instance by another instance or by the platform's instance list. It can add the
    /// instance, replace an earlier incarnation that is not alive and mark the instance as leaving. It never makes an
    /// instance alive, because the report may be outdated.
    void indirectReport(const PeerSummary &reported, TimePoint now);
    /// Marks the current incarnation of @p instance as leaving.
    void markLeaving(const InstanceId &instance, TimePoint now);
    /// Updates the states of all members to the time @p now and removes expired ones.
    void tick(TimePoint now);
    /// Returns the changes since the last call.
    [[nodiscard]] std::vector<MemberChange> takeChanges();

    /// Returns the member, or null if @p instance is not in the table.
    [[nodiscard]] const Member *find(const InstanceId &instance) const;
    [[nodiscard]] const std::map<InstanceId, Member> &members() const;
    /// Returns the instances that are alive.
    [[nodiscard]] std::vector<PeerSummary> alive() const;
    /// Returns a random sample of alive and leaving members to include in the next heartbeat.
    [[nodiscard]] std::vector<PeerSummary> sample(SeededRandom &random) const;

private:
    void changeState(Member &member, MemberState state, bool restarted, TimePoint now);

    MembershipTableSettings m_settings;
    std::unique_ptr<FailureDetector> m_detector;
    std::map<InstanceId, Member> m_members;
    std::vector<MemberChange> m_changes;
};

} // namespace ibismast
