#pragma once

#include "ibismast/operator/operatorservice.h"

namespace ibismast
{

/// Change that waits for its outcome.
struct OperatorService::PendingChange
{
    OperatorCallId id;
    OperatorIdentity who;
    WallTime time;
    std::string action;
    std::string changeId;
    /// Revision that was in force here when the call arrived.
    Revision from;
};

/// Call that waits for past records or for the audit trail.
struct OperatorService::PendingReading
{
    using Call = std::variant<HistoryCall, ShowCall, RollbackCall>;

    PendingReading(Call request, PendingChange origin, StoreCallIds &ids)
        : call(std::move(request)), change(std::move(origin)), history(ids), audit(ids)
    {
    }

    Call call;
    PendingChange change;
    /// State in force when the call arrived; past states are derived from it.
    ConfigState state;
    ConfigHistoryReader history;
    AuditReader audit;
};

} // namespace ibismast
