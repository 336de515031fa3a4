// Case 12: clients whose heads consist of many short lines pause before their bodies.
#include "rig.hh"

using namespace rig;

namespace
{

constexpr std::size_t HostileClients = 1100;
constexpr std::int64_t HostileGapMs = 12; // 83 clients a second
constexpr std::size_t HeadBytes = 16000; // below max_header_bytes, 16,384
constexpr std::int64_t HoldMs = 1000; // all pauses stay below idle_timeout_ms, 15,000
constexpr std::int64_t ContactMs = 3000;
constexpr int OrdinaryClients = 10;
/// Requests that a machine may cut without breaking the rule.
constexpr int AllowedCuts = 3;

} // namespace

int main(int /*argc*/, char **argv)
{
    const std::string folder = prepare(argv[1]);
    const bool trouble = troubled();
    Store store;
    PlainServer servers[3];
    Entry entry;
    entry.ip = "127.0.0.2";
    entry.name = "front-a-1";
    entry.front = freePort(entry.ip);
    entry.ready = freePort(entry.ip);
    entry.control = freePort(entry.ip);
    entry.peers = freePort(entry.ip);
    if (!store.start()) {
        finish(ExitCouldNotRun, folder);
    }
    store.put("op/config", smallConfig(7));
    for (int index = 0; index < 3; ++index) {
        servers[index].id = "app-" + std::to_string(index + 1);
        servers[index].workMs = 100; // the sheet's longest is 110
        servers[index].verbose = false;
        if (!servers[index].start()) {
            finish(ExitCouldNotRun, folder);
        }
        servers[index].beat(store);
    }
    std::thread([&] {
        for (;;) {
            sleepMs(1200);
            for (PlainServer &server : servers) {
                server.beat(store);
            }
        }
    }).detach();
    if (!entry.start(store, folder, entry.ip + ":" + std::to_string(entry.control)) || !entry.waitUntilReady(10000)) {
        RECORD("the entry did not get ready");
        finish(ExitCouldNotRun, folder);
    }
    sleepMs(ContactMs + 500);
    RECORD("the entry is ready and in touch, %lld MiB; its limit is memory_mb = %d",
           static_cast<long long>(entry.privateMemoryMb()),
           entry.memoryMb);

    // Ordinary clients: unsafe requests one after the other, each client on a kept connection.
    std::atomic<bool> ended {false};
    std::atomic<bool> killed {false};
    std::atomic<int> answered {0};
    std::atomic<int> cut {0};
    std::atomic<std::uint64_t> numbers {0};
    std::vector<std::thread> ordinary;
    for (int client = 0; client < OrdinaryClients; ++client) {
        ordinary.emplace_back([&] {
            const int fd = connectTo(entry.ip, entry.front);
            bool kept = false;
            while (!ended && !killed) {
                const std::uint64_t number = ++numbers;
                const Outcome outcome =
                    ask(fd, requestHead("POST", "/issue/1", number, 1500) + "Content-Length: 0\r\n\r\n", 2000);
                if (outcome.complete) {
                    ++answered;
                    kept = true;
                    continue;
                }
                const bool ran = servers[0].hasRun(number) || servers[1].hasRun(number) || servers[2].hasRun(number);
                RECORD("ordinary request %016llx on a %s connection: closed %d after %lld ms without an answer, %s",
                       static_cast<unsigned long long>(number),
                       kept ? "kept" : "new",
                       outcome.closed,
                       static_cast<long long>(outcome.endMs - outcome.sentMs),
                       ran ? "it had been passed on" : "it had not been passed on");
                cut += kept && outcome.closed && ran ? 1 : 0;
                break;
            }
            ::close(fd);
        });
    }

    std::int64_t mostMb = 0;
    std::thread platform([&] {
        while (!ended && !killed) {
            const std::int64_t memory = entry.privateMemoryMb();
            mostMb = std::max(mostMb, memory);
            if (memory > entry.memoryMb) {
                // DEPLOY.md: a process that exceeds memory_mb is killed.
                RECORD("the process holds %lld MiB, more than %d: the platform kills it",
                       static_cast<long long>(memory),
                       entry.memoryMb);
                ::kill(entry.pid, SIGKILL);
                killed = true;
            }
            sleepMs(20);
        }
    });

    // Both runs send finished heads of the same size on as many connections, and announce a body that does not come.
    // Without the disruption each head has one long line instead of the short ones.
    std::vector<int> connections;
    std::int64_t sentBytes = 0;
    const std::int64_t first = nowMs();
    for (std::size_t index = 0; index < HostileClients && !killed; ++index) {
        sleepMs(first + static_cast<std::int64_t>(index) * HostileGapMs - nowMs());
        const int fd = connectTo(entry.ip, entry.front);
        if (fd < 0) {
            continue;
        }
        connections.push_back(fd);
        std::string head = requestHead("POST", "/issue/2", 0x100000 + index, 20000) + "Content-Length: 64\r\n";
        if (trouble) {
            while (head.size() + 6 <= HeadBytes) {
                head += "a:\r\n";
            }
        } else {
            head += "A: " + std::string(HeadBytes - head.size() - 7, 'a') + "\r\n";
        }
        head += "\r\n";
        sentBytes += static_cast<std::int64_t>(head.size());
        sendAll(fd, head);
    }
    RECORD("%zu clients have sent %lld bytes of heads", connections.size(), static_cast<long long>(sentBytes));
    for (const std::int64_t end = nowMs() + HoldMs; nowMs() < end && !killed;) {
        sleepMs(50);
    }
    sleepMs(500);
    ended = true;
    platform.join();
    for (std::thread &thread : ordinary) {
        thread.join();
    }
    RECORD("most memory %lld MiB of %d; ordinary requests: %d answered, %d cut that had been passed on from kept "
           "connections",
           static_cast<long long>(mostMb),
           entry.memoryMb,
           answered.load(),
           cut.load());
    const bool broken = (killed || entry.hasEnded()) && cut > AllowedCuts;
    RECORD(broken ? "BROKEN: the process ends over its memory, with the requests that it had passed on" : "held");
    finish(broken ? ExitBroken : ExitHeld, folder);
}
