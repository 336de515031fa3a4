#pragma once

#include "ibismast/relay/callflow.h"

#include <functional>

namespace ibismast
{

/// What became of an order to reserve memory.
enum class ReserveOutcome : std::uint8_t {
    Granted,
    Refused,
    /// No answer in time; the engine may still carry out the order.
    Unanswered,
};

/// Orders to engines about their memory.
class EngineOrders
{
public:
    using ReserveHandler = std::function<void(ReserveOutcome outcome)>;
    using ReleaseHandler = std::function<void(bool answered)>;
    using StateHandler = std::function<void(ReservationState state)>;

    /// Called with what the answer to an order or question says of its engine, if it says anything.
    using NoticeHandler = std::function<void(const UpstreamRecord &engine, const UpstreamNotice &notice)>;

    virtual ~EngineOrders() = default;

    void setNoticeHandler(NoticeHandler handler)
    {
        m_noticeHandler = std::move(handler);
    }

    /// Reserves memory on @p holder for @p hold, or extends the reservation of the same name. @p handler is called
    /// exactly once.
    virtual void reserve(const AttemptHelper &holder, Duration hold, ReserveHandler handler) = 0;
    /// Asks for the state of the reservation on @p holder. @p handler is called exactly once; no answer in time counts
    /// as `ReservationState::Unknown`.
    virtual void inspect(const AttemptHelper &holder, StateHandler handler) = 0;
    /// Ends a reservation. @p handler is called exactly once, with false if the engine did not answer in time or could
    /// not take the order.
    virtual void release(const AttemptHelper &holder, ReleaseHandler handler) = 0;

protected:
    void reportNotice(const UpstreamRecord &engine, const UpstreamNotice &notice) const
    {
        if (m_noticeHandler && notice != UpstreamNotice()) {
            m_noticeHandler(engine, notice);
        }
    }

private:
    NoticeHandler m_noticeHandler;
};

} // namespace ibismast
