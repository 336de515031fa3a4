// The scripts' cases, one function each. Usage: review-cases CASE RECORD; run from the root of the repository. `smuggled`
// and `stop` have no folder; review/REPORT.md names them.
// Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
#include "bed.hh"

#include <algorithm>
#include <array>
#include <set>

namespace
{

using namespace bed;

/// Ends the processes that were started, and this one, whose threads still serve connections.
[[noreturn]] void end(Deployment &deployment, int status)
{
    deployment.finish();
    record.line("exit status %d: %s",
                status,
                status == 0       ? "the rule held"
                    : status == 1 ? "the rule was broken"
                                  : "the case could not run");
    std::_Exit(status);
}

/// Requests by id: the servers that have run them.
class Runs
{
public:
    void add(const std::string &request, const std::string &server)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_servers[request].push_back(server);
    }
    std::vector<std::string> of(const std::string &request)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_servers[request];
    }

private:
    std::mutex m_mutex;
    std::map<std::string, std::vector<std::string>> m_servers;
};

/// Requests by id: the status that their server gave them.
class Statuses
{
public:
    void set(const std::string &request, int status)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_statuses[request] = status;
    }
    int of(const std::string &request)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_statuses[request];
    }

private:
    std::mutex m_mutex;
    std::map<std::string, int> m_statuses;
};

constexpr int LastEvent = 33;

/// One event of a stream.
std::string eventText(int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + std::string(50, 'a') + "\n\n";
}

std::string chunk(const std::string &bytes)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

/// A sound model server: a stream of 33 events, @p pause seconds apart, behind the last one that the requester has.
/// @p before is called before each event and returns false if the connection has ended.
bool stream(Server &server, Socket &socket, const Request &request, double pause,
            const std::function<bool(int event)> &before = nullptr)
{
    const std::string last = request.header("Last-Event-Id");
    if (!socket.send(server.head(request) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
        return false;
    }
    for (int event = last.empty() ? 1 : std::stoi(last) + 1; event <= LastEvent; ++event) {
        sleepFor(pause);
        if ((before && !before(event)) || !socket.send(chunk(eventText(event)))) {
            return false;
        }
    }
    return socket.send("0\r\n\r\n");
}

std::string expectedStream()
{
    std::string text;
    for (int event = 1; event <= LastEvent; ++event) {
        text += eventText(event);
    }
    return text;
}

/// Connections that each entry has closed without an answer. The rule allows an entry three.
using LostByEntry = std::array<std::atomic<int>, 3>;

int largest(const LostByEntry &lost)
{
    return std::max({lost[0].load(), lost[1].load(), lost[2].load()});
}

/// A requester that keeps its connection and sends one stream after the other until @p end. Counts the connections that
/// an entry closes without a complete answer though a sound server had got the request and the connection had carried
/// an answer before.
void streamRequester(Deployment &deployment, std::size_t entry, int number, double end, Runs &runs,
                     const std::function<bool(const std::string &server)> &isSound, LostByEntry &lost,
                     std::atomic<int> &answered, double pace = 0)
{
    std::unique_ptr<Socket> socket;
    int onConnection = 0;
    for (int count = 0; seconds() < end; ++count) {
        if (!socket) {
            socket = deployment.connect(entry);
            onConnection = 0;
            if (!socket) {
                sleepFor(0.2);
                continue;
            }
        }
        const std::string id =
            "s" + std::to_string(entry) + "-" + std::to_string(number) + "-" + std::to_string(count);
        record.line("requester sends %s to %s, request %d of its connection",
                    id.c_str(), deployment.entries[entry]->name.c_str(), onConnection + 1);
        Response response;
        if (socket->send(generation("/sheet/a", id, 4960,
                                    static_cast<unsigned>((entry * 100 + static_cast<std::size_t>(number)) * 1000
                                                          + static_cast<std::size_t>(count))))) {
            response = readResponse(*socket, 10, pace);
        } else {
            response.end = "send failed";
        }
        if (response.complete) {
            ++onConnection;
            answered += response.status == 200 ? 1 : 0;
            record.line("requester has the answer to %s: %d, %s", id.c_str(), response.status,
                        response.status != 200                        ? "no success"
                            : response.body == expectedStream()       ? "whole"
                                                                      : "NOT the server's body");
            sleepFor(0.02);
            continue;
        }
        std::string servers;
        bool sound = false;
        for (const std::string &server : runs.of(id)) {
            servers += " " + server;
            sound = sound || isSound(server);
        }
        const bool counts = onConnection > 0 && sound && response.end != "timeout";
        lost[entry] += counts ? 1 : 0;
        record.line("connection of %s ends without a complete answer (status %d, %zu bytes of it, %s); run by%s%s",
                    id.c_str(), response.status, response.body.size(), response.end.c_str(),
                    servers.empty() ? " nobody" : servers.c_str(),
                    counts ? "; LOST: kept connection, passed to a sound server, no answer" : "");
        socket.reset();
        sleepFor(0.05);
    }
}

/// Rule LOST: a server's answer with trailers of 64 KiB ends the entry's process.
[[noreturn]] void trailer(bool trouble)
{
    constexpr double FaultBegin = 4.0;
    constexpr double FaultEnd = 9.0;
    constexpr double End = 11.0;
    Runs runs;
    std::atomic<int> answersOfFaulty {0};
    std::atomic<int> spoilt {0};
    const Handler model = [&](Server &server, Socket &socket, const Request &request) {
        runs.add(request.id(), server.id);
        return stream(server, socket, request, 0.03);
    };
    // garble: one of three servers spoils one in twenty of its answers for 5 s.
    const Handler application = [&](Server &server, Socket &socket, const Request &request) {
        sleepFor(0.015);
        const bool faulty = server.id == "app-0" && seconds() > FaultBegin && seconds() < FaultEnd;
        if (!trouble || !faulty || ++answersOfFaulty % 20 != 0) {
            return server.answer(socket, request, std::string(800, 'b'));
        }
        ++spoilt;
        record.line("server %s spoils its answer to %s: behind the last chunk come bytes without end",
                    server.id.c_str(), request.id().c_str());
        const std::string fill = "X-Fill: " + std::string(65'600, 'y') + "\r\n\r\n";
        bool open = socket.send(server.head(request) + "Transfer-Encoding: chunked\r\n\r\n"
                                + chunk(std::string(800, 'b')) + "0\r\n" + fill);
        while (open) {
            open = socket.send(fill);
        }
        return false;
    };
    Deployment &deployment = *new Deployment(model, 6, application, 3);
    deployment.waitReady();
    started = Clock::now();
    LostByEntry lost {};
    std::atomic<int> answered {0};
    std::vector<std::thread> threads;
    for (std::size_t entry = 0; entry < deployment.entries.size(); ++entry) {
        for (int number = 0; number < 5; ++number) {
            threads.emplace_back([&, entry, number] {
                streamRequester(deployment, entry, number, End, runs, [](const std::string &) { return true; }, lost,
                                answered);
            });
        }
        for (int number = 0; number < 2; ++number) {
            threads.emplace_back([&, entry, number] {
                std::unique_ptr<Socket> socket;
                for (int count = 0; seconds() < End; ++count) {
                    socket = socket ? std::move(socket) : deployment.connect(entry);
                    const std::string id =
                        "l" + std::to_string(entry) + "-" + std::to_string(number) + "-" + std::to_string(count);
                    const bool sent = socket
                        && socket->send(requestHead("GET", "/lookup/c" + std::to_string(count % 50), id, 1500) + "\r\n");
                    const Response response = sent ? readResponse(*socket, 2) : Response();
                    record.line("requester of %s: status %d, %s", id.c_str(), response.status,
                                response.complete ? "whole" : response.end.c_str());
                    if (!response.complete) {
                        socket.reset();
                    }
                    sleepFor(0.08);
                }
            });
        }
    }
    int crashes = 0;
    std::set<std::string> machines;
    while (seconds() < End) {
        for (const auto &entry : deployment.entries) {
            if (entry->pid > 0 && entry->ended()) {
                ++crashes;
                machines.insert(entry->name);
                sleepFor(0.3);
                entry->restart();
            }
        }
        sleepFor(0.01);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    record.line("spoilt answers: %d; processes of entries that ended by themselves: %d, on %zu machines; streams answered: "
                "%d; LOST: %d, %d and %d connections closed without an answer by the entries (the rule allows 3)",
                spoilt.load(), crashes, machines.size(), answered.load(), lost[0].load(), lost[1].load(), lost[2].load());
    end(deployment, answered == 0 ? 2 : largest(lost) > 3 ? 1 : 0);
}

/// Rule LOST: after one server has sent an event without end, the relay also throws away what a sound server sends.
[[noreturn]] void overflow(bool trouble)
{
    // The disruption comes three times, each time for 5 s and on one server.
    constexpr double FaultSeconds = 5.0;
    constexpr std::array FaultBegins {2.0, 9.0, 16.0};
    constexpr double End = 22.0;
    static Runs runs;
    static std::atomic<int> answersOfFaulty {0};
    static std::atomic<int> spoilt {0};
    static std::mutex faultyMutex;
    static std::string faultyServer;
    const auto isFaulty = [](const std::string &server) {
        const std::lock_guard<std::mutex> lock(faultyMutex);
        return server == faultyServer;
    };
    const Handler model = [isFaulty](Server &server, Socket &socket, const Request &request) {
        runs.add(request.id(), server.id);
        // garble: one of six servers spoils one in twenty of its answers for 5 s.
        const bool faulty = isFaulty(server.id) && ++answersOfFaulty % 20 == 0;
        return stream(server, socket, request, 0.005, [&, faulty](int event) {
            if (faulty && event == 4) {
                ++spoilt;
                record.line("server %s spoils its answer to %s: bytes without end behind event 3",
                            server.id.c_str(), request.id().c_str());
                const std::string bytes = chunk(std::string(8000, 'z'));
                while (socket.send(bytes)) {
                }
                return false;
            }
            return true;
        });
    };
    const Handler application = [](Server &server, Socket &socket, const Request &request) {
        return server.answer(socket, request, std::string(800, 'b'));
    };
    Deployment &deployment = *new Deployment(model, 6, application, 3);
    deployment.waitReady();
    started = Clock::now();
    static LostByEntry lost {};
    static std::atomic<int> answered {0};
    std::vector<std::thread> threads;
    for (std::size_t entry = 0; entry < deployment.entries.size(); ++entry) {
        // The share of connections for each entry is uneven.
        for (int number = 0; number < (entry == 0 ? 45 : 3); ++number) {
            threads.emplace_back([&, entry, number] {
                streamRequester(deployment, entry, number, End, runs, [isFaulty](const std::string &server) {
                    return !isFaulty(server);
                }, lost, answered);
            });
        }
    }
    for (const double begin : FaultBegins) {
        sleepFor(begin - seconds());
        if (trouble) {
            // The server that has run the most requests of late.
            std::vector<int> before;
            for (const auto &server : deployment.servers) {
                before.push_back(server->runs);
            }
            sleepFor(0.5);
            std::size_t busiest = 0;
            for (std::size_t index = 0; index < 6; ++index) {
                if (deployment.servers[index]->runs - before[index]
                    > deployment.servers[busiest]->runs - before[busiest]) {
                    busiest = index;
                }
            }
            const std::lock_guard<std::mutex> lock(faultyMutex);
            faultyServer = deployment.servers[busiest]->id;
            record.line("from now on server %s spoils one in twenty of its answers", faultyServer.c_str());
        }
        sleepFor(begin + FaultSeconds - seconds());
        const std::lock_guard<std::mutex> lock(faultyMutex);
        faultyServer.clear();
        record.line("no server spoils answers");
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    int crashes = 0;
    for (const auto &entry : deployment.entries) {
        crashes += entry->ended() ? 1 : 0;
    }
    record.line("spoilt answers: %d; processes that ended: %d; streams answered: %d; LOST: %d, %d and %d connections closed "
                "without an answer by the entries though a sound server had the request (the rule allows 3)",
                spoilt.load(), crashes, answered.load(), lost[0].load(), lost[1].load(), lost[2].load());
    end(deployment, answered == 0 || crashes > 0 ? 2 : largest(lost) > 3 ? 1 : 0);
}

/// Resident memory of a process in MB.
double residentMb(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024 * 1024);
}

/// Rule LOST: events without end of few streams fill the memory of an entry, whose process the platform then kills.
[[noreturn]] void memory(bool trouble)
{
    constexpr double FaultBegin = 2.0;
    constexpr double FaultEnd = 7.0;
    constexpr double End = 10.0;
    constexpr double LimitMb = 260;
    // Requesters read 10 Mbit/s. Spoilt streams together stay below the 1,000 Mbit/s of the entry's link.
    constexpr double RequesterBytesPerSecond = 1.25e6;
    constexpr double SpoiltBytesPerSecond = 8e6;
    constexpr int MostSpoilt = 15;
    static std::atomic<int> answersOfFaulty {0};
    static std::atomic<int> spoilt {0};
    static std::atomic<int> open {0};
    static Runs runs;
    const Handler model = [trouble](Server &server, Socket &socket, const Request &request) {
        runs.add(request.id(), server.id);
        // garble: three of six servers spoil one in twenty of their answers for 5 s.
        const bool mayFail = server.id == "model-0" || server.id == "model-1" || server.id == "model-2";
        const bool faulty = trouble && mayFail && seconds() > FaultBegin && seconds() < FaultEnd
            && ++answersOfFaulty % 20 == 0 && open < MostSpoilt;
        return stream(server, socket, request, 0.006, [&, faulty](int event) {
            if (!faulty || event < 4) {
                return true;
            }
            ++spoilt;
            ++open;
            record.line("server %s spoils its answer to %s: events without end behind event 3",
                        server.id.c_str(), request.id().c_str());
            std::string events;
            for (int index = 0; index < 1000; ++index) {
                events += eventText(event);
            }
            const std::string bytes = chunk(events);
            const auto begin = Clock::now();
            double sent = 0;
            while (socket.send(bytes)) {
                sent += static_cast<double>(bytes.size());
                const double past = std::chrono::duration<double>(Clock::now() - begin).count();
                if (sent / SpoiltBytesPerSecond > past) {
                    sleepFor(sent / SpoiltBytesPerSecond - past);
                }
            }
            --open;
            record.line("server %s has sent %.1f MB to %s until its connection ended", server.id.c_str(), sent / 1e6,
                        request.id().c_str());
            return false;
        });
    };
    const Handler application = [](Server &server, Socket &socket, const Request &request) {
        return server.answer(socket, request, std::string(800, 'b'));
    };
    Deployment &deployment = *new Deployment(model, 6, application, 3);
    deployment.waitReady();
    started = Clock::now();
    static LostByEntry lost {};
    static std::atomic<int> answered {0};
    std::vector<std::thread> threads;
    for (std::size_t entry = 0; entry < deployment.entries.size(); ++entry) {
        // The share of connections for each entry is uneven.
        for (int number = 0; number < (entry == 0 ? 50 : 4); ++number) {
            threads.emplace_back([&, entry, number] {
                streamRequester(deployment, entry, number, End, runs,
                                [](const std::string &server) {
                                    return server == "model-3" || server == "model-4" || server == "model-5";
                                },
                                lost, answered, RequesterBytesPerSecond);
            });
        }
    }
    int killed = 0;
    int ended = 0;
    double most = 0;
    while (seconds() < End) {
        for (const auto &entry : deployment.entries) {
            const double resident = entry->pid > 0 ? residentMb(entry->pid) : 0;
            most = std::max(most, resident);
            if (resident > LimitMb) {
                ++killed;
                record.line("%s uses %.0f MB of %.0f MB", entry->name.c_str(), resident, LimitMb);
                entry->signal(SIGKILL, "SIGKILL, for its memory,");
            }
            if (entry->pid > 0 && entry->ended()) {
                ++ended;
                sleepFor(0.3);
                entry->restart();
            }
        }
        sleepFor(0.02);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    record.line("spoilt answers: %d; most memory of an entry: %.0f MB; killed for it: %d of %d that ended; streams answered: "
                "%d; LOST: %d, %d and %d connections closed without an answer by the entries though a sound server had the "
                "request (the rule allows 3)",
                spoilt.load(), most, killed, ended, answered.load(), lost[0].load(), lost[1].load(), lost[2].load());
    end(deployment, answered == 0 || ended != killed ? 2 : largest(lost) > 3 ? 1 : 0);
}

/// Rule MIXED: a late second answer without an id, which belongs to another request, becomes the answer to the next one.
[[noreturn]] void extra(bool trouble)
{
    constexpr double FaultBegin = 1.0;
    constexpr double FaultEnd = 6.0;
    constexpr double End = 7.0;
    static Runs runs;
    static Statuses statuses;
    static std::atomic<int> answersOfFaulty {0};
    static std::atomic<int> spoilt {0};
    const Handler model = [](Server &server, Socket &socket, const Request &request) {
        return stream(server, socket, request, 0.03);
    };
    // garble, "extra late": for 5 s, one of three servers sends one in 34 of its answers, a failure, a second time.
    // The second one lacks the id and arrives when the next answer of the connection is due.
    const Handler application = [trouble](Server &server, Socket &socket, const Request &request) {
        // Each connection is served by a thread of its own.
        static thread_local std::string behind;
        runs.add(request.id(), server.id);
        if (!behind.empty()) {
            record.line("server %s sends its answer to %s once more, without the id", server.id.c_str(), behind.c_str());
            behind.clear();
            ++spoilt;
            socket.send("HTTP/1.1 500 X\r\nIbismast-Response-Seal: seal." + server.id + "\r\nContent-Length: 6\r\n\r\nfailed");
        }
        sleepFor(0.015);
        if (trouble && server.id == "app-0" && seconds() > FaultBegin && seconds() < FaultEnd
            && ++answersOfFaulty % 34 == 0) {
            behind = request.id();
            statuses.set(request.id(), 500);
            record.line("server %s has run %s and answers it with 500 and its seal", server.id.c_str(), request.id().c_str());
            return socket.send(server.head(request, 500) + "Content-Length: 6\r\n\r\nfailed");
        }
        statuses.set(request.id(), 200);
        record.line("server %s has run %s and answers it with 200 and its seal", server.id.c_str(), request.id().c_str());
        return server.answer(socket, request, std::string(800, 'b'));
    };
    Deployment &deployment = *new Deployment(model, 3, application, 3);
    deployment.waitReady();
    started = Clock::now();
    static std::atomic<int> mixed {0};
    static std::atomic<int> answered {0};
    std::vector<std::thread> threads;
    for (std::size_t entry = 0; entry < deployment.entries.size(); ++entry) {
        for (int number = 0; number < 2; ++number) {
            threads.emplace_back([&, entry, number] {
                const auto socket = deployment.connect(entry);
                for (int count = 0; socket && seconds() < End; ++count) {
                    const std::string id =
                        "m" + std::to_string(entry) + "-" + std::to_string(number) + "-" + std::to_string(count);
                    socket->send(requestHead("POST", "/issue/" + id, id, 1500) + "Content-Length: 5\r\n\r\nsheet");
                    const Response response = readResponse(*socket, 2);
                    std::string seal = "none";
                    for (const auto &[key, value] : response.headers) {
                        seal = key == "ibismast-response-seal" ? value : seal;
                    }
                    sleepFor(0.05);
                    const bool wrong = seal != "none" && response.status != statuses.of(id);
                    mixed += wrong ? 1 : 0;
                    answered += response.status == 200 ? 1 : 0;
                    record.line("requester has the answer to %s: %d, seal %s%s", id.c_str(), response.status, seal.c_str(),
                                wrong ? "; MIXED: the answer belongs to another request; this one was run and answered with 200"
                                      : "");
                    if (!response.complete) {
                        return;
                    }
                }
            });
        }
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    record.line("spoilt answers: %d; requests answered with 200: %d; MIXED: %d answers that belong to another request",
                spoilt.load(), answered.load(), mixed.load());
    end(deployment, answered == 0 ? 2 : mixed > 0 ? 1 : 0);
}

/// Rule DRAIN: an entry goes on sending to a server whose answers say that it leaves.
[[noreturn]] void leaving(bool trouble)
{
    constexpr double Leave = 3.0;
    constexpr double DrainSeconds = 2.0;
    // The server goes on for drain_ms and some seconds, then exits; the store is away for 8 s.
    constexpr double Exit = Leave + DrainSeconds + 4.0;
    constexpr double StoreBack = Leave + 8.0;
    constexpr double End = 13.0;
    static Runs runs;
    static std::atomic<int> cutByExit {0};
    const Handler model = [](Server &server, Socket &socket, const Request &request) {
        return stream(server, socket, request, 0.03);
    };
    const Handler application = [](Server &server, Socket &socket, const Request &request) {
        runs.add(request.id(), server.id);
        sleepFor(0.06);
        if (server.gone) {
            ++cutByExit;
            record.line("server %s exits while it runs %s", server.id.c_str(), request.id().c_str());
            return false;
        }
        return server.answer(socket, request, std::string(800, 'b'));
    };
    Deployment &deployment = *new Deployment(model, 3, application, 3);
    deployment.waitReady();
    started = Clock::now();
    static std::atomic<int> answered {0};
    static std::atomic<int> late {0};
    static std::atomic<int> notAnswered {0};
    // When each entry first passed on an answer with Server-Leaving.
    static std::array<std::atomic<double>, 3> noticed {};
    std::vector<std::thread> threads;
    for (std::size_t entry = 0; entry < deployment.entries.size(); ++entry) {
        for (int number = 0; number < 6; ++number) {
            threads.emplace_back([&, entry, number] {
                std::unique_ptr<Socket> socket;
                for (int count = 0; seconds() < End; ++count) {
                    socket = socket ? std::move(socket) : deployment.connect(entry);
                    const std::string id =
                        "d" + std::to_string(entry) + "-" + std::to_string(number) + "-" + std::to_string(count);
                    const double sent = seconds();
                    const double notice = noticed[entry];
                    if (!socket
                        || !socket->send(requestHead("POST", "/issue/" + id, id, 1500) + "Content-Length: 5\r\n\r\nsheet")) {
                        socket.reset();
                        continue;
                    }
                    const Response response = readResponse(*socket, 2);
                    for (const auto &[key, value] : response.headers) {
                        double none = 0;
                        if (key == "server-leaving" && noticed[entry].compare_exchange_strong(none, seconds())) {
                            record.line("%s passes on an answer with Server-Leaving for the first time",
                                        deployment.entries[entry]->name.c_str());
                        }
                    }
                    const std::vector<std::string> servers = runs.of(id);
                    const bool toLeaving = std::find(servers.begin(), servers.end(), "app-0") != servers.end();
                    answered += response.status == 200 ? 1 : 0;
                    if (toLeaving && notice > 0 && sent > notice + DrainSeconds) {
                        ++late;
                        notAnswered += response.status == 200 ? 0 : 1;
                        record.line("DRAIN: %s, sent %.3f s after %s had passed on Server-Leaving, has reached app-0; its "
                                    "requester gets %d",
                                    id.c_str(), sent - notice, deployment.entries[entry]->name.c_str(), response.status);
                    }
                    if (!response.complete) {
                        socket.reset();
                    }
                    sleepFor(0.02);
                }
            });
        }
    }
    sleepFor(Leave - seconds());
    Server *server = nullptr;
    for (const auto &candidate : deployment.servers) {
        server = candidate->id == "app-0" ? candidate.get() : server;
    }
    server->leaving = true;
    deployment.report();
    if (trouble) {
        deployment.store->down = true;
    }
    record.line("server app-0 leaves: it reports draining, which the store accepts%s", trouble ? "; then the store is down" : "");
    sleepFor(Exit - seconds());
    record.line("server app-0 exits");
    server->exit();
    sleepFor(StoreBack - seconds());
    deployment.store->down = false;
    for (std::thread &thread : threads) {
        thread.join();
    }
    record.line("requests answered with 200: %d; DRAIN: %d requests have reached a server later than drain_ms after their "
                "entry had passed on its Server-Leaving; %d of them were run and cut by its exit",
                answered.load(), late.load(), notAnswered.load());
    end(deployment, answered == 0 ? 2 : late > 0 ? 1 : 0);
}

/// Rule UNASKED: a request inside the body of another one is run, and the other one is run without its body.
[[noreturn]] void smuggled(bool trouble)
{
    static Runs runs;
    static std::mutex mutex;
    static std::map<std::string, std::string> bodies;
    const Handler application = [](Server &server, Socket &socket, const Request &request) {
        runs.add(request.id(), server.id);
        {
            const std::lock_guard<std::mutex> lock(mutex);
            bodies[request.id()] = request.body;
        }
        return server.answer(socket, request, std::string(800, 'b'));
    };
    Deployment &deployment = *new Deployment(application, 3, application, 3);
    deployment.waitReady();
    started = Clock::now();
    int smuggledRuns = 0;
    int changedBodies = 0;
    int answered = 0;
    const std::vector<std::string> framings {"gzip", "identity", "gzip, deflate"};
    for (int count = 0; count < 12; ++count) {
        const std::size_t entry = static_cast<std::size_t>(count) % deployment.entries.size();
        const std::string id = "u" + std::to_string(count);
        // The body is a text that a requester quotes: a request for another certificate.
        const std::string inner = "inner" + std::to_string(count);
        const std::string body = requestHead("POST", "/issue/other", inner, 1500) + "Content-Length: 0\r\n\r\n";
        const std::string framing = trouble
            ? "Transfer-Encoding: " + framings[static_cast<std::size_t>(count) % framings.size()]
            : "Content-Length: " + std::to_string(body.size());
        const auto socket = deployment.connect(entry);
        if (!socket) {
            end(deployment, 2);
        }
        record.line("requester sends %s to %s: POST /issue/c%d with a body of %zu bytes, framed by '%s'; the body quotes a "
                    "request %s that nobody sends",
                    id.c_str(), deployment.entries[entry]->name.c_str(), count, body.size(), framing.c_str(), inner.c_str());
        socket->send(requestHead("POST", "/issue/c" + std::to_string(count), id, 1500) + framing + "\r\n\r\n" + body);
        const Response first = readResponse(*socket, 2);
        record.line("requester has the answer to %s: %d", id.c_str(), first.status);
        answered += first.status != 0 ? 1 : 0;
        const Response second = readResponse(*socket, 0.5);
        if (second.status != 0) {
            record.line("a second answer comes on the connection, which has no request waiting: %d", second.status);
        }
        sleepFor(0.1);
        const std::lock_guard<std::mutex> lock(mutex);
        if (!runs.of(inner).empty()) {
            ++smuggledRuns;
            record.line("UNASKED: server %s has run %s, which no requester sent", runs.of(inner).front().c_str(),
                        inner.c_str());
        }
        if (!runs.of(id).empty() && bodies[id] != body) {
            ++changedBodies;
            record.line("UNASKED: server %s has run %s with a body of %zu bytes instead of %zu",
                        runs.of(id).front().c_str(), id.c_str(), bodies[id].size(), body.size());
        }
    }
    record.line("requests sent: 12, answered: %d; UNASKED: %d requests run that were inside another one, %d run with "
                "another body",
                answered, smuggledRuns, changedBodies);
    end(deployment, answered == 0 ? 2 : smuggledRuns + changedBodies > 0 ? 1 : 0);
}

/// Rule LOST: an entry that is stopped ends while answers are still on their way to requesters.
[[noreturn]] void stop(bool trouble)
{
    constexpr std::size_t AnswerBytes = 7'000'000;
    constexpr double RequesterBytesPerSecond = 1e6;
    static Runs runs;
    const Handler model = [](Server &server, Socket &socket, const Request &request) {
        return stream(server, socket, request, 0.03);
    };
    const Handler application = [](Server &server, Socket &socket, const Request &request) {
        runs.add(request.id(), server.id);
        return server.answer(socket, request, std::string(AnswerBytes, 'c'));
    };
    Deployment &deployment = *new Deployment(model, 3, application, 3);
    deployment.waitReady();
    started = Clock::now();
    static std::atomic<int> lost {0};
    static std::atomic<int> answered {0};
    std::vector<std::thread> threads;
    for (std::size_t entry = 0; entry < deployment.entries.size(); ++entry) {
        for (int number = 0; number < 3; ++number) {
            threads.emplace_back([&, entry, number] {
                const std::string id = "e" + std::to_string(entry) + "-" + std::to_string(number);
                const auto socket = deployment.connect(entry, 65536);
                record.line("requester sends %s to %s", id.c_str(), deployment.entries[entry]->name.c_str());
                if (!socket || !socket->send(requestHead("POST", "/export/x", id, 15000) + "Content-Length: 0\r\n\r\n")) {
                    return;
                }
                const Response response = readResponse(*socket, 15, RequesterBytesPerSecond);
                if (response.complete) {
                    ++answered;
                    record.line("requester has the answer to %s: %d, %zu bytes, whole", id.c_str(), response.status,
                                response.body.size());
                    return;
                }
                ++lost;
                record.line("LOST: connection of %s, run by %s, ends after %zu of %zu bytes of its answer (%s)", id.c_str(),
                            runs.of(id).empty() ? "nobody" : runs.of(id).front().c_str(), response.body.size(), AnswerBytes,
                            response.end.c_str());
            });
        }
    }
    sleepFor(0.5);
    Entry &entry = *deployment.entries.front();
    if (trouble) {
        entry.signal(SIGTERM, "SIGTERM");
    }
    while (seconds() < 12) {
        if (entry.pid > 0 && entry.ended()) {
            sleepFor(0.3);
            entry.restart();
        }
        sleepFor(0.01);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    record.line("answers of %zu bytes, read at %.0f bytes a second: %d whole; LOST: %d cut", AnswerBytes,
                RequesterBytesPerSecond, answered.load(), lost.load());
    end(deployment, answered == 0 ? 2 : lost > 0 ? 1 : 0);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::fprintf(stderr, "usage: review-cases CASE RECORD\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    record.open(argv[2]);
    const std::map<std::string, void (*)(bool)> cases {
        {"trailer", trailer},
        {"overflow", overflow},
        {"memory", memory},
        {"extra", extra},
        {"leaving", leaving},
        {"smuggled", smuggled},
        {"stop", stop},
    };
    const auto found = cases.find(argv[1]);
    if (found == cases.end()) {
        return 2;
    }
    record.line("case %s, %s", argv[1], trouble() ? "with the disruption" : "without the disruption");
    found->second(trouble());
}
