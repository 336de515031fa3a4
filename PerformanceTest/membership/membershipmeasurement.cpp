#include "PerformanceTest/membership/membershipmeasurement.h"

#include "ibismast/core/seededrandom.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace ibismast
{

namespace
{

// Resolution of the time at which a suspicion begins.
constexpr Duration Step = std::chrono::milliseconds(10);
// A detector that has not suspected a crashed sender after this time counts as if it did then.
constexpr Duration LongestDetection = std::chrono::seconds(60);
// Heartbeats before the crash, so that the window of the accrual detector is full.
constexpr int WarmUpBeats = 150;

Duration exponential(SeededRandom &random, Duration mean)
{
    return fromSeconds(-toSeconds(mean) * std::log(1.0 - random.uniform()));
}

// Times at which the heartbeats of one sender arrive.
class Sender
{
public:
    Sender(const MembershipConditions &conditions, std::uint64_t seed)
        : m_conditions(conditions), m_random(seed), m_nextPause(pauseGap())
    {
    }

    // Returns the arrival of the next heartbeat that is not lost.
    TimePoint next()
    {
        while (true) {
            m_sent += m_conditions.interval;
            while (m_conditions.pausesPerHour > 0.0 && m_sent >= m_nextPause) {
                m_sent = std::max(m_sent, m_nextPause + exponential(m_random, m_conditions.meanPause));
                m_nextPause = m_sent + (pauseGap() - TimePoint());
            }
            if (m_random.uniform() >= m_conditions.loss) {
                const auto delay = std::chrono::milliseconds(1) + exponential(m_random, m_conditions.meanDelay);
                m_arrived = std::max(m_arrived + Duration(1), m_sent + delay);
                return m_arrived;
            }
        }
    }

private:
    TimePoint pauseGap()
    {
        if (m_conditions.pausesPerHour <= 0.0) {
            return TimePoint::max();
        }
        return TimePoint(exponential(m_random, fromSeconds(3'600.0 / m_conditions.pausesPerHour)));
    }

    MembershipConditions m_conditions;
    SeededRandom m_random;
    TimePoint m_sent {};
    TimePoint m_arrived {};
    TimePoint m_nextPause;
};

std::int64_t countFalseSuspicions(const MembershipConditions &conditions, FailureDetector &detector, std::uint64_t seed)
{
    const InstanceId id("sender");
    Sender sender(conditions, seed);
    TimePoint now {};
    for (int beat = 0; beat < WarmUpBeats; ++beat) {
        now = sender.next();
        detector.heartbeatArrived(id, now);
    }
    std::int64_t suspicions = 0;
    for (const TimePoint end = now + conditions.observed; now < end;) {
        now = sender.next();
        // Suspicion grows with the silence, so it is enough to look just before each heartbeat.
        suspicions += detector.suspects(id, now) ? 1 : 0;
        detector.heartbeatArrived(id, now);
    }
    return suspicions;
}

Duration measureDetection(const MembershipConditions &conditions, FailureDetector &detector, std::uint64_t seed)
{
    const InstanceId id("sender");
    Sender sender(conditions, seed);
    SeededRandom random(seed + 1);
    TimePoint last {};
    for (int beat = 0; beat < WarmUpBeats; ++beat) {
        last = sender.next();
        detector.heartbeatArrived(id, last);
    }
    // The crash falls anywhere between the last heartbeat and the one that would have followed.
    const TimePoint crash = last
        + Duration(static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(conditions.interval.count()))));
    for (Duration elapsed {}; elapsed < LongestDetection; elapsed += Step) {
        if (detector.suspects(id, crash + elapsed)) {
            return elapsed;
        }
    }
    return LongestDetection;
}

} // namespace

MembershipFigures measureDetector(const MembershipConditions &conditions, const DetectorFactory &factory)
{
    std::int64_t suspicions = 0;
    for (std::size_t index = 0; index < conditions.senders; ++index) {
        suspicions += countFalseSuspicions(conditions, *factory(), conditions.seed * 1'000 + index);
    }
    std::vector<double> detections;
    for (std::size_t index = 0; index < conditions.crashes; ++index) {
        detections.push_back(toSeconds(measureDetection(conditions, *factory(), conditions.seed * 2'000 + index)));
    }
    std::ranges::sort(detections);
    MembershipFigures figures;
    figures.falseSuspicionsPerHour = static_cast<double>(suspicions)
        / (static_cast<double>(conditions.senders) * toSeconds(conditions.observed) / 3'600.0);
    for (const double detection : detections) {
        figures.detectionMean += detection / static_cast<double>(detections.size());
    }
    figures.detectionP99 = detections[detections.size() * 99 / 100];
    return figures;
}

} // namespace ibismast
