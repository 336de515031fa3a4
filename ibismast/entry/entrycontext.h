#pragma once

#include "ibismast/core/eventlistener.h"
#include "ibismast/core/seededrandom.h"
#include "ibismast/entry/entryactions.h"
#include "ibismast/entry/entrycoresettings.h"

namespace ibismast
{

/// What the parts of one `EntryCore` share.
struct EntryContext
{
    EntryContext(const EntryCoreSettings &settings, PeerSummary self, std::uint64_t seed, EventListener *listener);

    /// Returns an id for a new request.
    [[nodiscard]] RequestId nextRequest();
    /// Reports an event if there is a listener.
    void report(std::string_view name, const std::vector<LogField> &fields) const;

    EntryCoreSettings settings;
    PeerSummary self;
    SeededRandom random;
    EventListener *listener;
    UpstreamView upstreams;
    Router router;
    std::uint64_t lastSequence = 0;
    bool shuttingDown = false;
};

} // namespace ibismast
