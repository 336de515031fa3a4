#pragma once

#include "ibismast/routing/subsetselector.h"

#include <unordered_map>

namespace ibismast
{

/// Settings of an `UpstreamView`.
struct UpstreamViewSettings
{
    /// Largest number of upstreams over which this entry spreads the requests for one model or service.
    std::size_t subsetSize = 32;
    /// Time without a message of the agent after which its upstream gets no new work.
    Duration suspectAfter = std::chrono::seconds(3);
    /// Time without a message of the agent after which its upstream counts as lost.
    Duration lostAfter = std::chrono::seconds(6);
    /// Longest time for which the instance list may still show the state of an earlier incarnation.
    Duration listLag = std::chrono::seconds(30);
};

/// Upstreams known to this entry with their states and loads, and the subset of them for each model and service.
class UpstreamView
{
public:
    /// Result of `noteFrame`.
    enum class Change : std::uint8_t {
        None,
        /// The message is from an earlier incarnation and must be ignored.
        Stale,
        /// The agent has been restarted and has lost the attempts of its earlier incarnation.
        Restarted,
    };

    UpstreamView(const UpstreamViewSettings &settings, const InstanceId &self);

    /// Records that a message of an agent has arrived. An incarnation higher than the known one means that the agent
    /// was restarted, and resets the state of the upstream.
    Change noteFrame(const InstanceId &agent, Incarnation incarnation, TimePoint now);
    /// Applies the state and load in a heartbeat of the agent. Call `noteFrame` first.
    void applyHeartbeat(const Heartbeat &heartbeat, TimePoint now);
    /// Records that the connection to the agent was opened or closed. Closing it discards the counts of unacknowledged
    /// work and of open calls.
    void setConnected(const InstanceId &agent, bool connected, TimePoint now);
    /// Gives the agent's current incarnation no new work from now on. Does nothing if the agent is unknown.
    void markLeaving(const InstanceId &agent);
    /// Like `markLeaving`, for a leaving state in the platform's instance list. The list may lag behind and describe an
    /// earlier incarnation: if it showed the agent as leaving less than `listLag` ago and the agent has been restarted
    /// since, the call is ignored.
    void markLeavingByList(const InstanceId &agent, TimePoint now);
    /// Counts @p work as sent to the agent but not yet part of its load report.
    void noteDispatched(Upstream &upstream, PriorityClass priorityClass, Tokens work);
    /// Records that the agent has accepted the work; its next load report includes it.
    void noteAccepted(Upstream &upstream, PriorityClass priorityClass, Tokens work);
    /// Records that the agent has refused the work.
    void noteRefused(Upstream &upstream, PriorityClass priorityClass, Tokens work);
    /// Marks upstreams without messages for `suspectAfter` as suspected. Disconnects those without messages for
    /// `lostAfter` and returns them.
    [[nodiscard]] std::vector<InstanceId> checkSilence(TimePoint now);

    /// Returns the upstream, or null if it is unknown.
    [[nodiscard]] Upstream *find(const InstanceId &agent);
    /// Members of the subset for a model or service; empty if no upstream can take work for it.
    [[nodiscard]] const std::vector<Upstream *> &modelSubset(const ModelName &model) const;
    [[nodiscard]] const std::vector<Upstream *> &serviceSubset(const ServiceName &service) const;
    /// Number of upstreams that can take work for a model, in the subset or not.
    [[nodiscard]] std::size_t liveCount(const ModelName &model) const;
    /// True if the upstream is in the subset of any model or service.
    [[nodiscard]] bool isInSubset(const Upstream &upstream) const;
    /// All known upstreams by id.
    [[nodiscard]] std::map<InstanceId, Upstream> &all();

private:
    /// Returns the upstream of @p agent; adds it if it is unknown.
    Upstream &findOrCreate(const InstanceId &agent);
    /// Recomputes `routable` and adds the upstream to the selectors or removes it from them.
    void updateRoutable(Upstream &upstream);
    void addToSelectors(Upstream &upstream);
    void removeFromSelectors(Upstream &upstream);

    UpstreamViewSettings m_settings;
    std::uint64_t m_seed;
    std::map<InstanceId, Upstream> m_upstreams;
    std::unordered_map<ModelName, SubsetSelector> m_models;
    std::unordered_map<ServiceName, SubsetSelector> m_services;
    /// Time at which each agent was last marked as leaving because of the instance list.
    std::map<InstanceId, TimePoint> m_listedLeaving;
};

} // namespace ibismast
