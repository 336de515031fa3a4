#pragma once

#include "ibismast/relay/callflow.h"

#include <functional>

namespace ibismast
{

/// Orders to engines about their memory.
class EngineOrders
{
public:
    using GrantHandler = std::function<void(bool granted)>;
    using ReleaseHandler = std::function<void(bool answered)>;
    using StateHandler = std::function<void(ReservationState state)>;

    /// Called when an engine has refused an order and wants no requests from this entry for @p pause.
    using PauseHandler = std::function<void(const UpstreamRecord &engine, Duration pause)>;

    virtual ~EngineOrders() = default;

    void setPauseHandler(PauseHandler handler)
    {
        m_pauseHandler = std::move(handler);
    }

    /// Reserves memory on @p holder for @p hold, or extends the reservation of the same name. @p handler is called
    /// exactly once; no answer in time counts as a refusal.
    virtual void reserve(const AttemptHelper &holder, Duration hold, GrantHandler handler) = 0;
    /// Asks for the state of the reservation on @p holder. @p handler is called exactly once; no answer in time counts
    /// as `ReservationState::Unknown`.
    virtual void inspect(const AttemptHelper &holder, StateHandler handler) = 0;
    /// Ends a reservation. @p handler is called exactly once, with false if the engine did not answer in time or could
    /// not take the order.
    virtual void release(const AttemptHelper &holder, ReleaseHandler handler) = 0;

protected:
    void reportPause(const UpstreamRecord &engine, Duration pause) const
    {
        if (m_pauseHandler) {
            m_pauseHandler(engine, pause);
        }
    }

private:
    PauseHandler m_pauseHandler;
};

} // namespace ibismast
