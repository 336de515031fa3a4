#include "ibismast/entry/entrycoresettings.h"

namespace ibismast
{

namespace
{

/// Collects the first violated condition.
class Checker
{
public:
    void require(bool condition, std::string_view field, std::string_view rule)
    {
        if (!condition && !m_error) {
            m_error = Error {ResultCode::SettingsInvalid, std::string(field) + " " + std::string(rule), std::nullopt};
        }
    }

    void positive(Duration value, std::string_view field)
    {
        require(value > Duration::zero(), field, "must be positive");
    }

    [[nodiscard]] Result<Success> result() const
    {
        return m_error ? Result<Success>(*m_error) : Result<Success>(Success());
    }

private:
    std::optional<Error> m_error;
};

} // namespace

Result<Success> validate(const EntryCoreSettings &settings)
{
    Checker check;
    check.require(settings.upstreams.subsetSize > 0, "upstreams.subsetSize", "must be positive");
    check.positive(settings.upstreams.suspectAfter, "upstreams.suspectAfter");
    check.require(settings.upstreams.lostAfter >= settings.upstreams.suspectAfter,
                  "upstreams.lostAfter",
                  "must not be shorter than upstreams.suspectAfter");
    check.require(settings.router.longerClassWeight >= 0.0 && settings.router.longerClassWeight <= 1.0,
                  "router.longerClassWeight",
                  "must lie between 0 and 1");
    check.require(settings.router.defaultRate > 0.0, "router.defaultRate", "must be positive");
    check.positive(settings.heartbeatInterval, "heartbeatInterval");
    check.require(settings.heartbeatInterval < settings.upstreams.suspectAfter,
                  "heartbeatInterval",
                  "must be shorter than upstreams.suspectAfter");
    check.positive(settings.watchdogLead, "watchdogLead");
    check.require(
        settings.tombstoneLead >= settings.watchdogLead, "tombstoneLead", "must not be shorter than watchdogLead");
    check.positive(settings.answerTimeout, "answerTimeout");
    check.require(settings.maxAttempts > 0, "maxAttempts", "must be positive");
    return check.result();
}

} // namespace ibismast
