// Case 14: the last tenant is taken out of the configuration.
#include "rig.hh"

using namespace rig;

namespace
{

constexpr std::int64_t ContactMs = 3000;
constexpr std::int64_t ConfigApplyMs = 2000;
constexpr const char *Key = "n2ctnfzs989anu6wsjnb"; // held by version 7, dropped by version 8
constexpr const char *StrangeKey = "zzzzzzzzzzzzzzzzzzzz"; // held by no version

/// Configuration with keys: its routes are not public, and it contains `tenants`.
std::string config(int version, const std::string &tenants)
{
    std::string text = smallConfig(version, "", "", tenants);
    for (std::size_t place = 0; (place = text.find("\"public\":true", place)) != std::string::npos;) {
        text.replace(place, 13, "\"public\":false");
    }
    return text;
}

} // namespace

int main(int /*argc*/, char **argv)
{
    const std::string folder = prepare(argv[1]);
    const bool trouble = troubled();
    Store store;
    PlainServer server;
    server.id = "app-1";
    Entry entry;
    entry.ip = "127.0.0.2";
    entry.name = "front-a-1";
    entry.front = freePort(entry.ip);
    entry.ready = freePort(entry.ip);
    entry.control = freePort(entry.ip);
    entry.peers = freePort(entry.ip);
    if (!store.start() || !server.start()) {
        finish(ExitCouldNotRun, folder);
    }
    const std::string tenant = std::string("{\"name\":\"hule930\",\"api_keys\":[\"") + Key + "\"],\"priority\":1}";
    store.put("op/config", config(7, tenant));
    server.beat(store);
    std::thread([&] {
        for (;;) {
            sleepMs(1200);
            server.beat(store);
        }
    }).detach();
    if (!entry.start(store, folder, entry.ip + ":" + std::to_string(entry.control)) || !entry.waitUntilReady(10000)) {
        RECORD("the entry did not get ready");
        finish(ExitCouldNotRun, folder);
    }
    sleepMs(ContactMs + 500);
    RECORD("the entry is ready and in touch");

    std::uint64_t number = 0;
    // Sends an unsafe request with @p key, or without one, and returns whether a server ran it.
    const auto runs = [&](const std::string &key) {
        ++number;
        const std::int64_t before = server.ran;
        const int fd = connectTo(entry.ip, entry.front);
        std::string request = requestHead("POST", "/issue/1", number, 1500);
        request += key.empty() ? "" : "Authorization: Token " + key + "\r\n";
        const Outcome outcome = ask(fd, request + "Content-Length: 0\r\n\r\n", 2000);
        ::close(fd);
        const bool ran = server.ran > before;
        RECORD("request %016llx with %s: status %d, %s",
               static_cast<unsigned long long>(number),
               key.empty() ? "no key" : ("key " + key).c_str(),
               outcome.status,
               ran ? "run" : "not run");
        return std::pair(ran, outcome.status);
    };
    const bool calm = runs(Key).first && !runs(StrangeKey).first && !runs("").first;
    if (!calm) {
        RECORD("keys are not checked as version 7 says");
        finish(ExitCouldNotRun, folder);
    }
    // The change: version 8 takes the tenant and its key away, as its operator revokes them; without the disruption it
    // keeps them. The store's answer is the ack.
    store.put("op/config", config(8, trouble ? "" : tenant));
    RECORD("version 8 is acknowledged: %s", trouble ? "\"tenants\":[]" : "the tenant as before");
    sleepMs(ConfigApplyMs + 1000);
    int wronglyRun = 0;
    for (int round = 0; round < 10; ++round) {
        const bool dropped = runs(Key).first;
        wronglyRun += trouble && dropped ? 1 : 0;
        wronglyRun += runs(StrangeKey).first ? 1 : 0;
        wronglyRun += runs("").first ? 1 : 0;
        sleepMs(100);
    }
    RECORD("%d requests were run whose key the configuration in force does not hold", wronglyRun);
    const bool broken = wronglyRun > 0;
    RECORD(broken ? "BROKEN: requests run without a key or with one that no configuration ever held" : "held");
    finish(broken ? ExitBroken : ExitHeld, folder);
}
