#pragma once

#include "ibismast/core/ids.h"
#include "ibismast/core/units.h"

#include <map>

namespace ibismast
{

/// Settings of a `CapacityGate`.
struct CapacityGateSettings
{
    /// Fraction of a model's upstreams that must be lost for admission to be reduced; at least two must be lost.
    double jointLossShare = 0.1;
    /// Time for which admission stays reduced after the last loss. By then, load reports and refusals of the remaining
    /// upstreams reflect the reduced capacity.
    Duration reductionTime = std::chrono::seconds(10);
    /// Lower bound of the reduced limit, in tokens of open work for each live upstream.
    Tokens workPerUpstream {10'000};
};

/// Limits admission for a model after several of its upstreams were lost at about the same time.
///
/// The capacity before the loss is estimated as the entry's open work (in tokens) for the model at that time. While the
/// reduction is in force, the open work is limited to the fraction of this estimate that corresponds to the live
/// upstreams. A customer that is below its weighted share of the limit is admitted even if the limit is reached.
class CapacityGate
{
public:
    explicit CapacityGate(const CapacityGateSettings &settings);

    /// Records the loss of an upstream of @p model; @p live upstreams remain.
    void noteLost(const ModelName &model, std::size_t live, TimePoint now);
    /// Returns false if a request of @p work tokens exceeds both the reduced limit and the customer's share of it.
    /// Otherwise counts the request as open work until `release`.
    [[nodiscard]] bool
    admit(const ModelName &model, const CustomerId &customer, double weight, Tokens work, TimePoint now);
    void release(const ModelName &model, const CustomerId &customer, Tokens work);

private:
    struct Customer
    {
        double weight = 1.0;
        Tokens work;
        std::size_t requests = 0;
    };
    struct Model
    {
        Tokens work;
        std::map<CustomerId, Customer> customers;
        /// State before the first loss of the current reduction.
        std::size_t upstreamsBefore = 0;
        Tokens workBefore;
        std::size_t live = 0;
        TimePoint reducedUntil = TimePoint::min();
    };

    [[nodiscard]] bool withinLimit(const Model &model, const CustomerId &customer, double weight, Tokens work) const;

    CapacityGateSettings m_settings;
    std::map<ModelName, Model> m_models;
};

} // namespace ibismast
