#include "ibismast/admission/admissioncontroller.h"

#include <algorithm>

namespace ibismast
{

namespace
{

double toDouble(Tokens tokens)
{
    return static_cast<double>(tokens.value());
}

} // namespace

Result<Success> AdmissionSettings::validate() const
{
    const auto invalid = [](std::string message) {
        return Error {ResultCode::SettingsInvalid, std::move(message), std::nullopt};
    };
    if (!(margin >= 1.0)) {
        return invalid("margin must be at least 1");
    }
    if (!(overtaking >= 1.0)) {
        return invalid("overtaking must be at least 1");
    }
    if (reserve < Duration::zero()) {
        return invalid("reserve must not be negative");
    }
    for (const PriorityClass priorityClass : AllPriorityClasses) {
        if (maxWait[classIndex(priorityClass)] <= Duration::zero()) {
            return invalid("maxWait." + std::string(toString(priorityClass)) + " must be positive");
        }
    }
    if (smallestRetryAfter < Duration::zero()) {
        return invalid("smallestRetryAfter must not be negative");
    }
    return Success();
}

AdmissionController::AdmissionController(const AdmissionSettings &settings, const FairQueueSettings &shares)
    : m_settings(settings), m_shares(shares.classShares)
{
}

Result<Duration> AdmissionController::decide(const AdmissionRequest &request,
                                             const FairQueue &queue,
                                             const EngineProgress &progress,
                                             const EngineRates &rates) const
{
    const PriorityClass priorityClass = request.priorityClass;
    const double classRate = rates.prefill * classShare(priorityClass, queue, progress);
    const double customerShare =
        request.weight / (request.weight + queue.waitingWeight(priorityClass, request.customer));
    const double ownPrefill = toDouble(request.prefill);
    const double customerQueued = toDouble(queue.queuedWork(priorityClass, request.customer));
    const double classWork = progress.remaining(priorityClass) + toDouble(queue.queuedWork(priorityClass));
    double allWork = progress.remaining();
    for (const PriorityClass other : AllPriorityClasses) {
        allWork += toDouble(queue.queuedWork(other));
    }
    // Returns the time until the work ahead and `ownTokens` of the request are prefilled. This is the smaller of two
    // bounds: the time that the reserved shares guarantee, and the time for all work ahead with a factor for work that
    // arrives later but is served earlier.
    const auto prefillTime = [&](double ownTokens) {
        const double guaranteed =
            (progress.remaining(priorityClass) + (customerQueued + ownTokens) / customerShare) / classRate;
        const double withoutOvertaking =
            std::min((classWork + ownTokens) / classRate, (allWork + ownTokens) / rates.prefill);
        return fromSeconds(std::min(guaranteed, m_settings.overtaking * withoutOvertaking));
    };
    const Duration wait = std::max(prefillTime(0.0), request.memoryWait);
    const Duration firstToken = std::max(prefillTime(ownPrefill), wait + fromSeconds(ownPrefill / rates.prefill));
    if (!m_settings.enabled) {
        return firstToken;
    }

    const Duration maxWait = m_settings.maxWait[classIndex(priorityClass)];
    const Duration decode = request.output.value() * rates.tokenInterval;
    const Duration expected = fromSeconds(toSeconds(firstToken + decode) * m_settings.margin) + m_settings.reserve;
    const Duration excess = std::max(wait - maxWait, expected - request.timeLeft);
    if (excess <= Duration::zero()) {
        return firstToken;
    }
    const Duration retryAfter = std::max(excess, m_settings.smallestRetryAfter);
    if (wait > Duration::zero() && excess <= fromSeconds(customerQueued / (classRate * customerShare))) {
        return Error {ResultCode::CustomerOverShare,
                      "The customer's queued requests already use its share of the capacity.",
                      retryAfter};
    }
    if (expected > request.timeLeft) {
        return Error {ResultCode::DeadlineNotFeasible,
                      "The request is expected to end " + std::to_string((expected - request.timeLeft).count() / 1000)
                          + " ms after its deadline.",
                      retryAfter};
    }
    return Error {ResultCode::QueueFull, "The expected wait exceeds the limit of the priority class.", retryAfter};
}

double AdmissionController::classShare(PriorityClass priorityClass,
                                       const FairQueue &queue,
                                       const EngineProgress &progress) const
{
    double activeShares = 0.0;
    for (const PriorityClass other : AllPriorityClasses) {
        const bool active = queue.queuedWork(other) > Tokens(0) || progress.count(other) > 0;
        if (other == priorityClass || active) {
            activeShares += m_shares[classIndex(other)];
        }
    }
    return m_shares[classIndex(priorityClass)] / activeShares;
}

} // namespace ibismast
