#pragma once

#include "ibismast/relay/relayconfig.h"

#include <string_view>
#include <unordered_map>

namespace ibismast
{

/// Finds the route and the customer of a call in one version of the configuration. Immutable.
class RouteTable
{
public:
    explicit RouteTable(RelayConfig config);

    [[nodiscard]] const RelayConfig &config() const
    {
        return m_config;
    }
    /// Returns the route of @p host with the longest prefix of @p path, or null. @p path ends before the query.
    [[nodiscard]] const RelayRoute *match(std::string_view host, std::string_view path) const;
    /// Returns the customer that holds @p key, or null.
    [[nodiscard]] const CustomerId *customerOf(const std::string &key) const;
    /// True if calls of routes that are not public need a key.
    [[nodiscard]] bool needsKeys() const
    {
        return !m_config.customers.empty();
    }
    /// Returns the service of @p route for a call whose choice is @p choice, a number in [0, 1).
    [[nodiscard]] static const ServiceName &serviceOf(const RelayRoute &route, double choice);

private:
    RelayConfig m_config;
    /// Routes by host and prefix.
    std::unordered_map<std::string, std::unordered_map<std::string, const RelayRoute *>> m_routes;
    std::unordered_map<std::string, CustomerId> m_customers;
};

} // namespace ibismast
