#pragma once

#include "ibismast/admission/capacityestimator.h"
#include "ibismast/scheduling/engineprogress.h"
#include "ibismast/scheduling/fairqueue.h"

namespace ibismast
{

/// Settings of an `AdmissionController`.
struct AdmissionSettings
{
    /// Safety factor on the expected completion time.
    double margin = 1.2;
    /// Constant added to the expected completion time, for transport and the duration of an engine step.
    Duration reserve {100'000};
    /// Factor on the work ahead of an attempt on arrival. It allows for later work that is served earlier: work of
    /// shorter classes and of customers with less queued work.
    double overtaking = 1.3;
    /// Longest expected wait, in the queue or for KV memory, that is accepted for each class.
    PerClass<Duration> maxWait {
        Duration {700'000}, Duration {15'000'000}, Duration {120'000'000}, Duration {600'000'000}};
    /// Smallest retry-after time of a refusal.
    Duration smallestRetryAfter {200'000};
    /// False to admit every attempt that fits into the queue; disabled only in benchmarks.
    bool enabled = true;

    /// Returns an error that names the first field that is out of range.
    [[nodiscard]] Result<Success> validate() const;
};

/// Properties of an attempt that its admission depends on.
struct AdmissionRequest
{
    CustomerId customer;
    /// Weight of the customer within its class.
    double weight = 1.0;
    PriorityClass priorityClass = PriorityClass::Short;
    /// Tokens to prefill, less the expected prefix cache hit.
    Tokens prefill;
    /// Largest number of tokens left to generate.
    Tokens output;
    /// Time left until the deadline.
    Duration timeLeft {};
    /// Expected wait for KV memory.
    Duration memoryWait {};
};

/// Admits an attempt if it is expected to complete before its deadline and its expected wait is within the limit of its
/// class.
///
/// The expected wait is the larger of the wait for KV memory and the wait in the queue. The latter is the smaller of
/// two bounds: the time for the customer's own queued work at the customer's share of its class, and the time for all
/// work ahead with an allowance for work that is served earlier although it arrives later. Work of other customers
/// beyond their shares therefore does not count, and in overload the requests of the customer that causes it are
/// refused.
class AdmissionController
{
public:
    explicit AdmissionController(const AdmissionSettings &settings, const FairQueueSettings &shares);

    /// Returns the expected time until the first token, or the reason for the refusal: `CustomerOverShare` if less
    /// queued work of the same customer would have been enough to admit the attempt, `DeadlineNotFeasible`, or
    /// `QueueFull` if the expected wait is too long.
    [[nodiscard]] Result<Duration> decide(const AdmissionRequest &request,
                                          const FairQueue &queue,
                                          const EngineProgress &progress,
                                          const EngineRates &rates) const;

private:
    /// Returns the fraction of the engine that a class gets while it competes with the classes that have work now.
    [[nodiscard]] double
    classShare(PriorityClass priorityClass, const FairQueue &queue, const EngineProgress &progress) const;

    AdmissionSettings m_settings;
    PerClass<double> m_shares;
};

} // namespace ibismast
