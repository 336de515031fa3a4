#pragma once

#include "ibismast/config/configlayout.h"
#include "ibismast/core/result.h"
#include "ibismast/store/keyvaluestore.h"

namespace ibismast
{

/// Reads past records of the configuration log from the store.
class ConfigHistoryReader
{
public:
    explicit ConfigHistoryReader(StoreCallIds &ids);

    /// Begins to read the records after @p from up to the head.
    void start(Revision from, StoreCalls &out);
    /// Handles an answer; returns false if it belongs to another call.
    bool handle(const StoreAnswer &answer, StoreCalls &out);
    [[nodiscard]] bool busy() const;
    /// Records in ascending order without gaps; complete once the reader is not busy.
    [[nodiscard]] const std::vector<ConfigRecord> &records() const;
    /// Set if the reading failed: `StoreUnavailable`, `RevisionNotFound` or `InternalError`.
    [[nodiscard]] const std::optional<Error> &failure() const;

private:
    void handleHead(const StoreReadResult &result, StoreCalls &out);
    void handleSegments(const StoreReadResult &result, StoreCalls &out);
    void readSegments(StoreCalls &out);

    StoreCallIds *m_ids;
    StoreCallId m_pending;
    Revision m_last;
    std::optional<ConfigHead> m_head;
    std::vector<ConfigRecord> m_records;
    std::optional<Error> m_failure;
};

} // namespace ibismast
