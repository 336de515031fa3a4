#include "load/loadsettings.h"

#include <array>
#include <utility>

namespace ibismast::load
{

Result<Success> validate(const LoadSettings &settings)
{
    const auto isFraction = [](double value) {
        return value >= 0.0 && value <= 1.0;
    };
    const std::array checks {
        std::pair {!settings.targets.empty(), "targets: at least one is needed"},
        std::pair {!settings.customers.empty(), "customers: at least one is needed"},
        std::pair {settings.duration > Duration::zero(), "duration: must be positive"},
        std::pair {settings.rate > 0.0, "rate: must be positive"},
        std::pair {settings.peakFactor > 0.0, "peakFactor: must be positive"},
        std::pair {settings.minPrompt > 0, "minPrompt: must be positive"},
        std::pair {settings.maxPrompt >= settings.minPrompt, "maxPrompt: must not be below minPrompt"},
        std::pair {isFraction(settings.hugeFraction), "hugeFraction: must lie between 0 and 1"},
        std::pair {settings.minOutput > 0, "minOutput: must be positive"},
        std::pair {settings.maxOutput >= settings.minOutput, "maxOutput: must not be below minOutput"},
        std::pair {isFraction(settings.sharedPrefixFraction), "sharedPrefixFraction: must lie between 0 and 1"},
        std::pair {settings.deadline > Duration::zero(), "deadline: must be positive"},
        std::pair {isFraction(settings.serviceFraction), "serviceFraction: must lie between 0 and 1"},
        std::pair {isFraction(settings.keyFraction), "keyFraction: must lie between 0 and 1"},
        std::pair {settings.serviceFraction <= 0.0 || !settings.service.empty(),
                   "service: must be named if serviceFraction is above 0"},
    };
    for (const auto &[valid, message] : checks) {
        if (!valid) {
            return Error {ResultCode::InvalidArgument, message, std::nullopt};
        }
    }
    return Success {};
}

} // namespace ibismast::load
