#pragma once

#include "ibismast/core/ids.h"
#include "ibismast/core/units.h"

#include <map>

namespace ibismast
{

/// Settings of a `CapacityGate`.
struct CapacityGateSettings
{
    /// Smallest part of a model's upstreams whose loss counts as a joint loss; at least two must be lost.
    double jointLossShare = 0.1;
    /// Time for which admission stays reduced after the last loss; by then load reports and refusals show the new
    /// state.
    Duration reductionTime = std::chrono::seconds(10);
    /// Open work that is always admitted for each live upstream.
    Tokens workPerUpstream {10'000};
};

/// Reduces admission to the live capacity after upstreams were lost together.
///
/// The entry's open work on a model before the loss is taken as what the upstreams could bear. While the reduction is
/// in force, the open work is limited to the live part of it; each customer may still have its weighted share.
class CapacityGate
{
public:
    explicit CapacityGate(const CapacityGateSettings &settings);

    /// An upstream of @p model was lost; @p live upstreams are left.
    void noteLost(const ModelName &model, std::size_t live, TimePoint now);
    /// Returns false if a request of @p work tokens is beyond the customer's part of the reduced capacity; otherwise
    /// counts it as open work until `release`.
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
        /// State before the first loss of the present series.
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
