#pragma once

#include "ibismast/core/ids.h"
#include "ibismast/core/units.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibismast
{

/// Customer as the entry sees it.
struct CustomerConfig
{
    CustomerId id;
    /// Weight in fair sharing; 1 is the usual value.
    double weight = 1.0;
    /// SHA-256 hashes of the customer's API keys, in lower-case hexadecimal digits.
    std::vector<std::string> keyHashes;
};

/// Model deployment as the entry sees it.
struct ModelConfig
{
    ModelName name;
    /// Longest prompt, in tokens, that any group of upstreams can hold.
    Tokens maxPromptTokens {1'000'000};
    /// Largest `max_tokens` of a request.
    Tokens maxOutputTokens {32'768};
};

/// Plain service as the entry sees it.
struct ServiceConfig
{
    ServiceName name;
    /// Methods that may be repeated, in upper case.
    std::vector<std::string> idempotentMethods;
};

/// Configuration that is in force in this process.
///
/// Pointers are valid until control returns to the event loop.
class ConfigSource
{
public:
    virtual ~ConfigSource() = default;

    /// True once a configuration is in force; before that the instance is not ready.
    [[nodiscard]] virtual bool ready() const = 0;
    /// Newest revision in force; it is sent with every message.
    [[nodiscard]] virtual Revision revision() const = 0;
    /// Returns the customer of the API key with the SHA-256 hash @p keyHash, or null.
    [[nodiscard]] virtual const CustomerConfig *customerOfKey(std::string_view keyHash) const = 0;
    /// Returns the model @p name, or null.
    [[nodiscard]] virtual const ModelConfig *model(const ModelName &name) const = 0;
    /// Returns the service @p name, or null.
    [[nodiscard]] virtual const ServiceConfig *service(const ServiceName &name) const = 0;
    /// Returns the names of all models in ascending order.
    [[nodiscard]] virtual std::vector<ModelName> models() const = 0;
    /// Returns true if the call may be repeated. @p path may have a query. The default goes by the service's methods.
    [[nodiscard]] virtual bool
    isIdempotent(const ServiceName &service, std::string_view method, std::string_view path) const;
};

} // namespace ibismast
