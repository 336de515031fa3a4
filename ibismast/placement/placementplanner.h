#pragma once

#include "ibismast/placement/placementtypes.h"

namespace ibismast
{

/// Settings of `PlacementPlanner`.
struct PlacementPlannerSettings
{
    /// Rate at which this planner may have weights fetched from the weight store, in bytes per second.
    double weightBytesPerSecond = 2e9;
    /// Bytes that may be fetched at once after a pause. One copy larger than this is allowed when the bucket is full.
    double weightBurstBytes = 64e9;
    /// Time after which an order without a result is given up.
    Duration orderTimeout = std::chrono::minutes(3);
    /// Pause before an upstream that refused an order gets another one.
    Duration refusalPause = std::chrono::seconds(30);
    /// Shortest time between two role changes of one model.
    Duration roleDwell = std::chrono::minutes(2);
    /// Copies by which the wanted number of prefill copies must differ before a role changes. Above 0.5, so that demand
    /// at the border between two numbers changes nothing.
    double roleHysteresis = 0.75;

    /// Returns an error that names the first field outside its range.
    [[nodiscard]] Result<Success> validate() const;
};

/// Decides which upstreams of one failure domain load and unload which models, and in which role they run them.
///
/// A failure domain is a placement shard with a lease of its own. Since the declarations ask for copies in each domain,
/// the shards are independent, and the copies are spread over the domains.
class PlacementPlanner
{
public:
    /// @p self issues the orders; @p domain is the shard.
    PlacementPlanner(const PlacementPlannerSettings &settings, InstanceId self, FailureDomain domain);

    /// Sets the declarations in force.
    void setDeclarations(const Declarations &declarations);
    /// Sets what an upstream reports of itself.
    void observe(UpstreamStatus status);
    /// An upstream is no longer known.
    void forget(const InstanceId &upstream);
    void setDemand(const ModelName &model, const ModelDemand &demand);
    /// Joint-failure set that was observed for an upstream; replaces the declared one.
    void setJointFailureSet(const InstanceId &upstream, const std::string &set);
    /// Handles the result of an order; others' results are ignored.
    void handleResult(const UpstreamOrderResult &result, TimePoint now);

    /// Returns the orders to give now. Call it only with a token that the lease holder returned for @p now.
    [[nodiscard]] std::vector<PlacementOrder> plan(FencingToken token, TimePoint now);
    /// Number of orders without a result.
    [[nodiscard]] std::size_t ordersUnderWay() const;

private:
    struct Pending
    {
        std::uint64_t call = 0;
        std::string verb;
        ModelName model;
        TimePoint deadline {};
    };
    struct Node
    {
        UpstreamStatus status;
        std::optional<Pending> pending;
        TimePoint pausedUntil {};
    };
    using Orders = std::vector<PlacementOrder>;

    void expire(TimePoint now);
    void planModel(const ModelDeclaration &model, TimePoint now, Orders &out);
    void planLoads(const ModelDeclaration &model, int missing, TimePoint now, Orders &out);
    bool makeRoom(const ModelDeclaration &model, TimePoint now, Orders &out);
    void planAdapters(const ModelDeclaration &model, TimePoint now, Orders &out);
    void planUnloads(const ModelDeclaration &model, TimePoint now, Orders &out);
    void planRoles(const ModelDeclaration &model, TimePoint now, Orders &out);
    void planUndeclared(TimePoint now, Orders &out);
    void order(Node &node, UpstreamOrder order, TimePoint now, Orders &out);
    [[nodiscard]] bool takeWeights(Bytes bytes, TimePoint now);
    [[nodiscard]] bool usable(const Node &node) const;
    [[nodiscard]] bool free(const Node &node, TimePoint now) const;
    [[nodiscard]] Tokens freeMemory(const Node &node) const;
    [[nodiscard]] const std::string &jointSet(const InstanceId &upstream) const;
    [[nodiscard]] int copiesInSet(const ModelName &model, const std::string &set) const;
    [[nodiscard]] int liveCopies(const ModelName &model, const std::string *version) const;
    [[nodiscard]] int copiesAndLoads(const ModelDeclaration &model) const;
    [[nodiscard]] UpstreamRole roleForNewCopy(const ModelDeclaration &model) const;
    [[nodiscard]] int wantedPrefillCopies(const ModelDeclaration &model, int copies, int present) const;

    PlacementPlannerSettings m_settings;
    InstanceId m_self;
    FailureDomain m_domain;
    Declarations m_declarations;
    std::map<InstanceId, Node> m_nodes;
    std::map<ModelName, ModelDemand> m_demand;
    std::map<InstanceId, std::string> m_observedSets;
    std::map<ModelName, TimePoint> m_roleChanges;
    std::uint64_t m_calls = 0;
    FencingToken m_token;
    double m_weightBytes;
    TimePoint m_weightUpdated {};
};

} // namespace ibismast
