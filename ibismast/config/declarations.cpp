#include "ibismast/config/declarations.h"

#include "ibismast/config/configschema.h"

#include <algorithm>
#include <charconv>

namespace ibismast
{

namespace
{

// Typed access to the values of one object, which have passed the schema.
class ObjectReader
{
public:
    explicit ObjectReader(const ObjectValues &values) : m_values(&values) { }

    void read(const std::string &key, std::string &target) const
    {
        if (const auto value = m_values->find(key); value != m_values->end()) {
            target = value->second;
        }
    }
    void read(const std::string &key, bool &target) const
    {
        if (const auto value = m_values->find(key); value != m_values->end()) {
            target = value->second == "true";
        }
    }
    void read(const std::string &key, double &target) const
    {
        if (const auto value = m_values->find(key); value != m_values->end()) {
            target = parseNumber(value->second).value_or(target);
        }
    }
    void read(const std::string &key, int &target) const
    {
        double number = target;
        read(key, number);
        target = static_cast<int>(number);
    }
    template<typename Tag> void read(const std::string &key, StrongInteger<Tag> &target) const
    {
        auto number = static_cast<double>(target.value());
        read(key, number);
        target = StrongInteger<Tag>(static_cast<std::int64_t>(number));
    }
    template<typename Tag> void read(const std::string &key, StrongString<Tag> &target) const
    {
        std::string text;
        read(key, text);
        target = StrongString<Tag>(text);
    }
    template<typename T> void read(const std::string &key, std::optional<T> &target) const
    {
        if (m_values->contains(key)) {
            if constexpr (std::is_same_v<T, std::int64_t>) {
                double number = 0.0;
                read(key, number);
                target = static_cast<std::int64_t>(number);
            } else {
                read(key, target.emplace());
            }
        }
    }
    [[nodiscard]] std::vector<std::string> list(const std::string &key) const
    {
        const auto value = m_values->find(key);
        return value == m_values->end() ? std::vector<std::string>() : splitList(value->second);
    }

private:
    const ObjectValues *m_values;
};

class DeclarationParser
{
public:
    DeclarationParser(const DeclaredObjects &declared, ConfigIssues &issues) : m_declared(&declared), m_issues(&issues)
    {
    }

    Declarations parse()
    {
        for (const auto &[object, values] : m_declared->objects) {
            const auto space = object.find(' ');
            const std::string kind = object.substr(0, space);
            const std::string name = space == std::string::npos ? std::string() : object.substr(space + 1);
            if (checkObject(object, kind, name, values)) {
                readObject(object, kind, name, values);
            }
        }
        checkReferences();
        return std::move(m_result);
    }

private:
    void addIssue(const ObjectName &object, const std::string &key, std::string problem, std::string allowed = {})
    {
        ConfigIssue issue {{}, 0, object, key, {}, std::move(problem), std::move(allowed)};
        const auto values = m_declared->objects.find(object);
        if (values != m_declared->objects.end() && values->second.contains(key)) {
            issue.value = values->second.at(key);
        }
        auto place = m_declared->places.find(object + '\n' + key);
        if (place == m_declared->places.end()) {
            place = m_declared->places.find(object);
        }
        if (place != m_declared->places.end()) {
            std::tie(issue.file, issue.line) = place->second;
        }
        m_issues->push_back(std::move(issue));
    }

    bool
    checkObject(const ObjectName &object, const std::string &kind, const std::string &name, const ObjectValues &values)
    {
        const SectionRule *section = findSectionRule(kind);
        if (!section) {
            std::string kinds = "section kinds";
            for (const SectionRule &rule : sectionRules()) {
                kinds += ' ' + std::string(rule.kind);
            }
            addIssue(object, {}, "unknown kind of section", kinds);
            return false;
        }
        const std::size_t before = m_issues->size();
        if (!isValidName(name)) {
            addIssue(object, {}, "the section has no valid name", "kind and 1 to 128 letters, digits or . _ - / :");
        }
        for (const auto &[key, value] : values) {
            const KeyRule *rule = findKeyRule(*section, key);
            if (!rule) {
                std::string keys = "keys";
                for (const KeyRule &known : section->keys) {
                    keys += ' ' + std::string(known.key);
                }
                addIssue(object, key, "unknown key", keys);
            } else if (!isAllowed(*rule, value)) {
                addIssue(object, key, "value not allowed", allowedValues(*rule));
            }
        }
        for (const KeyRule &rule : section->keys) {
            if (rule.required && !values.contains(std::string(rule.key))) {
                addIssue(object, std::string(rule.key), "required key is missing", allowedValues(rule));
            }
        }
        return m_issues->size() == before;
    }

    void
    readObject(const ObjectName &object, const std::string &kind, const std::string &name, const ObjectValues &values)
    {
        const ObjectReader reader(values);
        if (kind == "customer") {
            readCustomer(object, name, reader);
        } else if (kind == "model") {
            readModel(name, reader);
        } else if (kind == "upstream") {
            UpstreamDeclaration upstream;
            upstream.name = InstanceId(name);
            reader.read("address", upstream.address);
            reader.read("domain", upstream.domain);
            reader.read("joint_failure_set", upstream.jointFailureSet);
            reader.read("memory_tokens", upstream.memory);
            reader.read("checks_fencing", upstream.checksFencing);
            reader.read("checks_authority", upstream.checksAuthority);
            m_result.upstreams.emplace(upstream.name, std::move(upstream));
        } else if (kind == "service") {
            ServiceDeclaration service;
            service.name = ServiceName(name);
            reader.read("address", service.address);
            reader.read("domain", service.domain);
            reader.read("checks_fencing", service.checksFencing);
            reader.read("checks_authority", service.checksAuthority);
            m_result.services.emplace(service.name, std::move(service));
        } else if (kind == "route") {
            readRoute(name, reader);
        } else if (kind == "call") {
            NonIdempotentCall call;
            call.name = name;
            reader.read("service", call.service);
            reader.read("method", call.method);
            reader.read("path", call.path);
            m_result.nonIdempotentCalls.push_back(std::move(call));
        } else if (kind == "drain") {
            m_result.draining.insert(InstanceId(name));
        }
    }

    void readCustomer(const ObjectName &object, const std::string &name, const ObjectReader &reader)
    {
        CustomerDeclaration customer;
        customer.name = CustomerId(name);
        reader.read("weight", customer.weight);
        reader.read("requests_per_second", customer.requestsPerSecond);
        reader.read("tokens_per_second", customer.tokensPerSecond);
        reader.read("concurrent_requests", customer.concurrentRequests);
        reader.read("longest_prompt_tokens", customer.longestPrompt);
        customer.apiKeyHashes = reader.list("api_key_sha256");
        for (const std::string &hash : customer.apiKeyHashes) {
            const auto [owner, added] = m_result.customerOfKey.emplace(hash, customer.name);
            if (!added) {
                addIssue(object, "api_key_sha256", "the key also belongs to customer " + owner->second.value());
            }
        }
        m_result.customers.emplace(customer.name, std::move(customer));
    }

    void readModel(const std::string &name, const ObjectReader &reader)
    {
        ModelDeclaration model;
        model.name = ModelName(name);
        reader.read("version", model.version);
        model.adapters = reader.list("adapters");
        reader.read("copies_per_domain", model.copiesPerDomain);
        reader.read("memory_tokens", model.memory);
        reader.read("weight_bytes", model.weightBytes);
        if (const auto roles = reader.list("roles"); !roles.empty()) {
            model.roles.clear();
            for (const auto role : {UpstreamRole::Mixed, UpstreamRole::Prefill, UpstreamRole::Decode}) {
                if (std::ranges::find(roles, toString(role)) != roles.end()) {
                    model.roles.insert(role);
                }
            }
        }
        m_result.models.emplace(model.name, std::move(model));
    }

    void readRoute(const std::string &name, const ObjectReader &reader)
    {
        RouteDeclaration route;
        route.name = name;
        reader.read("model", route.model);
        reader.read("subset_size", route.subsetSize);
        for (const std::string &domain : reader.list("domains")) {
            route.domains.emplace_back(domain);
        }
        reader.read("policy", route.policy);
        reader.read("retry_share", route.retryShare);
        reader.read("hedging", route.hedging);
        m_result.routes.emplace(name, std::move(route));
    }

    void checkReferences()
    {
        std::map<ModelName, std::string> routeOfModel;
        for (const auto &[name, route] : m_result.routes) {
            const ObjectName object = "route " + name;
            if (!m_declared->objects.contains("model " + route.model.value())) {
                addIssue(object, "model", "the model is not declared", "name of a [model] section");
            }
            if (const auto [other, added] = routeOfModel.emplace(route.model, name); !added) {
                addIssue(object, "model", "route " + other->second + " has the same model");
            }
        }
        for (const NonIdempotentCall &call : m_result.nonIdempotentCalls) {
            if (!m_declared->objects.contains("service " + call.service.value())) {
                addIssue("call " + call.name, "service", "the service is not declared", "name of a [service] section");
            }
        }
        for (const auto &[name, model] : m_result.models) {
            const bool prefill = model.roles.contains(UpstreamRole::Prefill);
            const bool decode = model.roles.contains(UpstreamRole::Decode);
            if (prefill != decode && !model.roles.contains(UpstreamRole::Mixed)) {
                addIssue(
                    "model " + name.value(), "roles", "no copy could serve a request", "mixed, or prefill, decode");
            }
        }
    }

    const DeclaredObjects *m_declared;
    ConfigIssues *m_issues;
    Declarations m_result;
};

} // namespace

std::string_view toString(UpstreamRole role)
{
    switch (role) {
    case UpstreamRole::Mixed:
        return "mixed";
    case UpstreamRole::Prefill:
        return "prefill";
    case UpstreamRole::Decode:
        return "decode";
    }
    return "unknown";
}

bool matchesPath(std::string_view pattern, std::string_view path)
{
    path = path.substr(0, path.find_first_of("?#"));
    while (true) {
        const auto patternSlash = pattern.find('/');
        const auto pathSlash = path.find('/');
        const auto segment = pattern.substr(0, patternSlash);
        if (segment == "**") {
            return true;
        }
        if (segment != "*" && segment != path.substr(0, pathSlash)) {
            return false;
        }
        const bool patternEnds = patternSlash == std::string_view::npos;
        const bool pathEnds = pathSlash == std::string_view::npos;
        if (patternEnds || pathEnds) {
            return patternEnds && pathEnds;
        }
        pattern = pattern.substr(patternSlash + 1);
        path = path.substr(pathSlash + 1);
    }
}

bool Declarations::isIdempotent(const ServiceName &service, std::string_view method, std::string_view path) const
{
    return std::ranges::none_of(nonIdempotentCalls, [&](const NonIdempotentCall &call) {
        return call.service == service && call.method == method && matchesPath(call.path, path);
    });
}

void DeclaredObjects::add(const IniDocument &document)
{
    issues.insert(issues.end(), document.issues.begin(), document.issues.end());
    for (const auto &[name, section] : document.sections) {
        const auto [place, added] = places.emplace(name, std::pair(document.file, section.line));
        if (!added) {
            issues.push_back(
                {document.file,
                 section.line,
                 name,
                 {},
                 {},
                 "section repeated; first in " + place->second.first + " line " + std::to_string(place->second.second),
                 {}});
            continue;
        }
        ObjectValues &values = objects[name];
        for (const auto &[key, entry] : section.values) {
            values[key] = entry.value;
            places.emplace(std::string(name).append(1, '\n').append(key), std::pair(document.file, entry.line));
        }
    }
}

Declarations parseDeclarations(const DeclaredObjects &declared, ConfigIssues &issues)
{
    issues.insert(issues.end(), declared.issues.begin(), declared.issues.end());
    return DeclarationParser(declared, issues).parse();
}

Declarations parseDeclarations(const ConfigState &state, ConfigIssues &issues)
{
    DeclaredObjects declared;
    for (const auto &[name, object] : state.objects) {
        declared.objects.emplace(name, object.values);
    }
    return parseDeclarations(declared, issues);
}

} // namespace ibismast
