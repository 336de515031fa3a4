#pragma once

#include "ibismast/agent/agentactions.h"
#include "ibismast/agent/agentcoresettings.h"
#include "ibismast/core/eventlistener.h"

namespace ibismast
{

/// Settings, identity and event listener shared by the components of one `AgentCore`.
struct AgentContext
{
    AgentCoreSettings settings;
    /// Description of this agent as sent in heartbeats.
    PeerSummary self;
    /// Receiver of log events; may be null.
    EventListener *listener = nullptr;

    /// Reports an event to the listener, if one is set.
    void log(std::string_view name, const std::vector<LogField> &fields) const
    {
        if (listener != nullptr) {
            listener->onEvent(name, fields);
        }
    }
};

/// Appends an action that sends @p message to @p receiver.
void sendTo(const InstanceId &receiver, PeerMessage message, AgentActions &out);
/// Appends an action that sends @p command to the engine.
void sendToEngine(EngineCommand command, AgentActions &out);

} // namespace ibismast
