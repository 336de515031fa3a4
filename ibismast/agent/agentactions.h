#pragma once

#include "ibismast/core/upstreammessages.h"

namespace ibismast
{

/// Sends `message` to the peer `receiver`.
struct SendToPeer
{
    InstanceId receiver;
    PeerMessage message;
};

/// Side effect that an `AgentCore` requests from its process.
using AgentAction = std::variant<SendToPeer, EngineCommand, ServiceInvoke>;

/// Actions in the order in which the process must execute them.
using AgentActions = std::vector<AgentAction>;

} // namespace ibismast
