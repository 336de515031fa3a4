#pragma once

#include "ibismast/relay/relayconfig.h"
#include "ibismast/relay/upstreamrunkey.h"

#include <cstddef>

namespace ibismast
{

/// Rate limit of an upstream as one entry knows it, and what this entry has sent to the upstream.
struct RateLimitReport
{
    UpstreamRunKey upstream;
    /// Requests that the upstream takes from all entries together; empty if it has ended its limit.
    std::optional<RequestRate> limit;
    /// Time since a response of the upstream last said so.
    Duration age {};
    /// Requests that the entry has sent to the upstream since it has known the limit. A smaller number than before
    /// means that the entry has restarted.
    std::uint64_t sent = 0;

    bool operator==(const RateLimitReport &) const = default;
};

/// Settings of `UpstreamRateLimits`.
struct UpstreamRateLimitsSettings
{
    /// Time of which the requests may be sent at once after a pause, and at least this many requests.
    Duration burstTime = std::chrono::seconds(1);
    double minBurst = 1.0;
    /// Rate at which requests are sent to an upstream with a lower limit, since only a response tells that it has
    /// ended.
    RequestRate minRate {0.2};
    /// Change of a limit, relative to the old one, that the other entries are told of at once.
    double minChange = 0.1;
    /// Time for which an ended limit is reported to other entries.
    Duration endedRetention = std::chrono::seconds(10);
    /// A limit that no response has confirmed for this long is dropped.
    Duration limitRetention = std::chrono::minutes(2);
    /// Maximum number of upstreams whose limits are kept.
    std::size_t maxUpstreams = 4096;
};

/// Keeps the requests of all entries together below the rate limits that upstreams name in their responses.
///
/// Every entry has a token bucket for each limited upstream, from which it takes a token for its own requests and for
/// those that other entries report. Reports carry totals, so that a lost one is made up for by the next.
class UpstreamRateLimits
{
public:
    explicit UpstreamRateLimits(const UpstreamRateLimitsSettings &settings);

    /// Records that a response of @p upstream names @p limit, or no limit if that is empty. Returns true if other
    /// entries should learn of it at once.
    bool noteResponse(UpstreamRunKey upstream, std::optional<RequestRate> limit, TimePoint now);
    /// Returns the limit of @p upstream; empty if it has none.
    [[nodiscard]] std::optional<RequestRate> limitOf(UpstreamRunKey upstream) const;
    /// Returns the time since a response last named or ended the limit of @p upstream; empty if none has.
    [[nodiscard]] std::optional<Duration> ageOf(UpstreamRunKey upstream, TimePoint now) const;
    /// True if a request may be sent to @p upstream.
    [[nodiscard]] bool allows(UpstreamRunKey upstream, TimePoint now) const;
    /// Records a request of this entry. Returns true if @p upstream has a limit, so that the other entries must learn
    /// of the request.
    bool noteSent(UpstreamRunKey upstream, TimePoint now);

    /// Applies what @p entry reports.
    void apply(const InstanceId &entry, const std::vector<RateLimitReport> &reports, TimePoint now);
    /// Returns the report on @p upstream; empty if nothing is known of a limit.
    [[nodiscard]] std::optional<RateLimitReport> report(UpstreamRunKey upstream, TimePoint now) const;
    /// Returns reports on up to @p count upstreams, on other ones with each call.
    [[nodiscard]] std::vector<RateLimitReport> nextReports(std::size_t count, TimePoint now);
    /// Forgets the totals of @p entry, which has failed or restarted.
    void dropEntry(const InstanceId &entry);
    /// Drops limits that are too old to matter.
    void expire(TimePoint now);

private:
    struct Upstream
    {
        std::optional<RequestRate> limit;
        /// Time at which a response last named or ended the limit.
        TimePoint saidAt;
        /// Tokens at `refilledAt`; negative if entries have sent more than the limit allows.
        double tokens = 0.0;
        TimePoint refilledAt;
        std::uint64_t sent = 0;
        /// Totals that other entries have reported last.
        std::map<InstanceId, std::uint64_t> sentByOthers;
    };

    [[nodiscard]] double rate(const Upstream &upstream) const;
    [[nodiscard]] double burst(const Upstream &upstream) const;
    [[nodiscard]] double tokensAt(const Upstream &upstream, TimePoint now) const;
    void take(Upstream &upstream, double count, TimePoint now) const;
    /// Applies what a response said at @p at. Returns true if it changes the limit.
    bool update(UpstreamRunKey key, std::optional<RequestRate> limit, TimePoint at, TimePoint now);
    [[nodiscard]] static RateLimitReport reportOn(UpstreamRunKey key, const Upstream &upstream, TimePoint now);

    UpstreamRateLimitsSettings m_settings;
    std::map<UpstreamRunKey, Upstream> m_upstreams;
    UpstreamRunKey m_lastReported;
};

} // namespace ibismast
