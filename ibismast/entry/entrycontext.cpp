#include "ibismast/entry/entrycontext.h"

namespace ibismast
{

EntryContext::EntryContext(const EntryCoreSettings &settingsValue,
                           PeerSummary selfValue,
                           std::uint64_t seed,
                           EventListener *listenerValue)
    : settings(settingsValue)
    , self(std::move(selfValue))
    , random(seed)
    , listener(listenerValue)
    , upstreams(settings.upstreams, self.instance)
    , router(settings.router)
{
}

RequestId EntryContext::nextRequest()
{
    return RequestId {self.incarnation, ++lastSequence};
}

void EntryContext::report(std::string_view name, const std::vector<LogField> &fields) const
{
    if (listener != nullptr) {
        listener->onEvent(name, fields);
    }
}

} // namespace ibismast
