#pragma once

#include "ibismast/config/configissue.h"
#include "ibismast/config/configstate.h"
#include "ibismast/config/iniparser.h"
#include "ibismast/core/units.h"

#include <set>

namespace ibismast
{

/// `[customer NAME]`. Limits that are absent do not apply.
struct CustomerDeclaration
{
    CustomerId name;
    double weight = 1.0;
    std::optional<double> requestsPerSecond;
    std::optional<double> tokensPerSecond;
    std::optional<std::int64_t> concurrentRequests;
    std::optional<Tokens> longestPrompt;
    /// SHA-256 of each API key, in hexadecimal digits. The keys themselves are never stored.
    std::vector<std::string> apiKeyHashes;
};

/// Part that an engine plays for a model.
enum class UpstreamRole : std::uint8_t {
    Mixed,
    Prefill,
    Decode,
};

/// Returns the name of @p role in declarations and orders: `mixed`, `prefill` or `decode`.
[[nodiscard]] std::string_view toString(UpstreamRole role);

/// `[model NAME]`.
struct ModelDeclaration
{
    ModelName name;
    std::string version;
    std::vector<std::string> adapters;
    /// Copies in each failure domain that has upstreams.
    int copiesPerDomain = 1;
    /// KV memory that a copy needs.
    Tokens memory;
    /// Size of the weights that a copy fetches from the weight store.
    Bytes weightBytes {16'000'000'000};
    std::set<UpstreamRole> roles {UpstreamRole::Mixed};
};

/// `[upstream NAME]`: a model engine.
struct UpstreamDeclaration
{
    InstanceId name;
    std::string address;
    FailureDomain domain;
    /// Known joint-failure set, such as a power feed; empty if none is declared.
    std::string jointFailureSet;
    Tokens memory;
    /// False if the engine ignores the fencing token of an order.
    bool checksFencing = false;
    /// False if the engine does not verify the sender of an order.
    bool checksAuthority = false;
};

/// `[service NAME]`: a plain service.
struct ServiceDeclaration
{
    ServiceName name;
    std::string address;
    FailureDomain domain;
    bool checksFencing = false;
    bool checksAuthority = false;
};

/// `[route NAME]`: how requests for one model are routed.
struct RouteDeclaration
{
    std::string name;
    ModelName model;
    int subsetSize = 32;
    /// Failure domains that may be used; all if empty.
    std::vector<FailureDomain> domains;
    std::string policy = "two_choices";
    double retryShare = 0.1;
    bool hedging = false;
};

/// `[call NAME]`: calls of a plain service that must not be repeated.
struct NonIdempotentCall
{
    std::string name;
    ServiceName service;
    std::string method;
    std::string path;
};

/// All declarations in typed form.
struct Declarations
{
    std::map<CustomerId, CustomerDeclaration> customers;
    std::map<ModelName, ModelDeclaration> models;
    std::map<InstanceId, UpstreamDeclaration> upstreams;
    std::map<ServiceName, ServiceDeclaration> services;
    std::map<std::string, RouteDeclaration> routes;
    std::vector<NonIdempotentCall> nonIdempotentCalls;
    /// Instances that operators are draining.
    std::set<InstanceId> draining;
    /// Customer of each API key hash.
    std::map<std::string, CustomerId> customerOfKey;

    /// Returns true if the call may be repeated. @p path may have a query.
    [[nodiscard]] bool isIdempotent(const ServiceName &service, std::string_view method, std::string_view path) const;
};

/// Returns true if @p path, without its query, matches @p pattern.
[[nodiscard]] bool matchesPath(std::string_view pattern, std::string_view path);

/// Objects with the place of each section and key, for messages.
struct DeclaredObjects
{
    std::map<ObjectName, ObjectValues> objects;
    /// File and line of `section` or `section\nkey`; may be empty for objects that do not come from a file.
    std::map<std::string, std::pair<std::string, int>> places;
    ConfigIssues issues;

    /// Adds the sections of @p document. A section that another file has too is an issue.
    void add(const IniDocument &document);
};

/// Checks the kinds, keys, values and references of @p declared and appends what is wrong to @p issues.
/// The result is complete only if nothing was appended.
[[nodiscard]] Declarations parseDeclarations(const DeclaredObjects &declared, ConfigIssues &issues);
/// Returns the same for the objects of @p state, which carry no places.
[[nodiscard]] Declarations parseDeclarations(const ConfigState &state, ConfigIssues &issues);

} // namespace ibismast
