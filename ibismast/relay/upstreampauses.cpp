#include "ibismast/relay/upstreampauses.h"

#include <algorithm>

namespace ibismast
{

UpstreamPauses::UpstreamPauses(const UpstreamPausesSettings &settings) : m_settings(settings) { }

bool UpstreamPauses::begin(UpstreamRunKey upstream, Duration time, TimePoint now)
{
    const TimePoint end = now + std::min(time, m_settings.longestPause);
    if (end <= now) {
        return false;
    }
    const bool wasPaused = endOf(upstream, now).has_value();
    Pause &pause = m_pauses[upstream];
    if (!wasPaused) {
        pause = {now, end, {}};
    }
    pause.askedAt = now;
    pause.end = std::max(pause.end, end);
    if (m_pauses.size() > m_settings.maxUpstreams) {
        m_pauses.erase(std::ranges::min_element(m_pauses, {}, [](const auto &entry) {
            return entry.second.end;
        }));
    }
    return !wasPaused;
}

std::optional<TimePoint> UpstreamPauses::endOf(UpstreamRunKey upstream, TimePoint now) const
{
    const auto found = m_pauses.find(upstream);
    return found == m_pauses.end() || now >= found->second.end ? std::nullopt : std::optional(found->second.end);
}

std::optional<Duration> UpstreamPauses::ageOf(UpstreamRunKey upstream, TimePoint now) const
{
    const auto found = m_pauses.find(upstream);
    return found == m_pauses.end() || now >= found->second.end ? std::nullopt
                                                               : std::optional(now - found->second.askedAt);
}

bool UpstreamPauses::takeOrder(UpstreamRunKey upstream, PausedOrder order, TimePoint now)
{
    const auto found = m_pauses.find(upstream);
    if (found == m_pauses.end() || now >= found->second.end) {
        return true;
    }
    return found->second.sentOrders.insert(order).second;
}

void UpstreamPauses::expire(TimePoint now)
{
    std::erase_if(m_pauses, [now](const auto &entry) {
        return now >= entry.second.end;
    });
}

} // namespace ibismast
