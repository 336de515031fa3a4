// Case 12: clients that send heads of many short lines and do not finish them.
#include "rig.h"

using namespace rig;

namespace
{

constexpr std::size_t HostileClients = 1000;
constexpr std::size_t HeadBytes = 16000; // below max_header_bytes, 16,384
constexpr std::int64_t HoldMs = 6000;    // beyond header_timeout_ms, 3,000

} // namespace

int main(int /*argc*/, char **argv)
{
    const std::string folder = prepare(argv[1]);
    const bool trouble = troubled();
    Store store;
    PlainServer server;
    server.id = "app-1";
    server.verbose = trouble;
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
    store.put("op/config", smallConfig(7));
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
    RECORD("the entry is ready, %lld MiB; its limit is memory_mb = %d",
           static_cast<long long>(entry.privateMemoryMb()), entry.memoryMb);

    // An ordinary client: a lookup each 100 ms on a connection of its own.
    std::atomic<bool> ended {false};
    std::atomic<int> answered {0};
    std::atomic<int> unanswered {0};
    std::thread ordinary([&] {
        for (std::uint64_t number = 1; !ended; ++number) {
            const int fd = connectTo(entry.ip, entry.front);
            const Outcome outcome = ask(fd, requestHead("GET", "/lookup/1", number, 1500) + "\r\n", 2000);
            ::close(fd);
            RECORD("ordinary request %016llx: status %d, complete %d, closed %d, %lld ms",
                   static_cast<unsigned long long>(number), outcome.status, outcome.complete, outcome.closed,
                   static_cast<long long>(outcome.endMs - outcome.sentMs));
            ++(outcome.complete ? answered : unanswered);
            sleepMs(100);
        }
    });

    // Both runs send heads of the same size on as many connections. Without the disruption each head has one long line
    // and is finished, so that each request is an ordinary one.
    std::vector<int> connections;
    std::int64_t sentBytes = 0;
    std::int64_t mostMb = 0;
    bool killed = false;
    const auto watchMemory = [&] {
        const std::int64_t memory = entry.privateMemoryMb();
        mostMb = std::max(mostMb, memory);
        if (!killed && memory > entry.memoryMb) {
            // DEPLOY.md: a process that exceeds memory_mb is killed.
            RECORD("the process holds %lld MiB, more than %d: the platform kills it", static_cast<long long>(memory),
                   entry.memoryMb);
            ::kill(entry.pid, SIGKILL);
            killed = true;
        }
        return !killed;
    };
    std::thread monitor([&] {
        while (!ended && watchMemory()) {
            sleepMs(20);
        }
    });
    for (std::size_t index = 0; index < HostileClients && !killed; ++index) {
        const int fd = connectTo(entry.ip, entry.front);
        if (fd < 0) {
            continue;
        }
        connections.push_back(fd);
        std::string head = requestHead("GET", "/lookup/2", 0x1000 + index, 1500);
        if (trouble) {
            while (head.size() + 4 <= HeadBytes) {
                head += "a:\r\n";
            }
        } else {
            head += "A: " + std::string(HeadBytes - head.size() - 9, 'a') + "\r\n\r\n";
        }
        sentBytes += static_cast<std::int64_t>(head.size());
        sendAll(fd, head);
        if (!trouble) {
            bool closed = false;
            Reader reader(fd);
            const Message answer = reader.read(nowMs() + 2000, closed, true);
            if (answer.status() != 200) {
                RECORD("request %zu of the calm run: status %d", index, answer.status());
            }
        }
    }
    RECORD("%zu clients have sent %lld bytes of heads, %lld on average", connections.size(),
           static_cast<long long>(sentBytes),
           static_cast<long long>(sentBytes / static_cast<std::int64_t>(std::max<std::size_t>(1, connections.size()))));
    for (const std::int64_t end = nowMs() + HoldMs; nowMs() < end && !killed;) {
        sleepMs(50);
    }
    sleepMs(500);
    ended = true;
    monitor.join();
    ordinary.join();
    RECORD("most memory %lld MiB of %d; ordinary requests: %d answered, %d not", static_cast<long long>(mostMb),
           entry.memoryMb, answered.load(), unanswered.load());
    const bool broken = killed || entry.hasEnded();
    RECORD(broken ? "BROKEN: the process does not stay within the memory of its machine" : "held");
    finish(broken ? ExitBroken : ExitHeld, folder);
}
