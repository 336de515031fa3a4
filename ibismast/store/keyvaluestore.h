#pragma once

#include "ibismast/store/storemessages.h"

#include <vector>

namespace ibismast
{

/// Calls that a state machine asks its process to send to the store, in order.
using StoreCalls = std::vector<StoreCall>;
/// Answers of the store.
using StoreAnswers = std::vector<StoreAnswer>;

/// The platform's key-value service as the process sees it; implemented by an adapter and by the test harness.
class KeyValueStore
{
public:
    virtual ~KeyValueStore() = default;

    /// Sends @p call. Its answers arrive later and carry the same id; a watch has many.
    virtual void submit(const StoreCall &call, TimePoint now) = 0;
    /// Returns the answers that have arrived by @p now.
    [[nodiscard]] virtual StoreAnswers takeAnswers(TimePoint now) = 0;
};

/// Hands out call ids. The state machines of one process get disjoint ranges, so that an answer finds its machine.
class StoreCallIds
{
public:
    /// @p range separates this source from the others of the process; @p first is the first number in it.
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

/// Returns the range of the `StoreCallIds` that @p id comes from.
[[nodiscard]] inline std::uint16_t storeCallRange(StoreCallId id)
{
    return static_cast<std::uint16_t>(id.value() >> 48U);
}

/// Appends a call to @p calls.
void appendCall(StoreCalls &calls, StoreCallId id, StoreOperation operation);

/// Returns true if @p operation counts against the store's limit of writes; all others count as reads.
[[nodiscard]] inline bool isWrite(const StoreOperation &operation)
{
    const auto *transaction = std::get_if<StoreTransactionCall>(&operation);
    return transaction ? !transaction->puts.empty() || !transaction->deletes.empty()
                       : !std::holds_alternative<StoreRead>(operation) && !std::holds_alternative<StoreWatch>(operation)
            && !std::holds_alternative<StoreWatchCancel>(operation);
}

/// Returns the end of the range of all keys that start with @p prefix. @p prefix must not be empty.
[[nodiscard]] std::string prefixEnd(std::string prefix);

} // namespace ibismast
