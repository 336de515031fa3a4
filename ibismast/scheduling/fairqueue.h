#pragma once

#include "ibismast/core/ids.h"
#include "ibismast/scheduling/fairqueuesettings.h"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <set>

namespace ibismast
{

/// Attempt that waits in a `FairQueue`.
struct QueuedAttempt
{
    AttemptId attempt;
    CustomerId customer;
    double weight = 1.0;
    PriorityClass priorityClass = PriorityClass::Short;
    /// Prefill tokens without the expected prefix hit, plus decode tokens.
    Tokens work;
    /// Size of the body.
    Bytes bytes;
    /// Time from which the attempt goes before all that are not urgent; `TimePoint::max()` for never.
    TimePoint urgentAt = TimePoint::max();
};

/// Queue with classes that have reserved shares, and weighted customers within each class.
///
/// A class is chosen by its service divided by its share, as in stride scheduling; the owner charges service as the
/// engine gives it, so that a long prompt is not charged before it has received anything. Within a class, customers are
/// served by deficit round robin (Shreedhar, Varghese, 1995) counted in tokens.
class FairQueue
{
public:
    /// Decides whether an attempt may leave the queue now.
    using Filter = std::function<bool(const QueuedAttempt &)>;

    explicit FairQueue(const FairQueueSettings &settings);

    /// Adds an attempt; returns false if a bound of the queue would be exceeded.
    [[nodiscard]] bool push(QueuedAttempt attempt);
    /// Removes an attempt; returns false if it is not queued.
    bool remove(const AttemptId &attempt);
    /// Takes the next attempt among the heads that @p mayLeave accepts: urgent ones first, then by class and customer.
    /// A head that is not accepted holds back its class, not the other classes.
    [[nodiscard]] std::optional<QueuedAttempt> pop(TimePoint now, const Filter &mayLeave);
    /// Charges @p work that the engine did for @p priorityClass.
    void charge(PriorityClass priorityClass, double work);
    /// Tells whether @p priorityClass has work in the engine; a class that has none and no queue gathers no credit.
    void setInService(PriorityClass priorityClass, bool inService);
    /// Service of @p priorityClass divided by its share, less that of the least served class that has work.
    [[nodiscard]] double lead(PriorityClass priorityClass) const;

    [[nodiscard]] bool contains(const AttemptId &attempt) const;
    [[nodiscard]] std::size_t size() const;
    /// Queued work of a class, and of one customer within it.
    [[nodiscard]] Tokens queuedWork(PriorityClass priorityClass) const;
    [[nodiscard]] Tokens queuedWork(PriorityClass priorityClass, const CustomerId &customer) const;
    /// Sum of the weights of the customers that have queued work in @p priorityClass, @p except left out.
    [[nodiscard]] double waitingWeight(PriorityClass priorityClass, const CustomerId &except) const;
    /// Ids of all queued attempts.
    [[nodiscard]] std::vector<AttemptId> attempts() const;

private:
    struct Customer
    {
        std::deque<QueuedAttempt> waiting;
        double weight = 1.0;
        double deficit = 0.0;
        Tokens work;
    };
    struct ClassQueue
    {
        std::map<CustomerId, Customer> customers;
        /// Customers with queued work, the next to serve first.
        std::list<CustomerId> round;
        Tokens work;
        double service = 0.0;
        bool inService = false;
    };
    /// Customer whose head may leave the queue.
    struct Candidate
    {
        std::list<CustomerId>::iterator key;
        Customer *customer = nullptr;
    };
    struct Position
    {
        std::size_t classQueue = 0;
        CustomerId customer;
        Tokens work;
        Bytes bytes;
        TimePoint urgentAt;
    };

    [[nodiscard]] std::size_t queueIndex(PriorityClass priorityClass) const;
    [[nodiscard]] CustomerId queueCustomer(const CustomerId &customer) const;
    [[nodiscard]] bool active(const ClassQueue &queue) const;
    [[nodiscard]] std::optional<double> leastService(const ClassQueue *except) const;
    void activate(ClassQueue &queue);
    [[nodiscard]] std::optional<QueuedAttempt> popUrgent(TimePoint now, const Filter &mayLeave);
    [[nodiscard]] std::optional<QueuedAttempt> popClass(ClassQueue &queue, const Filter &mayLeave);
    QueuedAttempt take(const AttemptId &attempt);

    FairQueueSettings m_settings;
    PerClass<ClassQueue> m_classes;
    std::map<AttemptId, Position> m_positions;
    std::set<std::pair<TimePoint, AttemptId>> m_urgent;
    Tokens m_work;
    Bytes m_bytes;
};

} // namespace ibismast
