#pragma once

#include "adapters/configdriver.h"
#include "adapters/instancelistclient.h"
#include "adapters/plumbing/settingsfile.h"
#include "adapters/storeclient.h"

namespace ibismast
{

/// Settings of an instance that takes its configuration from the key-value service.
struct FleetSettings
{
    StoreClientSettings store;
    ConfigDriverSettings config;
};

/// Reads the section `[store]`; nothing if it names no gateway.
[[nodiscard]] std::optional<FleetSettings> readFleet(SettingsFile &file);
/// Reads the section `[instances]`; nothing if it names no list.
[[nodiscard]] std::optional<InstanceListClientSettings> readInstanceList(SettingsFile &file);

/// Returns the client of the key-value service, or null without @p settings.
[[nodiscard]] std::unique_ptr<StoreClient> makeStoreClient(const std::optional<FleetSettings> &settings,
                                                           Incarnation incarnation);
/// Returns the driver of the configuration, or null without @p settings.
[[nodiscard]] std::unique_ptr<ConfigDriver> makeConfigDriver(const std::optional<FleetSettings> &settings,
                                                             const PeerSummary &self,
                                                             StoreClient *store,
                                                             EventListener *listener);

} // namespace ibismast
