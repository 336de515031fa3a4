#pragma once

#include "adapters/configsource.h"
#include "adapters/plumbing/settingsfile.h"

namespace ibismast
{

/// Configuration from the sections `[customer.<name>]`, `[model.<name>]` and `[service.<name>]` of a settings file.
class DeclaredConfig final : public ConfigSource
{
public:
    /// Reads the declarations; violations are reported by `SettingsFile::finish`.
    explicit DeclaredConfig(SettingsFile &file);

    /// True if the file declares nothing.
    [[nodiscard]] bool empty() const;

    [[nodiscard]] bool ready() const override;
    [[nodiscard]] Revision revision() const override;
    [[nodiscard]] const CustomerConfig *customerOfKey(std::string_view keyHash) const override;
    [[nodiscard]] const ModelConfig *model(const ModelName &name) const override;
    [[nodiscard]] const ServiceConfig *service(const ServiceName &name) const override;
    [[nodiscard]] std::vector<ModelName> models() const override;

private:
    void readCustomer(SettingsFile &file, const std::string &name);
    void readModel(SettingsFile &file, const std::string &name);
    void readService(SettingsFile &file, const std::string &name);

    std::map<CustomerId, CustomerConfig> m_customers;
    std::map<std::string, CustomerId, std::less<>> m_keys;
    std::map<ModelName, ModelConfig> m_models;
    std::map<ServiceName, ServiceConfig> m_services;
};

} // namespace ibismast
