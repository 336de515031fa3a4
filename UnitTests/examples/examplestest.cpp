#include "adapters/agentdaemon.h"
#include "adapters/entrydaemon.h"

#include "ibismast/config/declarations.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace ibismast;

namespace
{

std::string path(const std::string &deployment, const std::string &file)
{
    return std::string(IBISMAST_SOURCE_DIR "/examples/") + deployment + '/' + file;
}

std::string content(const std::string &file)
{
    std::ifstream stream(file);
    REQUIRE(stream.good());
    std::stringstream text;
    text << stream.rdbuf();
    return text.str();
}

Declarations declarations(const std::string &deployment)
{
    DeclaredObjects declared;
    declared.add(parseIni("fleet.ini", content(path(deployment, "fleet.ini"))));
    ConfigIssues issues;
    Declarations parsed = parseDeclarations(declared, issues);
    INFO(toString(issues));
    REQUIRE(issues.empty());
    return parsed;
}

} // namespace

// Guards against example settings that the programs refuse.
TEST_CASE("the declarations of the examples are valid and have the size of their deployment", "[examples]")
{
    const auto [deployment, engines] = GENERATE(table<std::string, std::size_t>({{"registry", 25U}, {"kielce", 15U}}));
    const Declarations parsed = declarations(deployment);
    CHECK(parsed.customers.size() == 10);
    CHECK(parsed.upstreams.size() == engines);
    CHECK(parsed.services.size() == 3);
    std::set<FailureDomain> domains;
    for (const auto &[name, upstream] : parsed.upstreams) {
        domains.insert(upstream.domain);
    }
    CHECK(domains.size() == 3);
}

TEST_CASE("the settings of the examples' entries and agents are valid", "[examples]")
{
    const auto deployment = GENERATE(as<std::string>(), "registry", "kielce");
    Result<SettingsFile> entryFile = SettingsFile::read(path(deployment, "entry.ini"));
    REQUIRE(errorOf(entryFile) == nullptr);
    auto &entry = std::get<SettingsFile>(entryFile);
    const EntryDaemonSettings settings = readEntrySettings(entry);
    const DeclaredConfig config(entry);
    const std::optional<Error> entryError = entry.finish();
    INFO(entryError.value_or(Error {}).message);
    CHECK_FALSE(entryError);
    // The entry accepts the keys and services that the declarations name.
    const Declarations declared = declarations(deployment);
    for (const auto &[hash, customer] : declared.customerOfKey) {
        const auto *known = config.customerOfKey(hash);
        REQUIRE(known != nullptr);
        CHECK(known->id == customer);
        CHECK(known->weight == declared.customers.at(customer).weight);
    }
    for (const auto &[name, service] : declared.services) {
        CHECK(config.service(name) != nullptr);
    }

    const auto file = GENERATE(as<std::string>(), "agent-engine.ini", "agent-service.ini");
    Result<SettingsFile> agentFile = SettingsFile::read(path(deployment, file));
    REQUIRE(errorOf(agentFile) == nullptr);
    static_cast<void>(readAgentSettings(std::get<SettingsFile>(agentFile)));
    const std::optional<Error> agentError = std::get<SettingsFile>(agentFile).finish();
    INFO(agentError.value_or(Error {}).message);
    CHECK_FALSE(agentError);
}
