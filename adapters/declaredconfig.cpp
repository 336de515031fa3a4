#include "adapters/declaredconfig.h"

#include <algorithm>
#include <array>

namespace ibismast
{

namespace
{

constexpr std::size_t HashDigits = 64;

bool isKeyHash(std::string_view text)
{
    return text.size() == HashDigits && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

} // namespace

DeclaredConfig::DeclaredConfig(SettingsFile &file)
{
    for (const std::string &name : file.sections("customer.")) {
        readCustomer(file, name);
    }
    for (const std::string &name : file.sections("model.")) {
        readModel(file, name);
    }
    for (const std::string &name : file.sections("service.")) {
        readService(file, name);
    }
}

bool DeclaredConfig::empty() const
{
    return m_customers.empty() && m_models.empty() && m_services.empty();
}

bool DeclaredConfig::ready() const
{
    return true;
}

Revision DeclaredConfig::revision() const
{
    return Revision(0);
}

const CustomerConfig *DeclaredConfig::customerOfKey(std::string_view keyHash) const
{
    const auto customer = m_keys.find(keyHash);
    return customer == m_keys.end() ? nullptr : &m_customers.at(customer->second);
}

const ModelConfig *DeclaredConfig::model(const ModelName &name) const
{
    const auto found = m_models.find(name);
    return found == m_models.end() ? nullptr : &found->second;
}

const ServiceConfig *DeclaredConfig::service(const ServiceName &name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

std::vector<ModelName> DeclaredConfig::models() const
{
    std::vector<ModelName> names;
    names.reserve(m_models.size());
    for (const auto &[name, declaration] : m_models) {
        names.push_back(name);
    }
    return names;
}

void DeclaredConfig::readCustomer(SettingsFile &file, const std::string &name)
{
    const std::string section = "customer." + name;
    CustomerConfig customer;
    customer.id = CustomerId(name);
    customer.weight = file.number(section, "weight", 1.0, 0.001, 1000.0);
    customer.keyHashes = file.list(section, "key_sha256");
    for (const std::string &hash : customer.keyHashes) {
        if (!isKeyHash(hash)) {
            file.refuse(section, "key_sha256", hash, "SHA-256 hashes of 64 lower-case hexadecimal digits");
        } else if (!m_keys.emplace(hash, customer.id).second) {
            file.refuse(section, "key_sha256", hash, "a hash that no other customer has");
        }
    }
    m_customers[customer.id] = std::move(customer);
}

void DeclaredConfig::readModel(SettingsFile &file, const std::string &name)
{
    const std::string section = "model." + name;
    ModelConfig model;
    model.name = ModelName(name);
    model.maxPromptTokens =
        Tokens(file.integer(section, "max_prompt_tokens", model.maxPromptTokens.value(), 1, 100'000'000));
    model.maxOutputTokens =
        Tokens(file.integer(section, "max_output_tokens", model.maxOutputTokens.value(), 1, 1'000'000));
    m_models[model.name] = std::move(model);
}

void DeclaredConfig::readService(SettingsFile &file, const std::string &name)
{
    static constexpr std::array<std::string_view, 6> Methods {"GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};
    const std::string section = "service." + name;
    ServiceConfig service;
    service.name = ServiceName(name);
    service.idempotentMethods = {"GET", "OPTIONS"};
    if (file.has(section, "idempotent_methods")) {
        service.idempotentMethods = file.list(section, "idempotent_methods");
    }
    for (const std::string &method : service.idempotentMethods) {
        if (std::ranges::find(Methods, method) == Methods.end()) {
            file.refuse(section, "idempotent_methods", method, "methods out of GET, POST, PUT, PATCH, DELETE, OPTIONS");
        }
    }
    m_services[service.name] = std::move(service);
}

} // namespace ibismast
