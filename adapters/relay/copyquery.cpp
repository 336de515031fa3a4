#include "adapters/relay/copyquery.h"

#include <charconv>

namespace ibismast
{

namespace
{

constexpr std::string_view ConfigAfter = "config_after=";
constexpr std::string_view NoConfig = "none";
/// Every configuration is newer.
constexpr std::int64_t NoVersion = -1;

} // namespace

std::string encodeCopyQuery(const CopyContents &contents)
{
    return std::string(ConfigAfter)
        + (contents.configAfter ? std::to_string(contents.configAfter->value()) : std::string(NoConfig));
}

CopyContents decodeCopyQuery(std::string_view query)
{
    std::int64_t version = NoVersion;
    if (query.starts_with(ConfigAfter)) {
        const std::string_view value = query.substr(ConfigAfter.size());
        if (value == NoConfig) {
            return {};
        }
        const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), version);
        if (error != std::errc() || end != value.data() + value.size()) {
            version = NoVersion;
        }
    }
    return {RelayConfigVersion(version)};
}

} // namespace ibismast
