#pragma once

#include "ibismast/core/eventlistener.h"
#include "ibismast/entry/upstreamhealth.h"
#include "ibismast/relay/relayconfig.h"

#include <map>

namespace ibismast
{

/// Address of an upstream, `ip:port`.
using UpstreamAddress = StrongString<struct UpstreamAddressTag>;

/// What an upstream says of itself in the platform's list.
struct UpstreamRecord
{
    InstanceId id;
    ServiceName service;
    UpstreamAddress address;
    FailureDomain domain;
    /// True if the upstream has announced that it leaves.
    bool leaving = false;
    /// Differs between two runs under the same id.
    Incarnation incarnation;
    /// Grows with each report of the upstream.
    std::uint64_t reportNumber = 0;

    bool operator==(const UpstreamRecord &) const = default;
};

/// The platform's list at one revision.
struct UpstreamList
{
    std::vector<UpstreamRecord> records;
    std::int64_t revision = 0;
};

/// Settings of an `UpstreamDirectory`.
struct UpstreamDirectorySettings
{
    /// Time after an outage of the list within which live upstreams return to it. One that is missing stays in use
    /// that long, and one that vanishes later has left.
    Duration returnTime = std::chrono::milliseconds(2200);
    /// Share of the upstreams that must vanish or fall silent at once to be taken for an outage that this process has
    /// not seen: of the list in the first case, of the reports on their way to it in the second.
    double massLossShare = 0.34;
    /// Smallest number of upstreams that counts as such a loss.
    std::size_t massLossCount = 3;
    /// An upstream without a report for this long is avoided while others report.
    Duration silence = std::chrono::milliseconds(2900);
    /// An upstream that another one blamed for a refusal is avoided for this long: most likely it leaves or is cut off,
    /// and the list tells so within about this time.
    Duration blameTime = std::chrono::seconds(3);
    CircuitBreakerSettings breaker {2, std::chrono::milliseconds(700), std::chrono::seconds(4)};
};

/// Upstreams that may get work, by the platform's list and by the outcomes of calls.
class UpstreamDirectory
{
public:
    struct Member
    {
        UpstreamRecord record;
        /// Set while the upstream is missing from the list but may return until then.
        std::optional<TimePoint> returnsUntil;
        /// Set while the upstream is avoided because it was blamed for a refusal.
        std::optional<TimePoint> avoidedUntil;
        /// Time of the last new report.
        TimePoint reported;
        /// True if the upstream had not reported for long at the last list.
        bool silent = false;
    };

    UpstreamDirectory(const UpstreamDirectorySettings &settings, EventListener &listener);

    /// Applies a list that was read at @p now; an older one than the last is ignored.
    void apply(const UpstreamList &list, TimePoint now);
    /// Neither the store nor another entry gives a current list at @p now.
    void noteOutage(TimePoint now);
    /// Drops upstreams whose time to return is over.
    void expire(TimePoint now);

    /// True once a list has been applied.
    [[nodiscard]] bool hasList() const
    {
        return m_known;
    }
    [[nodiscard]] std::int64_t revision() const
    {
        return m_revision;
    }
    /// Returns the upstream @p id, or null.
    [[nodiscard]] const Member *find(const InstanceId &id) const;
    /// Returns the upstream that listens at @p address.
    [[nodiscard]] std::optional<InstanceId> idOf(const UpstreamAddress &address) const;
    /// Upstreams that may get new work, in the order of their ids.
    struct Candidates
    {
        std::vector<const Member *> trusted;
        /// Upstreams that have failed lately or are not heard of; they are worth a try if the others have no room.
        std::vector<const Member *> suspected;
    };
    [[nodiscard]] Candidates candidates(const ServiceName &service, TimePoint now) const;

    void noteDispatch(const InstanceId &id, TimePoint now);
    void noteSuccess(const InstanceId &id);
    void noteFailure(const InstanceId &id, TimePoint now);
    /// Another upstream has refused a call because of @p id.
    void noteReportedFailure(const InstanceId &id, TimePoint now);

private:
    [[nodiscard]] bool suspected(const Member &member, TimePoint now) const;
    void applyRecord(const UpstreamRecord &record, TimePoint now);
    void findSilent(std::int64_t revision, TimePoint now);
    /// True if @p count upstreams are too many to have failed at once.
    [[nodiscard]] bool isMassLoss(std::size_t count) const;

    UpstreamDirectorySettings m_settings;
    EventListener *m_listener;
    std::map<InstanceId, Member> m_members;
    UpstreamHealth m_health;
    std::optional<TimePoint> m_lastOutage;
    std::int64_t m_revision = 0;
    bool m_known = false;
    TimePoint m_lastReport = TimePoint::min();
};

} // namespace ibismast
