#pragma once

#include "ibismast/operator/operatorservice.h"

#include <QtCore/QTimer>

#include <functional>

namespace ibismast
{

class ConfigDriver;
class EventListener;
class StoreClient;

/// Drives an `OperatorService`: connects it with the process's configuration and the key-value service.
class OperatorDriver : public QObject
{
public:
    using ReplyHandler = std::function<void(const OperatorReply &reply)>;

    /// @p writer names this process run in the audit trail. @p config and @p store must outlive the driver; @p listener
    /// gets the audit records and may be null.
    OperatorDriver(const OperatorServiceSettings &settings,
                   const std::string &writer,
                   ConfigDriver &config,
                   StoreClient &store,
                   EventListener *listener);
    ~OperatorDriver() override;

    void start();
    void stop();
    /// Starts a call. @p handler is called once, from the event loop and never within this function.
    void call(const OperatorIdentity &who, OperatorRequest request, ReplyHandler handler);
    /// Number of calls that have not been answered.
    [[nodiscard]] std::size_t openCalls() const;
    /// True while a change or an audit record waits for the store.
    [[nodiscard]] bool busy() const;

private:
    void feed(const std::function<void(TimePoint now, StoreCalls &out)> &input);
    void answer();

    ConfigDriver &m_config;
    StoreClient &m_store;
    StoreCallIds m_ids;
    OperatorService m_service;
    std::map<OperatorCallId, ReplyHandler> m_handlers;
    QTimer m_timer;
    QTimer m_answerTimer;
};

} // namespace ibismast
