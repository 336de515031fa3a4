#include "ibismast/core/eventlistener.h"

namespace ibismast
{

void EventListener::onEvent([[maybe_unused]] std::string_view name,
                            [[maybe_unused]] const std::vector<LogField> &fields)
{
}

} // namespace ibismast
