#pragma once

#include "ibismast/agent/agentactions.h"
#include "ibismast/agent/agentcoresettings.h"
#include "ibismast/core/eventlistener.h"

namespace ibismast
{

/// What the parts of one `AgentCore` share.
struct AgentContext
{
    AgentCoreSettings settings;
    PeerSummary self;
    EventListener *listener = nullptr;

    /// Reports an event to the listener, if there is one.
    void log(std::string_view name, const std::vector<LogField> &fields) const
    {
        if (listener != nullptr) {
            listener->onEvent(name, fields);
        }
    }
};

/// Sends @p message to @p receiver.
void sendTo(const InstanceId &receiver, PeerMessage message, AgentActions &out);
/// Gives @p command to the engine.
void commandEngine(EngineCommand command, AgentActions &out);

} // namespace ibismast
