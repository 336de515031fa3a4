#pragma once

#include "adapters/outgoingcall.h"

#include "ibismast/core/upstreammessages.h"

#include <set>

namespace ibismast
{

/// Invokes calls on the plain service beside the agent, each at most once.
class ServiceClient : public QObject
{
public:
    using EventHandler = std::function<void(const ServiceEvent &event)>;

    ServiceClient(const HttpEndpoint &endpoint, EventHandler handler);
    ~ServiceClient() override;

    /// Invokes @p call; exactly one event follows, at the end of `timeLeft` at the latest.
    void invoke(const ServiceInvoke &call);
    /// Closes all connections without further events.
    void stop();

private:
    HttpEndpoint m_endpoint;
    EventHandler m_handler;
    std::set<OutgoingCall *> m_calls;
};

} // namespace ibismast
