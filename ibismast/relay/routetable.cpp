#include "ibismast/relay/routetable.h"

#include <algorithm>
#include <cctype>

namespace ibismast
{

namespace
{

std::string lowerCase(std::string_view text)
{
    std::string result(text);
    std::ranges::transform(result, result.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return result;
}

/// Returns @p host in lower case and without its port; the colons of a bracketed IPv6 address are not a port.
std::string hostName(std::string_view host)
{
    const std::size_t colon = host.rfind(':');
    const bool hasPort = colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos;
    return lowerCase(hasPort ? host.substr(0, colon) : host);
}

} // namespace

RouteTable::RouteTable(RelayConfig config) : m_config(std::move(config))
{
    for (const RelayRoute &route : m_config.routes) {
        m_routes[lowerCase(route.host)][route.pathPrefix] = &route;
    }
    const std::vector<RelayCustomer> noCustomers;
    const std::vector<RelayCustomer> &customers = m_config.customers ? *m_config.customers : noCustomers;
    for (const RelayCustomer &customer : customers) {
        for (const std::string &key : customer.keys) {
            // A call without a key has an empty one, which must not identify a customer.
            if (!key.empty()) {
                m_customers.emplace(key, customer.name);
            }
        }
        if (customer.priority) {
            m_customerPriorities.emplace(customer.name, *customer.priority);
        }
    }
    std::set<CallPriority> ofCustomers;
    for (const auto &[customer, priority] : m_customerPriorities) {
        ofCustomers.insert(priority);
    }
    for (const RelayRoute &route : m_config.routes) {
        const bool needsKey = !route.isPublic && needsKeys();
        for (const RouteShare &share : route.shares) {
            std::set<CallPriority> &priorities = m_priorities[share.service];
            if (needsKey) {
                priorities.insert(ofCustomers.begin(), ofCustomers.end());
            }
            if (!needsKey || m_customerPriorities.size() < customers.size()) {
                priorities.insert(route.priority);
            }
        }
    }
}

CallPriority RouteTable::priorityOf(const RelayRoute &route, const CustomerId &customer) const
{
    const auto found = m_customerPriorities.find(customer);
    return found == m_customerPriorities.end() ? route.priority : found->second;
}

const std::set<CallPriority> &RouteTable::prioritiesOf(const ServiceName &service) const
{
    const auto found = m_priorities.find(service);
    return found == m_priorities.end() ? m_noPriorities : found->second;
}

const RelayRoute *RouteTable::match(std::string_view host, std::string_view path) const
{
    const auto routes = m_routes.find(hostName(host));
    if (routes == m_routes.end()) {
        return nullptr;
    }
    // Prefixes end with a slash, so it is enough to look up the path up to each of its slashes, longest first.
    for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
        const auto found = routes->second.find(std::string(path.substr(0, end + 1)));
        if (found != routes->second.end()) {
            return found->second;
        }
    }
    return nullptr;
}

const CustomerId *RouteTable::customerOf(const std::string &key) const
{
    const auto found = m_customers.find(key);
    return found == m_customers.end() ? nullptr : &found->second;
}

const ServiceName &RouteTable::serviceOf(const RelayRoute &route, double choice)
{
    std::int64_t total = 0;
    for (const RouteShare &share : route.shares) {
        total += share.weight;
    }
    double rest = choice * static_cast<double>(total);
    for (const RouteShare &share : route.shares) {
        rest -= static_cast<double>(share.weight);
        if (rest < 0.0) {
            return share.service;
        }
    }
    return route.shares.back().service;
}

} // namespace ibismast
