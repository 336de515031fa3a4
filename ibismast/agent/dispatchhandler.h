#pragma once

#include "ibismast/agent/groupreservations.h"
#include "ibismast/agent/prefixtracker.h"

namespace ibismast
{

/// Handles dispatches, cancels and memory reservations of entries: accepts or refuses them and replies to the sender.
class DispatchHandler
{
public:
    DispatchHandler(const AgentContext &context,
                    AttemptRunner &runner,
                    GroupReservations &groups,
                    const PrefixTracker &prefixes);

    void dispatch(const PeerFrame &frame, const DispatchRequest &request, TimePoint now, AgentActions &out);
    void cancel(const PeerFrame &frame, const CancelAttempt &message, TimePoint now, AgentActions &out);
    void reserve(const PeerFrame &frame, const ReserveMemory &message, TimePoint now, AgentActions &out);
    /// Refuses all new attempts and reservations from now on.
    void setLeaving();
    /// Sets the models that the engine has loaded.
    void setModels(std::vector<ModelName> models);
    [[nodiscard]] const std::vector<ModelName> &models() const;

private:
    /// Returns the reason for which attempt @p id must be refused regardless of capacity, if there is one.
    [[nodiscard]] std::optional<Error>
    rejectionReason(const PeerFrame &frame, const AttemptId &id, const ModelName &model, Duration timeLeft);
    /// Starts a group member on the memory that was reserved for it; returns the expected prefill time.
    [[nodiscard]] Result<Duration> startMember(Attempt attempt, TimePoint now, AgentActions &out);
    /// Queues an attempt if admission control accepts it; returns the expected time until the first token.
    [[nodiscard]] Result<Duration> admit(Attempt attempt, TimePoint now);
    /// Stops other attempts of the same request, so that no two of them stream at the same time.
    void supersede(const AttemptId &id, TimePoint now, AgentActions &out);

    const AgentContext &m_context;
    AttemptRunner &m_runner;
    GroupReservations &m_groups;
    const PrefixTracker &m_prefixes;
    AdmissionController m_admission;
    std::vector<ModelName> m_models;
    bool m_leaving = false;
};

} // namespace ibismast
