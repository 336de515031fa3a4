#pragma once

#include "ibismast/relay/relayconfig.h"

#include <set>
#include <string_view>
#include <unordered_map>

namespace ibismast
{

/// Looks up routes and customers in one version of the configuration. Immutable.
class RouteTable
{
public:
    explicit RouteTable(RelayConfig config);

    [[nodiscard]] const RelayConfig &config() const
    {
        return m_config;
    }
    /// Returns the route of @p host with the longest matching prefix of @p path, or null. The host is compared without
    /// its port and case-insensitively. @p path must not include the query.
    [[nodiscard]] const RelayRoute *match(std::string_view host, std::string_view path) const;
    /// Returns the customer to whom the API key @p key belongs, or null.
    [[nodiscard]] const CustomerId *customerOf(const std::string &key) const;
    /// Returns the priority of the calls of @p customer on @p route; @p customer is empty if the route needs no API
    /// key.
    [[nodiscard]] CallPriority priorityOf(const RelayRoute &route, const CustomerId &customer) const;
    /// Returns the priorities that calls to @p service may have, the most urgent one first.
    [[nodiscard]] const std::set<CallPriority> &prioritiesOf(const ServiceName &service) const;
    /// True if calls on routes that are not public need an API key, which is the case once customers are configured,
    /// also if the list of them is empty.
    [[nodiscard]] bool needsKeys() const
    {
        return m_config.customers.has_value();
    }
    /// Picks a service of @p route by weight. @p choice is a uniformly distributed random number in [0, 1).
    [[nodiscard]] static const ServiceName &serviceOf(const RelayRoute &route, double choice);

private:
    RelayConfig m_config;
    /// Routes by lower-case host and path prefix.
    std::unordered_map<std::string, std::unordered_map<std::string, const RelayRoute *>> m_routes;
    std::unordered_map<std::string, CustomerId> m_customers;
    /// Priorities of the customers that have one.
    std::map<CustomerId, CallPriority> m_customerPriorities;
    std::map<ServiceName, std::set<CallPriority>> m_priorities;
    std::set<CallPriority> m_noPriorities;
};

} // namespace ibismast
