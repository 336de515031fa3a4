#include "adapters/fleetsettings.h"

namespace ibismast
{

namespace
{

using std::chrono::milliseconds;

// Seeds of the random sources of one process run, which are to differ.
constexpr std::uint64_t StoreSeed = 0x53544f5245;
constexpr std::uint64_t ConfigSeed = 0x434f4e464947;

/// Reads a URL with the scheme http; nothing if it is not set or wrong.
std::optional<QUrl> readUrl(SettingsFile &file, const std::string &section, const std::string &key)
{
    const std::string text = file.text(section, key, "-");
    if (text == "-") {
        return std::nullopt;
    }
    QUrl url(QString::fromStdString(text), QUrl::StrictMode);
    if (!url.isValid() || url.scheme() != "http" || url.host().isEmpty()) {
        file.refuse(section, key, text, "a URL of the form http://ip:port/path");
        return std::nullopt;
    }
    return url;
}

void readBudget(SettingsFile &file, StoreBudgetSettings &budget)
{
    constexpr double Least = 0.1;
    constexpr double Most = 10'000.0;
    budget.readsPerSecond = file.number("store", "reads_per_second", budget.readsPerSecond, Least, Most);
    budget.writesPerSecond = file.number("store", "writes_per_second", budget.writesPerSecond, Least, Most);
    budget.readBurst = file.number("store", "read_burst", budget.readBurst, 1.0, Most);
    budget.writeBurst = file.number("store", "write_burst", budget.writeBurst, 1.0, Most);
}

template<typename Settings> void check(SettingsFile &file, const Settings &settings)
{
    const Result<Success> valid = settings.validate();
    if (const Error *error = errorOf(valid)) {
        file.refuse("store", "settings", {}, error->message);
    }
}

} // namespace

std::optional<FleetSettings> readFleet(SettingsFile &file)
{
    FleetSettings settings;
    const std::optional<QUrl> url = readUrl(file, "store", "gateway");
    const Duration timeout = file.milliseconds(
        "store", "call_timeout_ms", settings.store.gateway.callTimeout, milliseconds(10), milliseconds(600'000));
    settings.store.gateway.callTimeout = timeout;
    settings.store.gate.callTimeout = timeout;
    readBudget(file, settings.store.gate.budget);
    if (!url) {
        return std::nullopt;
    }
    settings.store.gateway.gateway = *url;
    check(file, settings.store.gate);
    check(file, settings.config.relay);
    return settings;
}

std::optional<InstanceListClientSettings> readInstanceList(SettingsFile &file)
{
    InstanceListClientSettings settings;
    const std::optional<QUrl> url = readUrl(file, "instances", "url");
    settings.interval =
        file.milliseconds("instances", "interval_ms", settings.interval, milliseconds(10), milliseconds(600'000));
    settings.timeout =
        file.milliseconds("instances", "timeout_ms", settings.timeout, milliseconds(10), milliseconds(600'000));
    if (!url) {
        return std::nullopt;
    }
    settings.url = *url;
    return settings;
}

std::unique_ptr<StoreClient> makeStoreClient(const std::optional<FleetSettings> &settings, Incarnation incarnation)
{
    return settings ? std::make_unique<StoreClient>(settings->store, incarnation.value() ^ StoreSeed) : nullptr;
}

std::unique_ptr<ConfigDriver> makeConfigDriver(const std::optional<FleetSettings> &settings,
                                               const PeerSummary &self,
                                               StoreClient *store,
                                               EventListener *listener)
{
    return settings ? std::make_unique<ConfigDriver>(
               settings->config, self, *store, self.incarnation.value() ^ ConfigSeed, listener)
                    : nullptr;
}

} // namespace ibismast
