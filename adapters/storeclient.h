#pragma once

#include "adapters/store/etcdgatewayclient.h"

#include "ibismast/store/storegate.h"

namespace ibismast
{

/// Settings of a `StoreClient`.
struct StoreClientSettings
{
    EtcdGatewayClientSettings gateway;
    StoreGateSettings gate;
};

/// Sends the store calls of all state machines of a process within its `StoreBudget` and gives each answer to the
/// machine that asked. The machines are told apart by the range of their call ids.
class StoreClient : public QObject
{
public:
    using AnswerHandler = std::function<void(const StoreAnswer &answer)>;

    StoreClient(const StoreClientSettings &settings, std::uint64_t seed);

    /// Sets the receiver of the answers to calls whose ids come from `StoreCallIds(range)`.
    void setHandler(std::uint16_t range, AnswerHandler handler);
    /// Queues @p call. Answers arrive from the event loop, never within this function.
    void execute(const StoreCall &call);
    /// True while the store seems to be down.
    [[nodiscard]] bool suspectsOutage() const;

private:
    void answered(const StoreAnswer &answer);
    void passOn(const StoreAnswer &answer);
    void run();
    void schedule();

    StoreGate m_gate;
    EtcdGatewayClient m_client;
    std::map<std::uint16_t, AnswerHandler> m_handlers;
    QTimer m_timer;
};

} // namespace ibismast
