#pragma once

#include "ibismast/agent/groupreservations.h"
#include "ibismast/agent/prefixtracker.h"

namespace ibismast
{

/// Accepts or refuses attempts and answers cancels.
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
    /// Refuses new attempts from now on.
    void setLeaving();
    /// Models that the engine has loaded.
    void setModels(std::vector<ModelName> models);
    [[nodiscard]] const std::vector<ModelName> &models() const;

private:
    /// Returns why attempt @p id cannot be taken at all, apart from capacity and the fields of its message.
    [[nodiscard]] std::optional<Error>
    objection(const PeerFrame &frame, const AttemptId &id, const ModelName &model, Duration timeLeft);
    /// Starts a group member whose memory is reserved.
    [[nodiscard]] Result<Duration> startMember(Attempt attempt, TimePoint now, AgentActions &out);
    /// Queues an attempt; returns the expected time until the first token.
    [[nodiscard]] Result<Duration> admit(Attempt attempt, TimePoint now);
    /// Stops older attempts of the same request, so that two of them never stream at once.
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
