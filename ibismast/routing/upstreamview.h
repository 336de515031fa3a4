#pragma once

#include "ibismast/routing/subsetselector.h"

#include <unordered_map>

namespace ibismast
{

/// Settings of an `UpstreamView`.
struct UpstreamViewSettings
{
    /// Largest number of upstreams that requests for one model or service are spread over.
    std::size_t subsetSize = 32;
    /// Silence after which an upstream gets no new work.
    Duration suspectAfter = std::chrono::seconds(3);
    /// Silence after which an upstream counts as lost.
    Duration lostAfter = std::chrono::seconds(6);
    /// Time during which the instance list may still show the state of an earlier incarnation.
    Duration listLag = std::chrono::seconds(30);
};

/// Upstreams known from heartbeats, with their states and load, and the subset for each model and service.
class UpstreamView
{
public:
    /// What a heartbeat changed.
    enum class Change : std::uint8_t {
        None,
        /// The message is of an earlier run and was ignored.
        Stale,
        /// The agent has been restarted; what the earlier run knew is lost.
        Restarted,
    };

    UpstreamView(const UpstreamViewSettings &settings, const InstanceId &self);

    /// Notes a message of an agent; a higher incarnation than the known one is a restart.
    Change noteFrame(const InstanceId &agent, Incarnation incarnation, TimePoint now);
    /// Applies the state and load that the agent itself reports, after `noteFrame`.
    void applyHeartbeat(const Heartbeat &heartbeat, TimePoint now);
    void setConnected(const InstanceId &agent, bool connected, TimePoint now);
    /// Excludes the agent's present incarnation from new work for good.
    void markLeaving(const InstanceId &agent);
    /// Like `markLeaving`, for the platform's list, which may describe an earlier incarnation.
    void markLeavingByList(const InstanceId &agent, TimePoint now);
    /// Counts @p work as sent to the agent but not yet part of its load report.
    void noteDispatched(Upstream &upstream, PriorityClass priorityClass, Tokens work);
    /// The agent has taken the work; its next report includes it.
    void noteAccepted(Upstream &upstream, PriorityClass priorityClass, Tokens work);
    /// The agent has refused the work.
    void noteRefused(Upstream &upstream, PriorityClass priorityClass, Tokens work);
    /// Suspects silent upstreams; returns those that count as lost from now on.
    [[nodiscard]] std::vector<InstanceId> checkSilence(TimePoint now);

    /// Returns the upstream, or null if it is unknown.
    [[nodiscard]] Upstream *find(const InstanceId &agent);
    /// Members of the subset for a model or service, empty if there is none.
    [[nodiscard]] const std::vector<Upstream *> &modelSubset(const ModelName &model) const;
    [[nodiscard]] const std::vector<Upstream *> &serviceSubset(const ServiceName &service) const;
    /// Number of upstreams that can take work for a model, in the subset or not.
    [[nodiscard]] std::size_t liveCount(const ModelName &model) const;
    /// True if the upstream is in the subset of any model or service.
    [[nodiscard]] bool isInSubset(const Upstream &upstream) const;
    /// All known upstreams by id.
    [[nodiscard]] std::map<InstanceId, Upstream> &all();

private:
    Upstream &record(const InstanceId &agent);
    void refresh(Upstream &upstream);
    void enterSelectors(Upstream &upstream);
    void leaveSelectors(Upstream &upstream);

    UpstreamViewSettings m_settings;
    std::uint64_t m_seed;
    std::map<InstanceId, Upstream> m_upstreams;
    std::unordered_map<ModelName, SubsetSelector> m_models;
    std::unordered_map<ServiceName, SubsetSelector> m_services;
    std::map<InstanceId, TimePoint> m_listLeaving;
};

} // namespace ibismast
