#pragma once

#include "ibismast/core/ids.h"
#include "ibismast/core/result.h"
#include "ibismast/core/units.h"

#include <map>
#include <vector>

namespace ibismast
{

/// Work of one customer at the engines of a service, as far as one entry has sent it.
struct CustomerWork
{
    ServiceName service;
    CustomerId customer;
    /// Predicted engine time of all calls sent since the entry has started.
    Duration sent {};
    /// Predicted engine time of the calls that wait at the entry.
    Duration waiting {};

    bool operator==(const CustomerWork &) const = default;
};

/// Settings of `CustomerShares`.
struct CustomerSharesSettings
{
    /// True if customers above their share yield to those that wait.
    bool enabled = false;
    /// Time constant of the exponential average of the work.
    Duration window = std::chrono::seconds(5);
    /// Share of the fair share by which a customer may exceed it.
    double tolerance = 0.25;
    /// Work of all customers in the window below which nobody is above a share.
    Duration minWork = std::chrono::seconds(2);
    /// Time by which calls of a customer above its share are due later.
    Duration yieldStep = std::chrono::seconds(1);
    /// Time for which a report of waiting calls is used. Entries report with each heartbeat.
    Duration reportTimeout = std::chrono::milliseconds(1200);
    /// Maximum number of customers in one report, those with the most work, and of customers that are tracked.
    std::size_t maxReported = 16;
    std::size_t maxCustomers = 4096;

    /// Returns an error that names the first field that is out of range.
    [[nodiscard]] Result<Success> validate() const;
};

/// Shares of the customers in the recent work of the engines, from the work of this entry and the reports of others.
///
/// All customers have the same weight. An entry decides only about its own calls, so no entry has to agree with another
/// one; their views differ by the work of one heartbeat.
class CustomerShares
{
public:
    explicit CustomerShares(const CustomerSharesSettings &settings);

    /// Records that this entry has sent a call that is predicted to need @p work of an engine.
    void noteSent(const ServiceName &service, const CustomerId &customer, Duration work, TimePoint now);
    /// Applies a report of another entry. The first one of a run only tells from where on its work counts.
    void applyReport(const InstanceId &entry, const std::vector<CustomerWork> &report, TimePoint now);
    /// Forgets another entry, which has failed or restarted. The work that it has sent stays in the averages.
    void dropEntry(const InstanceId &entry);
    /// Drops customers without recent work.
    void expire(TimePoint now);

    /// Returns the customers of this entry with the most work; @p waiting is added to it.
    [[nodiscard]] std::vector<CustomerWork> ownReport(const std::vector<CustomerWork> &waiting) const;
    /// True if @p customer has used more than its fair share of the recent work of all customers of @p service.
    [[nodiscard]] bool isAboveShare(const ServiceName &service, const CustomerId &customer, TimePoint now) const;
    /// Recent work of @p customer divided by its fair share; 0 without work.
    [[nodiscard]] double useOfShare(const ServiceName &service, const CustomerId &customer, TimePoint now) const;
    /// True if calls of other customers of @p service wait at another entry.
    [[nodiscard]] bool othersWait(const ServiceName &service, const CustomerId &customer, TimePoint now) const;

private:
    using Key = std::pair<ServiceName, CustomerId>;
    /// Exponentially decayed sum.
    struct Average
    {
        double seconds = 0.0;
        TimePoint at;
    };
    struct Reported
    {
        std::map<Key, Duration> sent;
        std::vector<Key> waiting;
        TimePoint at;
    };

    [[nodiscard]] double recent(const Average &average, TimePoint now) const;
    void add(const Key &key, Duration work, TimePoint now);
    [[nodiscard]] bool isActive(double seconds) const;

    CustomerSharesSettings m_settings;
    /// Recent work of all entries.
    std::map<Key, Average> m_recent;
    std::map<Key, Duration> m_ownSent;
    std::map<InstanceId, Reported> m_reports;
};

} // namespace ibismast
