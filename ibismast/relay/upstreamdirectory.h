#pragma once

#include "ibismast/core/eventlistener.h"
#include "ibismast/entry/upstreamhealth.h"
#include "ibismast/relay/recordrevision.h"
#include "ibismast/relay/relayconfig.h"
#include "ibismast/relay/upstreamrunkey.h"

#include <map>

namespace ibismast
{

/// Address of an upstream, `ip:port`.
using UpstreamAddress = StrongString<struct UpstreamAddressTag>;

/// Entry of an upstream in the platform's list, as the upstream has registered it.
struct UpstreamRecord
{
    InstanceId id;
    ServiceName service;
    UpstreamAddress address;
    FailureDomain domain;
    /// True if the upstream has announced its shutdown.
    bool leaving = false;
    /// Differs between two runs under the same id.
    Incarnation incarnation;
    /// Increases with each report of the upstream.
    std::uint64_t reportNumber = 0;
    /// Time until the upstream is warm, at the time of the report; zero if it is warm.
    Duration coldRemaining {};

    bool operator==(const UpstreamRecord &) const = default;
};

/// Returns the key of the run of an upstream that @p record describes.
[[nodiscard]] UpstreamRunKey runKey(const UpstreamRecord &record);

/// The platform's list of upstreams at one revision of the store.
struct UpstreamList
{
    std::vector<UpstreamRecord> records;
    RecordRevision revision;
};

/// Settings of an `UpstreamDirectory`.
struct UpstreamDirectorySettings
{
    /// Time after an outage of the store within which live upstreams reappear in the list. An upstream that is missing
    /// from the list stays in use until then; one that disappears later is removed at once.
    Duration returnGracePeriod = std::chrono::milliseconds(2200);
    /// Time after a restore of the store within which upstreams and their expiry have replaced the records of the older
    /// copy. Until then a record that is not newer than what is known of its upstream is ignored.
    Duration restoreSettleTime = std::chrono::seconds(10);
    /// Time for which removed upstreams are remembered, since a restored store may list them again, and their maximum
    /// number.
    Duration removedRetention = std::chrono::seconds(60);
    std::size_t maxRemoved = 1024;
    /// Share of the upstreams whose simultaneous loss is attributed to an outage that this process has not observed. If
    /// they disappear from the list, their records are assumed to have expired during the outage; if their reports
    /// stop, the reports are assumed to be delayed on their way to the list.
    double massLossShare = 0.34;
    /// Minimum number of upstreams for such a loss.
    std::size_t massLossCount = 3;
    /// An upstream without a new report for this long is suspected while others still report.
    Duration reportTimeout = std::chrono::milliseconds(2900);
    /// Time for which an upstream is avoided after another one has named it as the reason for a refusal. Most likely it
    /// is shutting down or unreachable, and the list shows this within about this time.
    Duration avoidanceTime = std::chrono::seconds(3);
    /// Time for which an upstream that has declined a call for lack of room is used only if no other one has room.
    Duration fullTime = std::chrono::milliseconds(300);
    CircuitBreakerSettings breaker {2, std::chrono::milliseconds(700), std::chrono::seconds(4)};
};

/// Upstreams that may receive calls, derived from the platform's list and the outcomes of earlier calls.
class UpstreamDirectory
{
public:
    struct Member
    {
        UpstreamRecord record;
        /// Set while the upstream is missing from the list: it is removed at this time unless it reappears.
        std::optional<TimePoint> returnDeadline;
        /// End of the time for which the upstream is avoided because another one has reported its failure.
        std::optional<TimePoint> avoidedUntil;
        /// End of the time for which the upstream counts as full because it has declined a call.
        std::optional<TimePoint> fullUntil;
        /// Time at which a response first said that this run of the upstream is leaving. Lists do not undo it, since
        /// they may be older, and an upstream that has announced its shutdown does not take it back.
        std::optional<TimePoint> leaveNoticedAt;
        /// Time at which this process saw the upstream's latest report.
        TimePoint reportedAt;
        /// Time at which this process first saw this run of the upstream, unless it was in the first list.
        std::optional<TimePoint> startedAt;
        /// True if the report timeout had passed when the last list was applied, and too few upstreams were affected
        /// for a delay of all reports.
        bool silent = false;

        /// True if the upstream has announced its shutdown, in the list or in a response.
        [[nodiscard]] bool leaving() const
        {
            return record.leaving || leaveNoticedAt.has_value();
        }
    };

    UpstreamDirectory(const UpstreamDirectorySettings &settings, EventListener &listener);

    /// Applies @p list. A list with an older revision than the last one is ignored. If the store has been restored from
    /// an older copy since the last list, upstreams stay leaving or removed until a newer report of theirs arrives, and
    /// missing ones may still return.
    void apply(const UpstreamList &list, TimePoint now);
    /// Records that neither the store nor another entry provides a current list at @p now.
    void noteOutage(TimePoint now);
    /// Removes missing upstreams whose return deadline has passed, unless the list was unavailable recently.
    void expire(TimePoint now);

    /// True once a list has been applied.
    [[nodiscard]] bool hasList() const
    {
        return m_known;
    }
    /// Returns all known upstreams, also those that are leaving or missing from the list.
    [[nodiscard]] const std::map<InstanceId, Member> &members() const
    {
        return m_members;
    }
    /// Returns the upstream @p id, or null.
    [[nodiscard]] const Member *find(const InstanceId &id) const;
    /// Returns the id of the upstream that listens at @p address, or nothing if none does.
    [[nodiscard]] std::optional<InstanceId> idOf(const UpstreamAddress &address) const;
    /// Upstreams that may receive new calls, in the order of their ids.
    struct Candidates
    {
        std::vector<const Member *> trusted;
        /// Upstreams that have failed or declined a call recently, are missing from the list or do not report. They are
        /// used if no trusted one has room.
        std::vector<const Member *> suspected;
        /// Number of upstreams that are left out since they are leaving.
        std::size_t leaving = 0;
    };
    /// Returns the upstreams of @p service, without those that are leaving.
    [[nodiscard]] Candidates candidates(const ServiceName &service, TimePoint now) const;

    /// Records that a response says that the run of an upstream that @p upstream describes is leaving. Returns true if
    /// no response has said so before.
    bool noteLeaving(const UpstreamRecord &upstream, TimePoint now);
    void noteDispatch(const InstanceId &id, TimePoint now);
    void noteSuccess(const InstanceId &id);
    void noteFailure(const InstanceId &id, TimePoint now);
    /// Records that @p id has declined a call because it has no room. This is no failure of the upstream.
    void noteDeclined(const InstanceId &id, TimePoint now);
    /// Records that another upstream has refused a call because of a failure of @p id.
    void noteReportedFailure(const InstanceId &id, TimePoint now);

    /// True if @p member has failed or declined a call recently, is missing from the list or does not report.
    [[nodiscard]] bool suspected(const Member &member, TimePoint now) const;

private:
    /// Run of an upstream that has been removed.
    struct RemovedRun
    {
        Incarnation incarnation;
        std::uint64_t reportNumber = 0;
        TimePoint removedAt;
        /// See `Member::leaveNoticedAt`.
        std::optional<TimePoint> leaveNoticedAt;
    };

    void applyRecord(const UpstreamRecord &record, TimePoint now);
    /// True if @p record may come from the older copy that the store was restored from: it says nothing that is newer
    /// than what is known of its upstream.
    [[nodiscard]] bool isFromOlderCopy(const UpstreamRecord &record, TimePoint now) const;
    /// Removes the upstream and remembers its run.
    void remove(const InstanceId &id, TimePoint now);
    void updateSilent(TimePoint now);
    /// True if the loss of @p count upstreams at once is attributed to an outage of the list or of the reports.
    [[nodiscard]] bool isMassLoss(std::size_t count) const;

    UpstreamDirectorySettings m_settings;
    EventListener *m_listener;
    std::map<InstanceId, Member> m_members;
    std::map<InstanceId, RemovedRun> m_removed;
    /// End of the time in which the store may list records of an older copy.
    std::optional<TimePoint> m_settlingUntil;
    UpstreamHealth m_health;
    std::optional<TimePoint> m_lastOutage;
    RecordRevision m_revision;
    bool m_known = false;
    TimePoint m_lastReport = TimePoint::min();
};

} // namespace ibismast
