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

/// Attempt queued in a `FairQueue`.
struct QueuedAttempt
{
    AttemptId attempt;
    CustomerId customer;
    /// Weight of the customer within its class; must be positive.
    double weight = 1.0;
    PriorityClass priorityClass = PriorityClass::Short;
    /// Tokens to prefill, less the expected prefix cache hit, plus tokens to decode.
    Tokens work;
    /// Size of the request body.
    Bytes bytes;
    /// Time from which the attempt is urgent and precedes all attempts that are not; `TimePoint::max()` for never.
    TimePoint urgentAt = TimePoint::max();
};

/// Two-level fair queue: priority classes with reserved shares, and weighted customers within each class.
///
/// The class with the least service relative to its share is served first, as in stride scheduling. The owner charges
/// service when the engine has done the work, not when an attempt leaves the queue, so that a long prompt is not
/// charged in advance. Within a class, customers are served by deficit round robin (Shreedhar, Varghese, 1995) counted
/// in tokens.
class FairQueue
{
public:
    /// Returns true if the attempt may leave the queue now.
    using Filter = std::function<bool(const QueuedAttempt &)>;

    explicit FairQueue(const FairQueueSettings &settings);

    /// Adds an attempt. Returns false and adds nothing if `maxTokens` or `maxBytes` would be exceeded.
    [[nodiscard]] bool push(QueuedAttempt attempt);
    /// Removes an attempt; returns false if it is not queued.
    bool remove(const AttemptId &attempt);
    /// Removes and returns the next attempt that @p eligible accepts: urgent attempts first, by the time at which they
    /// became urgent, then the first attempt of a customer, by class and customer. An attempt that is rejected blocks
    /// only the attempts of the same customer and class that are queued behind it and are not urgent. Returns nothing
    /// if no attempt is accepted.
    [[nodiscard]] std::optional<QueuedAttempt> pop(TimePoint now, const Filter &eligible);
    /// Charges @p priorityClass for @p work, in tokens, that the engine has done.
    void charge(PriorityClass priorityClass, double work);
    /// Sets whether @p priorityClass has work in the engine. A class without work in the engine and in the queue is
    /// idle and accumulates no credit.
    void setInService(PriorityClass priorityClass, bool inService);
    /// Tokens charged to @p priorityClass divided by its share, minus the same quotient for a class that got exactly
    /// its share. Positive if the class got more than its share of the engine, negative if it got less.
    [[nodiscard]] double lead(PriorityClass priorityClass) const;

    [[nodiscard]] bool contains(const AttemptId &attempt) const;
    [[nodiscard]] std::size_t size() const;
    /// Queued work of a class, or of one customer within it.
    [[nodiscard]] Tokens queuedWork(PriorityClass priorityClass) const;
    [[nodiscard]] Tokens queuedWork(PriorityClass priorityClass, const CustomerId &customer) const;
    /// Sum of the weights of the customers other than @p except that have queued work in @p priorityClass.
    [[nodiscard]] double waitingWeight(PriorityClass priorityClass, const CustomerId &except) const;
    [[nodiscard]] std::vector<AttemptId> attempts() const;

private:
    struct Customer
    {
        std::deque<QueuedAttempt> waiting;
        double weight = 1.0;
        /// Unused credit of the deficit round robin, in tokens.
        double deficit = 0.0;
        /// Sum of the work in `waiting`.
        Tokens work;
    };
    struct ClassQueue
    {
        std::map<CustomerId, Customer> customers;
        /// Customers with queued work, in round-robin order.
        std::list<CustomerId> activeCustomers;
        /// Sum of the queued work.
        Tokens work;
        /// Charged tokens divided by the share of the class; raised to the virtual time when an idle class becomes
        /// active.
        double normalizedService = 0.0;
        /// True while the class has work in the engine.
        bool inService = false;
    };
    /// Customer whose first attempt may leave the queue.
    struct Candidate
    {
        std::list<CustomerId>::iterator key;
        Customer *customer = nullptr;
    };
    /// Where an attempt is queued, and what it adds to the sums of the queue.
    struct Position
    {
        std::size_t classQueue = 0;
        CustomerId customer;
        Tokens work;
        Bytes bytes;
        TimePoint urgentAt;
    };

    /// Index of the queue of @p priorityClass; always 0 if the classes are not separated.
    [[nodiscard]] std::size_t queueIndex(PriorityClass priorityClass) const;
    /// Key under which attempts of @p customer are queued; the same for all if customers are not separated.
    [[nodiscard]] CustomerId queueCustomer(const CustomerId &customer) const;
    [[nodiscard]] bool active(const ClassQueue &queue) const;
    /// Prepares a class for new work; must be called before the work is added.
    void activate(ClassQueue &queue);
    [[nodiscard]] std::optional<QueuedAttempt> popUrgent(TimePoint now, const Filter &eligible);
    [[nodiscard]] std::optional<QueuedAttempt> popClass(ClassQueue &queue, const Filter &eligible);
    QueuedAttempt take(const AttemptId &attempt);

    FairQueueSettings m_settings;
    PerClass<ClassQueue> m_classes;
    std::map<AttemptId, Position> m_positions;
    std::set<std::pair<TimePoint, AttemptId>> m_urgent;
    Tokens m_work;
    Bytes m_bytes;
    /// Normalized service of a class that has always had work and has got exactly its share.
    double m_virtualTime = 0.0;
};

} // namespace ibismast
