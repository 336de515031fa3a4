#pragma once

#include "ibismast/core/result.h"
#include "ibismast/relay/customershares.h"
#include "ibismast/relay/engineload.h"

#include <set>

namespace ibismast
{

/// Settings of a `WaitingRoom`.
struct WaitingRoomSettings
{
    /// True if calls without a plan may wait at the entry instead of being refused.
    bool enabled = false;
    /// Maximum number of waiting calls.
    std::size_t maxCalls = 256;
    /// Maximum size of the bodies of all waiting calls.
    std::int64_t maxBytes = std::int64_t {8} << 20;
    /// Time for which a call may wait, however short its objective is.
    Duration minWait = std::chrono::milliseconds(100);
    /// Share of the time until its caller gives up for which a call that comes back after a refusal may wait. Its
    /// objective has passed.
    double returningWaitShare = 0.8;
    /// Share of the same time that the predicted time to the first event of such a call may take.
    double returningPredictionShare = 0.5;
    /// Share of its wait after which a call is not overtaken by smaller ones any more.
    double overtakenShare = 0.5;
    /// A call may be overtaken by calls that need at most this share of its KV memory.
    double smallCallShare = 0.25;
    /// Limits of the Retry-After of calls for which the room is predicted to come too late.
    Duration minRetryAfter = std::chrono::milliseconds(200);
    Duration maxRetryAfter = std::chrono::seconds(3);

    /// Returns an error that names the first field that is out of range.
    [[nodiscard]] Result<Success> validate() const;
};

/// Call that waits for room at the engines.
struct WaitingCall
{
    CallNumber number;
    ServiceName service;
    /// See `CallRanker::dueTime`.
    TimePoint due;
    /// Time until which a start is of use.
    TimePoint latestStart;
    /// KV memory that the call needs.
    Tokens memory;
    /// Size of the body.
    std::int64_t bytes = 0;
    /// Time at which the call began to wait; set by the room.
    TimePoint entered {};
    CustomerId customer {};
    /// Predicted engine time.
    Duration work {};
};

/// Calls that could not begin when they arrived, since the start of the process.
struct WaitCounts
{
    std::uint64_t entered = 0;
    std::uint64_t started = 0;
    /// Calls that were refused instead of waiting, and those refused while they waited.
    std::uint64_t refusedAtOnce = 0;
    std::uint64_t refusedLater = 0;
};

/// Calls of this entry that wait for room at the engines, in the order of their due times.
class WaitingRoom
{
public:
    explicit WaitingRoom(const WaitingRoomSettings &settings);

    /// Returns the calls that have to leave so that @p call can enter, all of which are due later; empty if there is
    /// not enough room for it. The list itself is empty if nobody has to leave or the call waits already.
    [[nodiscard]] std::optional<std::vector<CallNumber>> displacedBy(const WaitingCall &call) const;
    /// Adds @p call, or updates it if it waits already. The calls that it displaces must have left.
    void enter(WaitingCall call, TimePoint now);
    /// Removes a call; unknown ones are ignored.
    void leave(const CallNumber &number);

    /// True if no waiting call has a better claim to the next room than @p call, which may wait itself.
    [[nodiscard]] bool mayStart(const WaitingCall &call, TimePoint now) const;
    /// Number of calls of the same service that are due before @p call.
    [[nodiscard]] std::size_t callsBefore(const WaitingCall &call) const;
    /// Returns up to @p count calls, those due first.
    [[nodiscard]] std::vector<CallNumber> first(std::size_t count) const;
    /// Returns the work that waits for each customer.
    [[nodiscard]] std::vector<CustomerWork> waitingWork() const;
    /// Returns when a call began to wait; empty if it does not wait.
    [[nodiscard]] std::optional<TimePoint> enteredAt(const CallNumber &number) const;
    [[nodiscard]] std::size_t size() const
    {
        return m_calls.size();
    }
    [[nodiscard]] std::int64_t bytes() const
    {
        return m_bytes;
    }

private:
    using Position = std::pair<TimePoint, CallNumber>;

    WaitingRoomSettings m_settings;
    std::map<CallNumber, WaitingCall> m_calls;
    std::set<Position> m_order;
    std::int64_t m_bytes = 0;
};

} // namespace ibismast
