#include "adapters/fleetconfig.h"

#include "ibismast/core/eventlistener.h"

#include <algorithm>
#include <array>

namespace ibismast
{

FleetConfig::FleetConfig(const ConfigReplica &replica, EventListener *listener)
    : m_replica(replica), m_listener(listener)
{
}

void FleetConfig::refresh()
{
    if (m_replica.revision() == m_revision) {
        return;
    }
    ConfigIssues issues;
    m_declarations = parseDeclarations(m_replica.state(), issues);
    m_revision = m_replica.revision();
    index();
    if (m_listener == nullptr) {
        return;
    }
    m_listener->onEvent("config_in_force", {{"revision", std::to_string(m_revision.value())}});
    if (!issues.empty()) {
        // Writers check each change. A newer version of the software may still write what this one does not know;
        // everything else is in force.
        m_listener->onEvent("config_not_understood",
                            {{"revision", std::to_string(m_revision.value())}, {"issues", toString(issues)}});
    }
}

void FleetConfig::index()
{
    m_customers.clear();
    m_keys.clear();
    m_models.clear();
    m_services.clear();
    m_nonIdempotent.clear();
    for (const auto &[id, declared] : m_declarations.customers) {
        m_customers[id] = {id, declared.weight, declared.apiKeyHashes};
    }
    for (const auto &[hash, id] : m_declarations.customerOfKey) {
        if (const auto customer = m_customers.find(id); customer != m_customers.end()) {
            m_keys.emplace(hash, &customer->second);
        }
    }
    for (const auto &[name, declared] : m_declarations.models) {
        m_models[name].name = name;
    }
    for (const auto &[name, declared] : m_declarations.services) {
        m_services[name].name = name;
    }
    for (const NonIdempotentCall &call : m_declarations.nonIdempotentCalls) {
        m_nonIdempotent[call.service][call.method].push_back(call.path);
    }
}

void FleetConfig::setReady(bool ready)
{
    if (ready && !m_ready && m_listener != nullptr) {
        m_listener->onEvent("config_ready", {{"revision", std::to_string(m_revision.value())}});
    }
    m_ready = ready;
}

bool FleetConfig::ready() const
{
    return m_ready;
}

Revision FleetConfig::revision() const
{
    return m_revision;
}

const CustomerConfig *FleetConfig::customerOfKey(std::string_view keyHash) const
{
    const auto customer = m_keys.find(keyHash);
    return customer == m_keys.end() ? nullptr : customer->second;
}

const ModelConfig *FleetConfig::model(const ModelName &name) const
{
    const auto found = m_models.find(name);
    return found == m_models.end() ? nullptr : &found->second;
}

const ServiceConfig *FleetConfig::service(const ServiceName &name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

std::vector<ModelName> FleetConfig::models() const
{
    std::vector<ModelName> names;
    names.reserve(m_models.size());
    for (const auto &[name, config] : m_models) {
        names.push_back(name);
    }
    return names;
}

bool FleetConfig::isIdempotent(const ServiceName &service, std::string_view method, std::string_view path) const
{
    // A method that HTTP does not define as idempotent (RFC 9110, section 9.2.2) is never repeated, also without a
    // declaration: a forgotten declaration must not lead to a second booking.
    constexpr std::array<std::string_view, 5> IdempotentMethods {"GET", "HEAD", "OPTIONS", "PUT", "DELETE"};
    if (std::ranges::find(IdempotentMethods, method) == IdempotentMethods.end()) {
        return false;
    }
    const auto methods = m_nonIdempotent.find(service);
    if (methods == m_nonIdempotent.end()) {
        return true;
    }
    const auto patterns = methods->second.find(method);
    return patterns == methods->second.end()
        || std::ranges::none_of(patterns->second, [path](const std::string &pattern) {
               return matchesPath(pattern, path);
           });
}

const Declarations &FleetConfig::declarations() const
{
    return m_declarations;
}

} // namespace ibismast
