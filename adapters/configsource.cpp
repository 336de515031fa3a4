#include "adapters/configsource.h"

#include <algorithm>

namespace ibismast
{

bool ConfigSource::isIdempotent(const ServiceName &name, std::string_view method, std::string_view /*path*/) const
{
    const ServiceConfig *found = service(name);
    return found != nullptr && std::ranges::find(found->idempotentMethods, method) != found->idempotentMethods.end();
}

} // namespace ibismast
