#include "ibismast/scheduling/fairqueue.h"

#include <algorithm>
#include <cassert>
#include <string>

namespace ibismast
{

Result<Success> FairQueueSettings::validate() const
{
    const auto invalid = [](std::string message) {
        return Error {ResultCode::SettingsInvalid, std::move(message), std::nullopt};
    };
    for (const PriorityClass priorityClass : AllPriorityClasses) {
        if (!(classShares[classIndex(priorityClass)] > 0.0)) {
            return invalid("classShares." + std::string(toString(priorityClass)) + " must be positive");
        }
    }
    if (quantum <= Tokens(0)) {
        return invalid("quantum must be positive");
    }
    if (maxTokens <= Tokens(0)) {
        return invalid("maxTokens must be positive");
    }
    if (maxBytes <= Bytes(0)) {
        return invalid("maxBytes must be positive");
    }
    return Success();
}

FairQueue::FairQueue(const FairQueueSettings &settings) : m_settings(settings) { }

bool FairQueue::push(QueuedAttempt attempt)
{
    assert(!contains(attempt.attempt) && attempt.weight > 0.0);
    if (m_work + attempt.work > m_settings.maxTokens || m_bytes + attempt.bytes > m_settings.maxBytes) {
        return false;
    }
    ClassQueue &queue = m_classes[queueIndex(attempt.priorityClass)];
    activate(queue);
    const CustomerId key = queueCustomer(attempt.customer);
    Customer &customer = queue.customers[key];
    if (customer.waiting.empty()) {
        queue.round.push_back(key);
    }
    customer.weight = attempt.weight;
    customer.work += attempt.work;
    queue.work += attempt.work;
    m_work += attempt.work;
    m_bytes += attempt.bytes;
    m_positions.emplace(
        attempt.attempt,
        Position {queueIndex(attempt.priorityClass), key, attempt.work, attempt.bytes, attempt.urgentAt});
    if (attempt.urgentAt != TimePoint::max()) {
        m_urgent.emplace(attempt.urgentAt, attempt.attempt);
    }
    customer.waiting.push_back(std::move(attempt));
    return true;
}

bool FairQueue::remove(const AttemptId &attempt)
{
    if (!contains(attempt)) {
        return false;
    }
    take(attempt);
    return true;
}

std::optional<QueuedAttempt> FairQueue::pop(TimePoint now, const Filter &mayLeave)
{
    if (auto urgent = popUrgent(now, mayLeave)) {
        return urgent;
    }
    std::vector<std::pair<double, std::size_t>> order;
    for (std::size_t index = 0; index < m_classes.size(); ++index) {
        if (!m_classes[index].round.empty()) {
            order.emplace_back(m_classes[index].service, index);
        }
    }
    std::ranges::sort(order);
    for (const auto &entry : order) {
        if (auto attempt = popClass(m_classes[entry.second], mayLeave)) {
            return attempt;
        }
    }
    return std::nullopt;
}

void FairQueue::charge(PriorityClass priorityClass, double work)
{
    const std::size_t index = queueIndex(priorityClass);
    m_classes[index].service += work / m_settings.classShares[index];
}

void FairQueue::setInService(PriorityClass priorityClass, bool inService)
{
    ClassQueue &queue = m_classes[queueIndex(priorityClass)];
    if (inService) {
        activate(queue);
    }
    queue.inService = inService;
}

double FairQueue::lead(PriorityClass priorityClass) const
{
    const ClassQueue &queue = m_classes[queueIndex(priorityClass)];
    const auto least = leastService(&queue);
    return least ? queue.service - *least : 0.0;
}

bool FairQueue::contains(const AttemptId &attempt) const
{
    return m_positions.contains(attempt);
}

std::size_t FairQueue::size() const
{
    return m_positions.size();
}

Tokens FairQueue::queuedWork(PriorityClass priorityClass) const
{
    return m_classes[queueIndex(priorityClass)].work;
}

Tokens FairQueue::queuedWork(PriorityClass priorityClass, const CustomerId &customer) const
{
    const ClassQueue &queue = m_classes[queueIndex(priorityClass)];
    const auto found = queue.customers.find(queueCustomer(customer));
    return found == queue.customers.end() ? Tokens() : found->second.work;
}

double FairQueue::waitingWeight(PriorityClass priorityClass, const CustomerId &except) const
{
    const ClassQueue &queue = m_classes[queueIndex(priorityClass)];
    const CustomerId exceptKey = queueCustomer(except);
    double sum = 0.0;
    for (const CustomerId &key : queue.round) {
        if (key != exceptKey) {
            sum += queue.customers.at(key).weight;
        }
    }
    return sum;
}

std::vector<AttemptId> FairQueue::attempts() const
{
    std::vector<AttemptId> ids;
    for (const auto &entry : m_positions) {
        ids.push_back(entry.first);
    }
    return ids;
}

std::size_t FairQueue::queueIndex(PriorityClass priorityClass) const
{
    return m_settings.separateClasses ? classIndex(priorityClass) : 0;
}

CustomerId FairQueue::queueCustomer(const CustomerId &customer) const
{
    return m_settings.separateCustomers ? customer : CustomerId();
}

bool FairQueue::active(const ClassQueue &queue) const
{
    return queue.inService || !queue.round.empty();
}

std::optional<double> FairQueue::leastService(const ClassQueue *except) const
{
    std::optional<double> least;
    for (const ClassQueue &queue : m_classes) {
        if (&queue != except && active(queue) && (!least || queue.service < *least)) {
            least = queue.service;
        }
    }
    return least;
}

void FairQueue::activate(ClassQueue &queue)
{
    // A class that was idle starts level with the least served one, otherwise it could claim the past at once.
    if (!active(queue)) {
        if (const auto least = leastService(&queue)) {
            queue.service = std::max(queue.service, *least);
        }
    }
}

std::optional<QueuedAttempt> FairQueue::popUrgent(TimePoint now, const Filter &mayLeave)
{
    for (const auto &[time, attempt] : m_urgent) {
        if (time > now) {
            break;
        }
        const Position &position = m_positions.at(attempt);
        const auto &waiting = m_classes[position.classQueue].customers.at(position.customer).waiting;
        const auto found = std::ranges::find(waiting, attempt, &QueuedAttempt::attempt);
        assert(found != waiting.end());
        if (mayLeave(*found)) {
            return take(AttemptId(attempt));
        }
    }
    return std::nullopt;
}

std::optional<QueuedAttempt> FairQueue::popClass(ClassQueue &queue, const Filter &mayLeave)
{
    // The filter is asked once for each head: its answers may depend on the heads that it saw before. Heads that may
    // not leave get no deficit, so that a blocked customer does not gather credit.
    std::vector<Candidate> candidates;
    for (auto key = queue.round.begin(); key != queue.round.end(); ++key) {
        Customer &customer = queue.customers.at(*key);
        if (mayLeave(customer.waiting.front())) {
            candidates.push_back({key, &customer});
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    // The rounds until some head is covered are made in one step: a long prompt would need hundreds of them.
    const auto missing = [](const Candidate &candidate) {
        return static_cast<double>(candidate.customer->waiting.front().work.value()) - candidate.customer->deficit;
    };
    const auto perRound = [this](const Candidate &candidate) {
        return static_cast<double>(m_settings.quantum.value()) * candidate.customer->weight;
    };
    const auto next = std::ranges::min_element(candidates, {}, [&](const Candidate &candidate) {
        return std::max(0.0, missing(candidate) / perRound(candidate));
    });
    const double rounds = std::max(0.0, missing(*next) / perRound(*next));
    for (const Candidate &candidate : candidates) {
        candidate.customer->deficit += rounds * perRound(candidate);
    }
    Customer &served = *next->customer;
    served.deficit = std::max(0.0, served.deficit - static_cast<double>(served.waiting.front().work.value()));
    // The customer keeps its turn while its deficit lasts.
    queue.round.splice(queue.round.begin(), queue.round, next->key);
    return take(AttemptId(served.waiting.front().attempt));
}

QueuedAttempt FairQueue::take(const AttemptId &attempt)
{
    const auto position = m_positions.find(attempt);
    assert(position != m_positions.end());
    ClassQueue &queue = m_classes[position->second.classQueue];
    const auto entry = queue.customers.find(position->second.customer);
    Customer &customer = entry->second;
    const auto found = std::ranges::find(customer.waiting, attempt, &QueuedAttempt::attempt);
    assert(found != customer.waiting.end());
    QueuedAttempt taken = std::move(*found);
    customer.waiting.erase(found);
    customer.work -= taken.work;
    queue.work -= taken.work;
    m_work -= taken.work;
    m_bytes -= taken.bytes;
    m_urgent.erase({taken.urgentAt, taken.attempt});
    if (customer.waiting.empty()) {
        queue.round.remove(position->second.customer);
        // A customer without work keeps no credit; this also bounds the number of entries.
        queue.customers.erase(entry);
    }
    m_positions.erase(position);
    return taken;
}

} // namespace ibismast
