#include "ibismast/admission/admissioncontroller.h"

#include <algorithm>

namespace ibismast
{

namespace
{

double asDouble(Tokens tokens)
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
    const double customerPart =
        request.weight / (request.weight + queue.waitingWeight(priorityClass, request.customer));
    const double own = asDouble(request.prefill);
    const double ownQueue = asDouble(queue.queuedWork(priorityClass, request.customer));
    const double classWork = progress.remaining(priorityClass) + asDouble(queue.queuedWork(priorityClass));
    double allWork = progress.remaining();
    for (const PriorityClass other : AllPriorityClasses) {
        allWork += asDouble(queue.queuedWork(other));
    }
    // What the shares guarantee, and what holds if nothing but the work ahead and some overtaking work is served.
    const auto prefilledAfter = [&](double ownPart) {
        const double guaranteed = (progress.remaining(priorityClass) + (ownQueue + ownPart) / customerPart) / classRate;
        const double withoutOthers = std::min((classWork + ownPart) / classRate, (allWork + ownPart) / rates.prefill);
        return fromSeconds(std::min(guaranteed, m_settings.overtaking * withoutOthers));
    };
    const Duration wait = std::max(prefilledAfter(0.0), request.memoryWait);
    const Duration firstToken = std::max(prefilledAfter(own), wait + fromSeconds(own / rates.prefill));
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
    if (wait > Duration::zero() && excess <= fromSeconds(ownQueue / (classRate * customerPart))) {
        return Error {ResultCode::CustomerOverShare,
                      "The customer's own queued requests take its share of the capacity.",
                      retryAfter};
    }
    if (expected > request.timeLeft) {
        return Error {ResultCode::DeadlineNotFeasible,
                      "The request would end " + std::to_string((expected - request.timeLeft).count() / 1000)
                          + " ms after its deadline.",
                      retryAfter};
    }
    return Error {ResultCode::QueueFull, "The expected wait in the queue is too long.", retryAfter};
}

double AdmissionController::classShare(PriorityClass priorityClass,
                                       const FairQueue &queue,
                                       const EngineProgress &progress) const
{
    double sum = 0.0;
    for (const PriorityClass other : AllPriorityClasses) {
        const bool active = queue.queuedWork(other) > Tokens(0) || progress.count(other) > 0;
        if (other == priorityClass || active) {
            sum += m_shares[classIndex(other)];
        }
    }
    return m_shares[classIndex(priorityClass)] / sum;
}

} // namespace ibismast
