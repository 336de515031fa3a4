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
        queue.activeCustomers.push_back(key);
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

std::optional<QueuedAttempt> FairQueue::pop(TimePoint now, const Filter &eligible)
{
    if (auto urgent = popUrgent(now, eligible)) {
        return urgent;
    }
    std::vector<std::pair<double, std::size_t>> order;
    for (std::size_t index = 0; index < m_classes.size(); ++index) {
        if (!m_classes[index].activeCustomers.empty()) {
            order.emplace_back(m_classes[index].normalizedService, index);
        }
    }
    std::ranges::sort(order);
    for (const auto &entry : order) {
        if (auto attempt = popClass(m_classes[entry.second], eligible)) {
            return attempt;
        }
    }
    return std::nullopt;
}

void FairQueue::charge(PriorityClass priorityClass, double work)
{
    const std::size_t index = queueIndex(priorityClass);
    m_classes[index].normalizedService += work / m_settings.classShares[index];
    double activeShares = 0.0;
    for (std::size_t other = 0; other < m_classes.size(); ++other) {
        activeShares += other == index || active(m_classes[other]) ? m_settings.classShares[other] : 0.0;
    }
    m_virtualTime += work / activeShares;
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
    return m_classes[queueIndex(priorityClass)].normalizedService - m_virtualTime;
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
    for (const CustomerId &key : queue.activeCustomers) {
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
    return queue.inService || !queue.activeCustomers.empty();
}

void FairQueue::activate(ClassQueue &queue)
{
    // A class that was idle restarts at the virtual time; otherwise it would be served alone until it had caught up on
    // the service that it did not need while idle.
    if (!active(queue)) {
        queue.normalizedService = std::max(queue.normalizedService, m_virtualTime);
    }
}

std::optional<QueuedAttempt> FairQueue::popUrgent(TimePoint now, const Filter &eligible)
{
    for (const auto &[time, attempt] : m_urgent) {
        if (time > now) {
            break;
        }
        const Position &position = m_positions.at(attempt);
        const auto &waiting = m_classes[position.classQueue].customers.at(position.customer).waiting;
        const auto found = std::ranges::find(waiting, attempt, &QueuedAttempt::attempt);
        assert(found != waiting.end());
        if (eligible(*found)) {
            return take(AttemptId(attempt));
        }
    }
    return std::nullopt;
}

std::optional<QueuedAttempt> FairQueue::popClass(ClassQueue &queue, const Filter &eligible)
{
    // Calls the filter once for the first attempt of each customer, because its result may depend on earlier calls.
    // Customers whose first attempt is rejected gain no deficit, so that a blocked customer accumulates no credit.
    std::vector<Candidate> candidates;
    for (auto key = queue.activeCustomers.begin(); key != queue.activeCustomers.end(); ++key) {
        Customer &customer = queue.customers.at(*key);
        if (eligible(customer.waiting.front())) {
            candidates.push_back({key, &customer});
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    // Makes all rounds until the first customer can afford its next attempt in one step: a long prompt takes hundreds.
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
    // Keeps the customer first, so that it is served again as long as its deficit covers its next attempt.
    queue.activeCustomers.splice(queue.activeCustomers.begin(), queue.activeCustomers, next->key);
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
        queue.activeCustomers.remove(position->second.customer);
        // A customer without queued work keeps no deficit. Erasing it also bounds the size of the map.
        queue.customers.erase(entry);
    }
    m_positions.erase(position);
    return taken;
}

} // namespace ibismast
