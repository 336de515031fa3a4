#include "ibismast/agent/agentcontext.h"

namespace ibismast
{

void sendTo(const InstanceId &receiver, PeerMessage message, AgentActions &out)
{
    out.emplace_back(SendToPeer {receiver, std::move(message)});
}

void sendToEngine(EngineCommand command, AgentActions &out)
{
    out.emplace_back(std::move(command));
}

} // namespace ibismast
