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

    virtual ~EngineOrders() = default;

    /// Reserves memory on @p holder for @p hold, or extends the reservation of the same name. @p handler is called
    /// exactly once; no answer in time counts as a refusal.
    virtual void reserve(const AttemptHelper &holder, Duration hold, GrantHandler handler) = 0;
    /// Asks for the state of the reservation on @p holder. @p handler is called exactly once; no answer in time counts
    /// as `ReservationState::Unknown`.
    virtual void inspect(const AttemptHelper &holder, StateHandler handler) = 0;
    /// Ends a reservation. @p handler is called exactly once, with false if the engine did not answer in time or could
    /// not take the order.
    virtual void release(const AttemptHelper &holder, ReleaseHandler handler) = 0;
};

} // namespace ibismast
