#include "ibismast/relay/newcallreserve.h"

#include <cmath>

namespace ibismast
{

Result<Success> NewCallReserveSettings::validate() const
{
    if (horizon < Duration::zero() || window <= Duration::zero()) {
        return Error {
            ResultCode::ConfigInvalid, "horizon must not be negative, and window must be positive", std::nullopt};
    }
    return Success {};
}

NewCallReserve::NewCallReserve(const NewCallReserveSettings &settings) : m_settings(settings) { }

void NewCallReserve::noteCalls(std::size_t calls, TimePoint now)
{
    m_calls = rate(now) * toSeconds(m_settings.window) + static_cast<double>(calls);
    m_time = now;
}

double NewCallReserve::rate(TimePoint now) const
{
    const double window = toSeconds(m_settings.window);
    return m_calls / window * std::exp(-toSeconds(now - m_time) / window);
}

std::size_t NewCallReserve::slots(TimePoint now) const
{
    return static_cast<std::size_t>(rate(now) * toSeconds(m_settings.horizon));
}

} // namespace ibismast
