// Case 13: a few requests a second whose heads have a long Connection header and many short lines.
#include "rig.hh"

using namespace rig;

namespace
{

constexpr std::int64_t LengthMs = 12000;
constexpr std::int64_t HostileGapMs = 20; // 50 requests a second
constexpr std::int64_t OrdinaryGapMs = 100;
constexpr int RouteTimeoutMs = 1500;
constexpr std::int64_t AnswerSlackMs = 500;

/// Head of 15.9 kB, below max_header_bytes. With @p trouble it names 3,900 connection options and has 2,000 lines;
/// without, it has one long line.
std::string largeHead(std::uint64_t number, bool trouble)
{
    std::string head = requestHead("GET", "/lookup/2", number, RouteTimeoutMs);
    if (!trouble) {
        return head + "Note: " + std::string(15700, 'a') + "\r\n\r\n";
    }
    head += "Connection: x";
    for (int option = 1; option < 3900; ++option) {
        head += ",x";
    }
    head += "\r\n";
    for (int line = 0; line < 1950; ++line) {
        head += "y:\r\n";
    }
    return head + "\r\n";
}

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
    sleepMs(3500); // contact_ms, 3,000: the machine is in touch
    RECORD("the entry is ready and in touch");

    const std::int64_t end = nowMs() + LengthMs;
    std::mutex mutex;
    std::vector<std::thread> threads;
    int ordinarySent = 0;
    int answeredInTime = 0;
    int pastTimeout = 0;
    int stillUnanswered = 0;
    int hostileSent = 0;
    int hostileAnswered = 0;
    int readyMisses = 0;
    int longestReadyMisses = 0;
    std::thread platform([&] {
        // The platform's question to each node, once a second.
        int inRow = 0;
        while (nowMs() < end) {
            const std::int64_t asked = nowMs();
            const int status = entry.askReady(1000);
            RECORD("ready page: %d after %lld ms", status, static_cast<long long>(nowMs() - asked));
            inRow = status == 200 ? 0 : inRow + 1;
            readyMisses += status == 200 ? 0 : 1;
            longestReadyMisses = std::max(longestReadyMisses, inRow);
            sleepMs(std::max<std::int64_t>(0, asked + 1000 - nowMs()));
        }
    });
    std::thread hostile([&] {
        for (std::uint64_t number = 0x100000; nowMs() < end; ++number) {
            {
                const std::lock_guard lock(mutex);
                ++hostileSent;
                threads.emplace_back([&, number] {
                    const int fd = connectTo(entry.ip, entry.front);
                    // It stays until its answer comes, however late.
                    const Outcome outcome = ask(fd, largeHead(number, trouble), end - nowMs());
                    ::close(fd);
                    const std::lock_guard inner(mutex);
                    hostileAnswered += outcome.status != 0 ? 1 : 0;
                });
            }
            sleepMs(HostileGapMs);
        }
    });
    std::uint64_t number = 1;
    while (nowMs() < end) {
        {
            const std::lock_guard lock(mutex);
            ++ordinarySent;
            threads.emplace_back([&, number] {
                // Connections are opened in time by the platform; a request begins when the connection stands.
                const int fd = connectTo(entry.ip, entry.front);
                const Outcome outcome = ask(fd,
                                            requestHead("GET", "/lookup/1", number, RouteTimeoutMs) + "\r\n",
                                            RouteTimeoutMs + AnswerSlackMs);
                ::close(fd);
                const std::int64_t took = outcome.endMs - outcome.sentMs;
                RECORD("ordinary request %016llx: status %d, %lld ms",
                       static_cast<unsigned long long>(number),
                       outcome.status,
                       static_cast<long long>(took));
                const std::lock_guard inner(mutex);
                if (outcome.status != 0 && took <= RouteTimeoutMs) {
                    ++answeredInTime;
                } else {
                    ++pastTimeout;
                    stillUnanswered += outcome.status == 0 ? 1 : 0;
                }
            });
        }
        ++number;
        sleepMs(OrdinaryGapMs);
    }
    hostile.join();
    platform.join();
    for (std::size_t index = 0; index < threads.size(); ++index) {
        threads[index].join();
    }
    RECORD("large requests: %d sent, %d answered", hostileSent, hostileAnswered);
    RECORD("ordinary requests: %d sent, %d answered within the route's timeout, %d not; of these, %d had no answer "
           "%lld ms later either",
           ordinarySent,
           answeredInTime,
           pastTimeout,
           stillUnanswered,
           static_cast<long long>(AnswerSlackMs));
    RECORD("ready page: %d misses, %d in a row", readyMisses, longestReadyMisses);
    // CONFIG: eight or more, and more than half, of the requests that are unanswered at their route's timeout have no
    // answer half a second later.
    const bool broken = stillUnanswered >= 8 && 2 * stillUnanswered > pastTimeout;
    RECORD(broken ? "BROKEN: ordinary clients get no answers, the process hangs" : "held");
    finish(broken ? ExitBroken : ExitHeld, folder);
}
