#pragma once

#include "ibismast/store/storemessages.h"

#include <vector>

namespace ibismast
{

/// Store calls issued by a state machine, in the order in which its process sends them.
using StoreCalls = std::vector<StoreCall>;
/// Answers received from the store.
using StoreAnswers = std::vector<StoreAnswer>;

/// Asynchronous interface to the platform's key-value service; implemented by an adapter and by the test harness.
class KeyValueStore
{
public:
    virtual ~KeyValueStore() = default;

    /// Sends @p call. Its answer is delivered later by `takeAnswers` with the same id; a watch can have many answers.
    virtual void submit(const StoreCall &call, TimePoint now) = 0;
    /// Removes and returns the answers that have arrived by @p now.
    [[nodiscard]] virtual StoreAnswers takeAnswers(TimePoint now) = 0;
};

/// Generates call ids. The state machines of one process use disjoint ranges, so that an answer can be routed to the
/// state machine that made the call.
class StoreCallIds
{
public:
    /// @p range must be unique within the process and forms the upper 16 bits of each id; @p first is the initial
    /// value of the lower 48 bits.
    explicit StoreCallIds(std::uint16_t range, std::uint64_t first = 1)
        : m_next((static_cast<std::uint64_t>(range) << 48U) + first)
    {
    }

    [[nodiscard]] StoreCallId next()
    {
        return StoreCallId(m_next++);
    }

private:
    std::uint64_t m_next;
};

/// Returns the range of the `StoreCallIds` that generated @p id.
[[nodiscard]] inline std::uint16_t storeCallRange(StoreCallId id)
{
    return static_cast<std::uint16_t>(id.value() >> 48U);
}

void appendCall(StoreCalls &calls, StoreCallId id, StoreOperation operation);

/// Returns true if @p operation counts against the write rate limit; all others count against the read rate limit.
/// Lease operations are writes; a transaction without puts and deletes, a watch and its cancellation are reads.
[[nodiscard]] inline bool isWrite(const StoreOperation &operation)
{
    const auto *transaction = std::get_if<StoreTransactionCall>(&operation);
    return transaction ? !transaction->puts.empty() || !transaction->deletes.empty()
                       : !std::holds_alternative<StoreRead>(operation) && !std::holds_alternative<StoreWatch>(operation)
            && !std::holds_alternative<StoreWatchCancel>(operation);
}

/// Returns the exclusive end of the range of all keys that start with @p prefix. @p prefix must not be empty, and its
/// last byte must not be 0xFF, since incrementing that byte would wrap around.
[[nodiscard]] std::string prefixEnd(std::string prefix);

} // namespace ibismast
