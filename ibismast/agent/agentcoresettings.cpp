#include "ibismast/agent/agentcoresettings.h"

#include <array>

namespace ibismast
{

Result<Success> AgentCoreSettings::validate() const
{
    const auto invalid = [](std::string message) {
        return Error {ResultCode::SettingsInvalid, std::move(message), std::nullopt};
    };
    if (memoryCapacity <= Tokens(0)) {
        return invalid("memoryCapacity must be positive");
    }
    for (const auto &result : {schedule.validate(), admission.validate(), capacity.validate(), operations.validate()}) {
        if (errorOf(result) != nullptr) {
            return result;
        }
    }
    const std::array durations {
        std::pair {"heartbeatInterval", heartbeatInterval},
        std::pair {"peerTimeout", peerTimeout},
        std::pair {"disconnectGrace", disconnectGrace},
        std::pair {"heldInterval", heldInterval},
        std::pair {"cancelRetry", cancelRetry},
        std::pair {"priorityInterval", priorityInterval},
        std::pair {"recordLifetime", recordLifetime},
        std::pair {"reservationWait", reservationWait},
        std::pair {"orderTimeout", orderTimeout},
        std::pair {"prefixDoubtLifetime", prefixDoubtLifetime},
    };
    for (const auto &[name, value] : durations) {
        if (value <= Duration::zero()) {
            return invalid(std::string(name) + " must be positive");
        }
    }
    if (peerTimeout <= heartbeatInterval) {
        return invalid("peerTimeout must be longer than heartbeatInterval");
    }
    return Success();
}

} // namespace ibismast
