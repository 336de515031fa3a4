#pragma once

#include "adapters/plumbing/settingsfile.h"
#include "adapters/relay/upstreamconnection.h"

#include "ibismast/relay/clientlimits.h"
#include "ibismast/relay/clusterwatch.h"

namespace ibismast
{

/// Times of a planned stop.
struct RelayStopTimes
{
    /// Least time from the signal to the end: the balancer takes an instance out after two misses of its question,
    /// which comes once a second.
    Duration listen = std::chrono::milliseconds(2600);
    /// Time from the signal to the end of the process; requests and answers still open then are cut.
    Duration total = std::chrono::milliseconds(7600);
};

/// Settings of a relay process.
struct RelaySettings
{
    RelayCoreSettings core;
    ClusterWatchSettings watch;
    UpstreamConnectionSettings upstream;
    RelayStopTimes stop;
    /// Address for callers.
    boost::asio::ip::tcp::endpoint listen;
    /// Address on which the balancer asks whether the instance is ready.
    boost::asio::ip::tcp::endpoint ready;
    /// Address on which other entries get copies of the platform's records.
    boost::asio::ip::tcp::endpoint control;
    std::optional<boost::asio::ip::tcp::endpoint> metrics;
    /// Address for datagrams between entries.
    boost::asio::ip::udp::endpoint peers;
    /// Addresses of some entries, of which this one learns the others.
    std::vector<std::string> seeds;
    /// Address of the platform's store.
    boost::asio::ip::tcp::endpoint store;
    /// Limits on what callers hold.
    ClientLimitsSettings clients;
};

/// Reads the settings of a relay process; faults are collected in @p file.
[[nodiscard]] RelaySettings readRelaySettings(SettingsFile &file);

} // namespace ibismast
