#pragma once

#include "adapters/configsource.h"

#include "ibismast/config/configreplica.h"
#include "ibismast/config/declarations.h"

namespace ibismast
{

class EventListener;

/// Configuration of the fleet as this process holds it, with an index for each question of the request path.
class FleetConfig final : public ConfigSource
{
public:
    /// @p replica must outlive this object; @p listener may be null.
    FleetConfig(const ConfigReplica &replica, EventListener *listener);

    /// Brings the indexes to the revision of the replica. Called from the event loop after each change of the replica.
    void refresh();
    /// Sets whether the replica holds the newest configuration that this process could reach.
    void setReady(bool ready);

    [[nodiscard]] bool ready() const override;
    [[nodiscard]] Revision revision() const override;
    [[nodiscard]] const CustomerConfig *customerOfKey(std::string_view keyHash) const override;
    [[nodiscard]] const ModelConfig *model(const ModelName &name) const override;
    [[nodiscard]] const ServiceConfig *service(const ServiceName &name) const override;
    [[nodiscard]] std::vector<ModelName> models() const override;
    [[nodiscard]] bool
    isIdempotent(const ServiceName &service, std::string_view method, std::string_view path) const override;

    /// Returns all declarations in force.
    [[nodiscard]] const Declarations &declarations() const;

private:
    void index();

    const ConfigReplica &m_replica;
    EventListener *m_listener;
    Revision m_revision;
    bool m_ready = false;
    Declarations m_declarations;
    std::map<CustomerId, CustomerConfig> m_customers;
    std::map<std::string, const CustomerConfig *, std::less<>> m_keys;
    std::map<ModelName, ModelConfig> m_models;
    std::map<ServiceName, ServiceConfig> m_services;
    /// Path patterns of the calls that must not be repeated.
    std::map<ServiceName, std::map<std::string, std::vector<std::string>, std::less<>>> m_nonIdempotent;
};

} // namespace ibismast
