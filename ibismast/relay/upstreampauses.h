#pragma once

#include "ibismast/core/units.h"
#include "ibismast/relay/upstreamrunkey.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>

namespace ibismast
{

/// Settings of `UpstreamPauses`.
struct UpstreamPausesSettings
{
    /// Longest pause that is kept; a longer one counts as this long, so that a faulty upstream is tried again some day.
    Duration longestPause = std::chrono::hours(24);
    /// Maximum number of upstreams whose pauses are kept; when it is exceeded, the pause that ends first is dropped.
    std::size_t maxUpstreams = 4096;
};

/// Order about reserved memory that may be sent to a paused upstream, since a running call depends on it.
enum class PausedOrder : std::uint8_t {
    Extend,
    Release,
};

/// Upstreams that have refused a call of this entry and asked it to send nothing for a time. A pause concerns one entry
/// and one run of the upstream.
class UpstreamPauses
{
public:
    explicit UpstreamPauses(const UpstreamPausesSettings &settings);

    /// Records that @p upstream has asked at @p now for a pause of @p time. A pause that lasts longer already is kept.
    /// Returns true if the upstream was not paused before.
    bool begin(UpstreamRunKey upstream, Duration time, TimePoint now);
    /// Returns the end of the pause of @p upstream; empty if it is not paused.
    [[nodiscard]] std::optional<TimePoint> endOf(UpstreamRunKey upstream, TimePoint now) const;
    /// Returns the time since @p upstream last asked for its pause; empty if it is not paused.
    [[nodiscard]] std::optional<Duration> ageOf(UpstreamRunKey upstream, TimePoint now) const;
    /// Returns whether @p order may be sent to @p upstream, and counts it: a paused upstream gets one order of each
    /// kind.
    [[nodiscard]] bool takeOrder(UpstreamRunKey upstream, PausedOrder order, TimePoint now);
    /// Drops pauses that have ended.
    void expire(TimePoint now);
    /// Number of pauses, including those that have ended since the last call of `expire`.
    [[nodiscard]] std::size_t size() const
    {
        return m_pauses.size();
    }

private:
    struct Pause
    {
        TimePoint askedAt;
        TimePoint end;
        std::set<PausedOrder> sentOrders;
    };

    UpstreamPausesSettings m_settings;
    std::map<UpstreamRunKey, Pause> m_pauses;
};

} // namespace ibismast
