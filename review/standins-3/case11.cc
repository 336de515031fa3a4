// Case 11: a part of a prompt that crashes servers; sound requests that share the prompt's other parts.
#include "engine.hh"

using namespace rig;

namespace
{

constexpr int EngineCount = 6;
constexpr std::int64_t ContactMs = 3000;
constexpr std::int64_t CalmMs = 12000;
constexpr std::int64_t TroubleMs = 24000;
constexpr std::int64_t SoundGapMs = 400;
constexpr std::int64_t OtherGapMs = 1000;
constexpr std::int64_t PoisonGapMs = 250;
constexpr const char *Common = "5c1e07a2"; // first part of all prompts of the caller
constexpr const char *Poison = "91bd3f06"; // the part that crashes servers
constexpr const char *Shared = "77a0c4e1"; // part of sound prompts and of those with the poison
constexpr const char *OtherCommon = "30d9b215"; // parts of another caller's prompts
constexpr const char *OtherShared = "b6612f9d";
constexpr const char *Key = "n2ctnfzs989anu6wsjnb";
constexpr const char *OtherKey = "anfqasnmgkcuyj8pjbvk";
constexpr const char *Tenants = "{\"name\":\"hule930\",\"api_keys\":[\"n2ctnfzs989anu6wsjnb\"],\"priority\":1},"
                                "{\"name\":\"vami204\",\"api_keys\":[\"anfqasnmgkcuyj8pjbvk\"],\"priority\":1}";

struct Sent
{
    std::int64_t sentMs = 0;
    bool begun = false;
    int status = 0;
};

} // namespace

int main(int /*argc*/, char **argv)
{
    const std::string folder = prepare(argv[1]);
    const bool trouble = troubled();
    Store store;
    Engine engines[EngineCount];
    // Two entries on addresses of their own, with the same ports.
    Entry entries[2];
    for (int index = 0; index < 2; ++index) {
        Entry &entry = entries[index];
        entry = entries[0];
        entry.ip = "127.0.0." + std::to_string(2 + index);
        entry.name = "front-a-" + std::to_string(index + 1);
        if (index == 0) {
            entry.front = freePort(entry.ip);
            entry.ready = freePort(entry.ip);
            entry.control = freePort(entry.ip);
            entry.peers = freePort(entry.ip);
        }
    }
    if (!store.start()) {
        finish(ExitCouldNotRun, folder);
    }
    store.put("op/config", smallConfig(7, engineRoute(), engineService(), Tenants));
    for (int index = 0; index < EngineCount; ++index) {
        engines[index].id = "reader-" + std::to_string(index + 1);
        engines[index].poison = trouble ? Poison : "";
        if (!engines[index].start()) {
            finish(ExitCouldNotRun, folder);
        }
        engines[index].beat(store, 1200);
    }
    std::thread([&] {
        for (;;) {
            sleepMs(1200);
            for (Engine &engine : engines) {
                engine.beat(store, 1200);
            }
        }
    }).detach();
    std::string seeds;
    for (const Entry &entry : entries) {
        seeds += (seeds.empty() ? "" : ",") + entry.ip + ":" + std::to_string(entry.control);
    }
    for (Entry &entry : entries) {
        if (!entry.start(store, folder, seeds)) {
            finish(ExitCouldNotRun, folder);
        }
    }
    for (const Entry &entry : entries) {
        if (!entry.waitUntilReady(10000)) {
            RECORD("an entry did not get ready");
            finish(ExitCouldNotRun, folder);
        }
    }
    sleepMs(ContactMs + 500);
    RECORD("the entries are ready and in touch");

    std::mutex mutex;
    std::vector<std::thread> threads;
    std::vector<Sent> sound;
    std::atomic<std::uint64_t> numbers {0};
    const auto send =
        [&](const std::string &kind, const std::string &key, const std::string &parts, std::vector<Sent> *results) {
            const std::uint64_t number = ++numbers;
            char own[17];
            std::snprintf(own, sizeof(own), "e%07llx", static_cast<unsigned long long>(number));
            const std::string body = "question " + std::to_string(number);
            const std::string request = requestHead("POST", "/check/q", number, 10000) + "Authorization: Token " + key
                + "\r\nIbismast-Model: m\r\nIbismast-Token-Counts: 1700,1650\r\nIbismast-Prompt-Prefix: " + parts + ","
                + own + ":250\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            const std::lock_guard lock(mutex);
            threads.emplace_back([&, number, kind, request, results] {
                const Entry &entry = entries[number % 2];
                const int fd = connectTo(entry.ip, entry.front);
                const Outcome outcome = ask(fd, request, 10500);
                ::close(fd);
                const bool begun = outcome.status == 200 && !outcome.body.empty();
                RECORD("%s request %016llx: status %d, %s, %s after %lld ms",
                       kind.c_str(),
                       static_cast<unsigned long long>(number),
                       outcome.status,
                       begun ? "begun" : "not begun",
                       outcome.complete ? "complete" : "incomplete",
                       static_cast<long long>(outcome.endMs - outcome.sentMs));
                if (results != nullptr) {
                    const std::lock_guard inner(mutex);
                    results->push_back({outcome.sentMs, begun, outcome.status});
                }
            });
        };
    const std::int64_t poisonStart = nowMs() + CalmMs;
    const std::int64_t end = poisonStart + TroubleMs;
    std::thread others([&] {
        while (nowMs() < end) {
            send("other", OtherKey, std::string(OtherCommon) + ":800," + OtherShared + ":650", nullptr);
            sleepMs(OtherGapMs);
        }
    });
    std::thread poison([&] {
        sleepMs(poisonStart - nowMs());
        while (nowMs() < end) {
            // No two are alike: the last part and the body differ.
            send("poison", Key, std::string(Common) + ":800," + Poison + ":410," + Shared + ":240", nullptr);
            sleepMs(PoisonGapMs);
        }
    });
    while (nowMs() < end) {
        send("sound", Key, std::string(Common) + ":800," + Shared + ":650", &sound);
        sleepMs(SoundGapMs);
    }
    others.join();
    poison.join();
    for (std::thread &thread : threads) {
        thread.join();
    }
    // LOST counts from 2 x contact_ms after the fifth crash, the last one if there are fewer.
    std::int64_t lastCrash = poisonStart;
    int crashes = 0;
    for (const Engine &engine : engines) {
        crashes += engine.crashes;
        lastCrash = std::max(lastCrash, engine.lastCrashMs.load());
    }
    int before = 0;
    int beforeBegun = 0;
    int after = 0;
    int afterBegun = 0;
    for (const Sent &request : sound) {
        if (request.sentMs < poisonStart - 2000) {
            ++before;
            beforeBegun += request.begun ? 1 : 0;
        } else if (request.sentMs > lastCrash + 2 * ContactMs) {
            ++after;
            afterBegun += request.begun ? 1 : 0;
        }
    }
    RECORD("%d crashes, the last %.1f s after the first of the poisoned requests",
           crashes,
           static_cast<double>(lastCrash - poisonStart) / 1000.0);
    RECORD("sound requests with the same key and first part: %d of %d began before; later than 2 x contact_ms after "
           "the last crash "
           "%d of %d",
           beforeBegun,
           before,
           afterBegun,
           after);
    if (before < 20 || after < 20) {
        RECORD("too few requests to judge");
        finish(ExitCouldNotRun, folder);
    }
    const bool broken = afterBegun * before * 2 < beforeBegun * after;
    RECORD(broken ? "BROKEN: sound requests are kept from the servers" : "held");
    finish(broken ? ExitBroken : ExitHeld, folder);
}
