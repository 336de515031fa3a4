#pragma once

#include "adapters/configsource.h"
#include "adapters/settingsfile.h"

namespace ibismast
{

/// Configuration from the sections `[customer.<name>]`, `[model.<name>]` and `[service.<name>]` of a settings file.
class DeclaredConfig final : public ConfigSource
{
public:
    /// Reads the declarations; violations are reported by `SettingsFile::finish`.
    explicit DeclaredConfig(SettingsFile &file);

    [[nodiscard]] bool ready() const override;
    [[nodiscard]] Revision revision() const override;
    [[nodiscard]] const CustomerDeclaration *customerOfKey(std::string_view keyHash) const override;
    [[nodiscard]] const ModelDeclaration *model(const ModelName &name) const override;
    [[nodiscard]] const ServiceDeclaration *service(const ServiceName &name) const override;
    [[nodiscard]] std::vector<ModelName> models() const override;

private:
    void readCustomer(SettingsFile &file, const std::string &name);
    void readModel(SettingsFile &file, const std::string &name);
    void readService(SettingsFile &file, const std::string &name);

    std::map<CustomerId, CustomerDeclaration> m_customers;
    std::map<std::string, CustomerId, std::less<>> m_keys;
    std::map<ModelName, ModelDeclaration> m_models;
    std::map<ServiceName, ServiceDeclaration> m_services;
};

} // namespace ibismast
