#pragma once

#include "ibismast/relay/relayconfig.h"
#include "ibismast/relay/upstreamrunkey.h"

#include <vector>

namespace ibismast
{

/// Share of an upstream's concurrency that the responses to one entry have shown it to sustain.
struct UpstreamPaceReport
{
    UpstreamRunKey upstream;
    double share = 1.0;
    /// Time since the response that last changed the share.
    Duration age {};

    bool operator==(const UpstreamPaceReport &) const = default;
};

/// Settings of `UpstreamPace`.
struct UpstreamPaceSettings
{
    bool enabled = false;
    /// Share of an upstream that has just started or failed, and the smallest one.
    double firstShare = 0.5;
    double minShare = 0.05;
    /// Factor by which the share grows with each response that keeps the prediction, until one does not; from then on
    /// the share grows by `growthStep`.
    double growthFactor = 1.5;
    double growthStep = 0.04;
    /// Factor by which the share shrinks with a response that does not keep the prediction, at most once in
    /// `shrinkInterval`, since responses to requests of before the change are late too.
    double shrinkFactor = 0.5;
    Duration shrinkInterval = std::chrono::milliseconds(250);
    /// A response keeps the prediction if it takes at most this multiple of it and this time in addition.
    double toleranceFactor = 4.0;
    Duration toleranceTime = std::chrono::milliseconds(60);
    /// Weight of a response in the averages of slowness and of response times, and limit on the slowness.
    double averageWeight = 0.3;
    double maxSlowness = 8.0;
    /// Time without events in which the slowness halves, so that a slow upstream is tried again.
    Duration slownessHalfLife = std::chrono::seconds(2);
    /// Change of a share that the other entries are told of.
    double reportedChange = 0.1;
    /// Time after the start of a run in which it is still taken for one that has just started.
    Duration startTime = std::chrono::seconds(10);
    /// A run that no event has concerned for this long is forgotten.
    Duration retention = std::chrono::seconds(30);
    /// Maximum number of runs that are kept.
    std::size_t maxUpstreams = 4096;
};

/// Finds how much of its concurrency an upstream that has started, recovered or become cold may use, from its
/// responses.
///
/// The share grows fast while responses keep the predictions, is halved by the first that does not, and grows slowly
/// from then on. An upstream of which nothing is known has the whole share.
class UpstreamPace
{
public:
    explicit UpstreamPace(const UpstreamPaceSettings &settings);

    /// Begins to pace @p upstream with the first share. Returns false if it is paced already, or pacing is disabled.
    bool begin(UpstreamRunKey upstream, TimePoint now);
    /// Returns the share of its concurrency that @p upstream may use.
    [[nodiscard]] double share(UpstreamRunKey upstream) const;
    /// Returns the factor, 1 or more, by which the times of @p upstream exceed the predictions.
    [[nodiscard]] double slowness(UpstreamRunKey upstream, TimePoint now) const;

    // The following return true if the other entries must learn of the new share.

    /// Records the time to the first event of a stream, and the time that was predicted for an upstream in order.
    bool noteFirstEvent(UpstreamRunKey upstream, Duration predicted, Duration observed, TimePoint now);
    /// Records the response time of a call that is no generation.
    bool noteResponse(UpstreamRunKey upstream, const ServiceName &service, Duration observed, TimePoint now);
    /// Records that @p upstream has declined a call.
    bool noteDeclined(UpstreamRunKey upstream, TimePoint now);
    /// Records that @p upstream has failed a call.
    bool noteFailure(UpstreamRunKey upstream, TimePoint now);

    /// Applies what another entry reports.
    void apply(const std::vector<UpstreamPaceReport> &reports, TimePoint now);
    /// Returns the report on @p upstream; empty if it is not paced.
    [[nodiscard]] std::optional<UpstreamPaceReport> report(UpstreamRunKey upstream, TimePoint now) const;
    /// Drops what is too old to matter.
    void expire(TimePoint now);
    /// Number of upstreams that may not use all of their concurrency.
    [[nodiscard]] std::size_t size() const;

private:
    struct Upstream
    {
        double share = 1.0;
        double reportedShare = 1.0;
        double slowness = 1.0;
        /// True until a response has not kept the prediction.
        bool growsFast = true;
        TimePoint changedAt;
        TimePoint shrunkAt = TimePoint::min();
        TimePoint lastEvent;
    };

    bool grow(Upstream &upstream, TimePoint now) const;
    bool shrink(Upstream &upstream, TimePoint now) const;
    /// Returns true if the other entries must learn of the share, and assumes that they do.
    bool reported(Upstream &upstream) const;
    /// Applies the time of a response, relative to the predicted or usual one.
    bool judge(Upstream &upstream, Duration expected, Duration observed, TimePoint now) const;
    /// Returns the state of @p key, or null if it is not paced.
    Upstream *find(UpstreamRunKey key);

    UpstreamPaceSettings m_settings;
    std::map<UpstreamRunKey, Upstream> m_upstreams;
    /// Usual response times of services, in seconds.
    std::map<ServiceName, double> m_usualTimes;
};

} // namespace ibismast
