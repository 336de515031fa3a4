// Case 15: clients that hold unfinished bodies, and one that sends a large body a byte at a time.
#include "rig.hh"

using namespace rig;

namespace
{

constexpr std::int64_t LengthMs = 6000; // no pause in a body reaches idle_timeout_ms, 15,000
constexpr std::size_t Holders = 600;
constexpr std::int64_t HolderGapMs = 12; // 83 clients a second
constexpr std::size_t HeldBytes = 55000;
constexpr std::size_t TrickledBytes = 200000;
constexpr std::size_t OrdinaryBytes = 150000; // max_body_bytes is 4,194,304
constexpr std::int64_t OrdinaryGapMs = 250;
constexpr int RouteTimeoutMs = 1500;
constexpr std::int64_t AnswerSlackMs = 500;

/// Opens a connection and begins a request with a body of 4,000,000 bytes, of which @p bytes are sent.
int beginRequest(const Entry &entry, std::uint64_t number, std::size_t bytes)
{
    const int fd = connectTo(entry.ip, entry.front);
    if (fd >= 0) {
        sendAll(fd,
                requestHead("POST", "/issue/2", number, RouteTimeoutMs) + "Content-Length: 4000000\r\n\r\n"
                    + std::string(bytes, 'z'));
    }
    return fd;
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

    std::atomic<bool> ended {false};
    std::vector<int> held;
    std::thread trickler;
    if (trouble) {
        const int slow = beginRequest(entry, 0x20000, TrickledBytes);
        trickler = std::thread([&, slow] {
            while (!ended && slow >= 0) {
                if (!sendAll(slow, "z")) {
                    RECORD("the connection of the slow client is closed");
                    return;
                }
                sleepMs(400);
            }
        });
        for (std::size_t index = 0; index < Holders; ++index) {
            held.push_back(beginRequest(entry, 0x30000 + index, HeldBytes));
            sleepMs(HolderGapMs);
        }
        sleepMs(1000);
        RECORD("%zu clients have sent %zu bytes of a body each and pause; one has sent %zu and goes on byte by byte",
               Holders,
               HeldBytes,
               TrickledBytes);
    }

    std::mutex mutex;
    std::vector<std::thread> threads;
    int sent = 0;
    int answeredInTime = 0;
    int pastTimeout = 0;
    int stillUnanswered = 0;
    int smallSent = 0;
    int smallAnswered = 0;
    const std::int64_t end = nowMs() + LengthMs;
    for (std::uint64_t number = 1; nowMs() < end; number += 2) {
        ++sent;
        ++smallSent;
        threads.emplace_back([&, number] {
            const int fd = connectTo(entry.ip, entry.front);
            const timeval limit {10, 0};
            ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
            const Outcome outcome =
                ask(fd,
                    requestHead("POST", "/issue/1", number, RouteTimeoutMs) + "Content-Length: "
                        + std::to_string(OrdinaryBytes) + "\r\n\r\n" + std::string(OrdinaryBytes, 'a'),
                    RouteTimeoutMs + AnswerSlackMs);
            ::close(fd);
            const std::int64_t took = outcome.endMs - outcome.sentMs;
            RECORD("ordinary request %016llx of %zu bytes: status %d, closed %d, %lld ms",
                   static_cast<unsigned long long>(number),
                   OrdinaryBytes,
                   outcome.status,
                   outcome.closed,
                   static_cast<long long>(took));
            const std::lock_guard inner(mutex);
            if (outcome.status != 0 && took <= RouteTimeoutMs) {
                ++answeredInTime;
            } else {
                ++pastTimeout;
                stillUnanswered += outcome.status == 0 ? 1 : 0;
            }
        });
        threads.emplace_back([&, number] {
            const int fd = connectTo(entry.ip, entry.front);
            const Outcome outcome =
                ask(fd, requestHead("GET", "/lookup/1", number + 1, RouteTimeoutMs) + "\r\n", RouteTimeoutMs);
            ::close(fd);
            const std::lock_guard inner(mutex);
            smallAnswered += outcome.status == 200 ? 1 : 0;
        });
        sleepMs(OrdinaryGapMs);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    ended = true;
    if (trickler.joinable()) {
        trickler.join();
    }
    RECORD(
        "ordinary requests of %zu bytes: %d sent, %d answered within the route's timeout, %d not; of these, %d had no "
        "answer %lld ms later either",
        OrdinaryBytes,
        sent,
        answeredInTime,
        pastTimeout,
        stillUnanswered,
        static_cast<long long>(AnswerSlackMs));
    RECORD("requests without a body: %d sent, %d answered", smallSent, smallAnswered);
    // CONFIG: eight or more, and more than half, of the requests that are unanswered at their route's timeout have no
    // answer half a second later.
    const bool broken = stillUnanswered >= 8 && 2 * stillUnanswered > pastTimeout;
    RECORD(broken ? "BROKEN: ordinary clients get no answers" : "held");
    finish(broken ? ExitBroken : ExitHeld, folder);
}
