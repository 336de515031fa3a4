#pragma once

#include "ibismast/config/confighistoryreader.h"
#include "ibismast/config/configlog.h"
#include "ibismast/operator/operatormessages.h"

#include <memory>

namespace ibismast
{

class ConfigRelay;
class EventListener;

/// Settings of `OperatorService`.
struct OperatorServiceSettings
{
    ConfigLogSettings log;
    AuditTrailSettings audit;
    /// Calls that may read the history or the audit trail at the same time.
    std::size_t concurrentReadings = 4;
    /// Largest number of entries of a history.
    std::size_t longestHistory = 1'000;
    /// Lagging peers named in a status.
    std::size_t namedPeers = 20;
};

/// Operators' calls in one process. Any process can serve them; all shared state is in the store.
class OperatorService
{
public:
    /// @p writer names this process run in the audit trail. @p replica and @p relay belong to the process.
    OperatorService(const OperatorServiceSettings &settings,
                    const std::string &writer,
                    ConfigReplica &replica,
                    const ConfigRelay &relay,
                    StoreCallIds &ids);
    ~OperatorService();

    /// Starts a call; its answer comes from `takeAnswers`. @p wallTime goes into records for people to read.
    OperatorCallId
    call(const OperatorIdentity &who, OperatorRequest request, WallTime wallTime, TimePoint now, StoreCalls &out);
    /// Handles an answer of the store; returns false if it belongs to another call.
    bool handle(const StoreAnswer &answer, TimePoint now, StoreCalls &out);
    void tick(TimePoint now, StoreCalls &out);
    /// Also reports each record of the audit trail as the event `operator_call` to @p listener, which may be null.
    void setListener(EventListener *listener);
    /// Tells whether the store seems to be up, for the status.
    void setStoreAvailable(bool available);
    /// Returns the answers since the last call.
    [[nodiscard]] std::vector<OperatorAnswer> takeAnswers();
    /// True while a change or an audit record waits for the store.
    [[nodiscard]] bool busy() const;

private:
    struct PendingChange;
    struct PendingReading;

    void reply(OperatorCallId id, OperatorReply reply);
    void addAudit(AuditRecord record, TimePoint now, StoreCalls &out);
    void
    refuse(const PendingChange &change, ResultCode code, const std::string &message, TimePoint now, StoreCalls &out);
    [[nodiscard]] PlanReply plan(const PlanCall &call) const;
    [[nodiscard]] StatusReply status(const StatusCall &call) const;
    void startReading(OperatorCallId id, PendingReading reading, TimePoint now, StoreCalls &out);
    void finishReading(OperatorCallId id, PendingReading &reading, TimePoint now, StoreCalls &out);
    void finishAuditReading(OperatorCallId id, const PendingReading &reading);
    void finishHistory(OperatorCallId id, const HistoryCall &call, const std::vector<ConfigRecord> &records);
    void submit(PendingChange change, ConfigChange edits, TimePoint now, StoreCalls &out);
    void takeOutcomes(TimePoint now, StoreCalls &out);

    OperatorServiceSettings m_settings;
    ConfigReplica *m_replica;
    const ConfigRelay *m_relay;
    StoreCallIds *m_ids;
    ConfigLog m_log;
    AuditTrail m_audit;
    EventListener *m_listener = nullptr;
    bool m_storeAvailable = true;
    std::uint64_t m_lastCall = 0;
    /// Calls by the change id under which they wait; two calls may carry the same id.
    std::multimap<std::string, PendingChange> m_changes;
    std::map<OperatorCallId, PendingReading> m_readings;
    std::vector<OperatorAnswer> m_answers;
};

} // namespace ibismast
