#pragma once

#include "ibismast/core/upstreammessages.h"

namespace ibismast
{

/// Sends a message to a peer.
struct SendToPeer
{
    InstanceId receiver;
    PeerMessage message;
};

/// What an `AgentCore` asks its process to do.
using AgentAction = std::variant<SendToPeer, EngineCommand, ServiceInvoke>;

/// Actions in the order in which they must be carried out.
using AgentActions = std::vector<AgentAction>;

} // namespace ibismast
