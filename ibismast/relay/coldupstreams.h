#pragma once

#include "ibismast/relay/upstreamdirectory.h"

#include <deque>

namespace ibismast
{

/// What an entry knows of an upstream that is cold, and what it has sent to it.
struct ColdUpstreamReport
{
    UpstreamRunKey upstream;
    /// Time until the upstream is warm.
    Duration remaining {};
    /// Requests that the entry has sent since it has known that the upstream is cold. A smaller number than before
    /// means that the entry has restarted.
    std::uint64_t sent = 0;

    bool operator==(const ColdUpstreamReport &) const = default;
};

/// Settings of `ColdUpstreams`.
struct ColdUpstreamsSettings
{
    /// Limit on the requests that a cold upstream gets in one second from all entries: a multiple of the rate that its
    /// service declares, and a number allowed in addition. Empty if there is no limit.
    std::optional<double> overrun {};
    double slack = 0.0;
    /// Time in which requests are counted; longer than a second, since requests may take different times to arrive.
    Duration window = std::chrono::milliseconds(1150);
    /// True if the deployment has other entries. An entry that has not heard any then assumes that there are many.
    bool hasPeers = false;
    /// Time after the first news of another entry within which the others have been heard too.
    Duration settleTime = std::chrono::seconds(3);
    /// Time for which an entry that is not heard any more counts, since it may still send requests.
    Duration entryRetention = std::chrono::minutes(2);
    /// Longest time for which one response or report makes an upstream cold.
    Duration longestCold = std::chrono::minutes(1);
    /// Maximum number of upstreams whose state is kept.
    std::size_t maxUpstreams = 4096;
};

/// Keeps the requests of all entries together below the rate that an upstream takes while it is cold.
///
/// An upstream is cold by its record in the list, for the declared time after its start, and by its responses. Each
/// entry has a fixed share of the rate, by the number of entries it has heard in the last minutes, so that the limit
/// holds for entries that do not hear each other. Reports of other entries can only reduce what it sends.
class ColdUpstreams
{
public:
    ColdUpstreams(const ColdUpstreamsSettings &settings, InstanceId self);

    /// Applies the declarations of the services. In the first window after the first call nothing is sent to cold
    /// upstreams, since an earlier run of this entry may just have used its share.
    void setServices(const std::map<ServiceName, RelayService> &services, TimePoint now);
    /// True if a request may be sent to @p member.
    [[nodiscard]] bool allows(const UpstreamDirectory::Member &member, TimePoint now) const;
    /// Returns the time until @p member is warm; empty if it is not cold.
    [[nodiscard]] std::optional<Duration> remaining(const UpstreamDirectory::Member &member, TimePoint now) const;

    /// Records that a response of @p upstream says how long it stays cold. Returns true if it was not known to be cold.
    bool noteResponse(const UpstreamRecord &upstream, Duration remaining, TimePoint now);
    /// Records that @p member has failed a request. It may have crashed, and be cold when it returns.
    void noteFailure(const UpstreamDirectory::Member &member, TimePoint now);
    /// What `noteSent` has found.
    enum class Sent : std::uint8_t {
        ToWarm,
        ToCold,
        /// The first request to an upstream that is cold.
        FirstToCold,
    };
    /// Records a request of this entry that leaves at @p at. If the upstream is cold, the other entries must learn of
    /// it.
    Sent noteSent(const UpstreamDirectory::Member &member, TimePoint at, TimePoint now);

    /// Records that @p entry has sent news.
    void noteEntry(const InstanceId &entry, TimePoint now);
    /// Applies what @p entry reports.
    void apply(const InstanceId &entry, const std::vector<ColdUpstreamReport> &reports, TimePoint now);
    /// Returns the report on @p upstream; empty if nothing is to be told.
    [[nodiscard]] std::optional<ColdUpstreamReport> report(UpstreamRunKey upstream, TimePoint now) const;
    /// Returns reports on up to @p count upstreams, on other ones with each call.
    [[nodiscard]] std::vector<ColdUpstreamReport> nextReports(std::size_t count, TimePoint now);
    /// Forgets the totals of @p entry, which has failed or restarted.
    void dropEntry(const InstanceId &entry);
    /// Drops what is too old to matter.
    void expire(TimePoint now);
    /// Number of upstreams that are known to be cold from responses, reports or requests to them.
    [[nodiscard]] std::size_t size(TimePoint now) const;

private:
    struct Upstream
    {
        /// End of the time for which the upstream is cold by what this entry has seen itself. Only this is reported, so
        /// that entries do not confirm each other's reports.
        TimePoint coldUntil = TimePoint::min();
        /// The same by the reports of other entries.
        TimePoint reportedUntil = TimePoint::min();
        /// End of the time in which the upstream may have crashed and returned.
        TimePoint maybeColdUntil = TimePoint::min();
        std::deque<TimePoint> own;
        std::deque<TimePoint> others;
        std::uint64_t sent = 0;
        /// Totals that other entries have reported last.
        std::map<InstanceId, std::uint64_t> sentByOthers;
    };

    /// Returns the declaration of the service of @p record, or null if the limit does not apply to it.
    [[nodiscard]] const RelayService *limited(const UpstreamRecord &record) const;
    /// Returns the state of @p key, or null if there are too many.
    Upstream *stateOf(UpstreamRunKey key);
    /// Returns the end of the time for which @p member is cold, without the reports of other entries.
    [[nodiscard]] TimePoint ownColdUntil(const UpstreamDirectory::Member &member, const RelayService &service) const;
    /// Returns the end of the time for which @p member is cold.
    [[nodiscard]] TimePoint coldUntil(const UpstreamDirectory::Member &member, const RelayService &service) const;
    /// Returns the requests that all entries together may send to an upstream within a window.
    [[nodiscard]] double target(const RelayService &service) const;
    /// Returns how many of @p target requests this entry may send.
    [[nodiscard]] std::size_t share(UpstreamRunKey key, double target, TimePoint now) const;

    ColdUpstreamsSettings m_settings;
    InstanceId m_self;
    std::map<ServiceName, RelayService> m_services;
    std::map<UpstreamRunKey, Upstream> m_upstreams;
    /// Other entries, with the time of their last news.
    std::map<InstanceId, TimePoint> m_entries;
    std::optional<TimePoint> m_startedAt;
    std::optional<TimePoint> m_firstNews;
    UpstreamRunKey m_lastReported;
};

} // namespace ibismast
