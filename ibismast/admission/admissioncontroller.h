#pragma once

#include "ibismast/admission/capacityestimator.h"
#include "ibismast/scheduling/engineprogress.h"
#include "ibismast/scheduling/fairqueue.h"

namespace ibismast
{

/// Settings of an `AdmissionController`.
struct AdmissionSettings
{
    /// Factor on the expected completion time.
    double margin = 1.2;
    /// Addition to the expected completion time, for transport and the engine's steps.
    Duration reserve {100'000};
    /// Work that is served before an attempt, as a multiple of the work that is ahead of it on arrival: later work of
    /// shorter classes and of customers with less queued work overtakes it.
    double overtaking = 1.3;
    /// Longest expected wait in the queue for each class.
    PerClass<Duration> maxWait {
        Duration {700'000}, Duration {15'000'000}, Duration {120'000'000}, Duration {600'000'000}};
    /// Smallest time that a refusal asks the caller to wait.
    Duration smallestRetryAfter {200'000};
    /// False to admit whatever the queue can hold. Only measurements turn this off.
    bool enabled = true;

    /// Names the first field that is out of range.
    [[nodiscard]] Result<Success> validate() const;
};

/// What an attempt asks for.
struct AdmissionRequest
{
    CustomerId customer;
    double weight = 1.0;
    PriorityClass priorityClass = PriorityClass::Short;
    /// Tokens to prefill, expected prefix hits left out.
    Tokens prefill;
    /// Upper bound of generated tokens that remain.
    Tokens output;
    Duration timeLeft {};
    /// Expected wait for KV memory.
    Duration memoryWait {};
};

/// Admits an attempt if its expected completion is before its deadline.
///
/// The expected wait is the smaller of two bounds: the customer's own queued work at the customer's share of its class,
/// and the work ahead with an allowance for work that overtakes. Other customers' work beyond their share therefore
/// delays nobody, and overload is refused at the customer that causes it.
class AdmissionController
{
public:
    explicit AdmissionController(const AdmissionSettings &settings, const FairQueueSettings &shares);

    /// Returns the expected time until the first token, or the reason of the refusal.
    [[nodiscard]] Result<Duration> decide(const AdmissionRequest &request,
                                          const FairQueue &queue,
                                          const EngineProgress &progress,
                                          const EngineRates &rates) const;

private:
    [[nodiscard]] double
    classShare(PriorityClass priorityClass, const FairQueue &queue, const EngineProgress &progress) const;

    AdmissionSettings m_settings;
    PerClass<double> m_shares;
};

} // namespace ibismast
