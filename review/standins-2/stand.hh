#pragma once

// Stand-ins of the platform for the cases of the second review: the store, servers, clients, and the processes of the
// system. Everything listens on loopback addresses.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace stand
{

using Clock = std::chrono::steady_clock;

/// Seconds since the start of the program.
double seconds();
void sleepFor(double time);

/// Writes a line with the time to the record of the case.
void record(const std::string &line);
/// Opens the record; must be called first.
void openRecord(const std::string &path);
/// Ends the case with its outcome: 0 the rule held, 1 it was broken, 2 the case could not run.
[[noreturn]] void finish(int status, const std::string &reason);

struct Message
{
    /// First line, split at spaces.
    std::vector<std::string> first;
    /// Names in lower case.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string &name) const;
    int status() const;
};

/// Connection with buffered reads. Blocking, with a time limit for each read.
class Connection
{
public:
    explicit Connection(int socket) : m_socket(socket) { }
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Connects to @p ip:@p port; null if that fails. The kernel holds @p receiveBuffer bytes that are not read, as it
    /// likes if that is 0.
    static std::unique_ptr<Connection> open(const std::string &ip, int port, double limit = 1.0, int receiveBuffer = 0);

    bool write(const std::string &bytes);
    /// Reads one message. A body of a response without length ends with the connection.
    bool read(Message &message, double limit);
    /// Reads the head only.
    bool readHead(Message &message, double limit);
    /// Reads some bytes of what follows; empty at the end, with `broken` set if it was no orderly one.
    std::string readSome(double limit);
    bool broken = false;
    bool timedOut = false;
    /// True if the peer has closed.
    bool closedByPeer() const;
    /// Closes with a reset.
    void reset();
    int socket() const
    {
        return m_socket;
    }

private:
    bool fill(double limit);
    bool readLine(std::string &line, double limit);

    int m_socket;
    std::string m_buffer;
};

/// Accepts connections and serves each in a thread.
class Listener
{
public:
    using Handler = std::function<void(Connection &)>;
    /// Listens on a free port, or on @p port.
    Listener(std::string ip, Handler handler, int port = 0);
    ~Listener();
    int port() const
    {
        return m_port;
    }
    const std::string &ip() const
    {
        return m_ip;
    }
    std::string address() const
    {
        return m_ip + ":" + std::to_string(m_port);
    }
    /// Stops listening and resets all connections, as when the process is killed.
    void crash();

private:
    void accept();

    std::string m_ip;
    Handler m_handler;
    int m_socket = -1;
    int m_port = 0;
    std::atomic<bool> m_closed {false};
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::set<int> m_open;
    std::atomic<int> m_running {0};
};

/// Returns a free port of @p ip.
int freePort(const std::string &ip, bool datagrams = false);

/// The platform's store.
class Store
{
public:
    explicit Store(std::string ip = "127.0.0.2");
    std::string address() const
    {
        return m_listener->address();
    }
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    /// Number of pages of servers that were handed out, and of calls that were malformed.
    std::atomic<long> pages {0};
    std::atomic<long> malformed {0};

private:
    struct Item
    {
        std::string value;
        long revision = 0;
        long created = 0;
    };
    struct Event
    {
        std::string key;
        std::string value;
        long revision = 0;
        bool deleted = false;
    };
    void serve(Connection &connection);
    std::string range(const std::map<std::string, std::string> &query);
    std::string watch(const std::map<std::string, std::string> &query);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<Event> m_events;
    long m_revision = 100;
    std::unique_ptr<Listener> m_listener;
};

/// Request at a server.
struct ServerRequest
{
    Message message;
    Connection *connection;
    std::string attempt;
    std::string server;
};

/// Server that registers itself and reports to the store.
class Server
{
public:
    /// Answers a request. Returns false if the connection is to be closed.
    using Handler = std::function<bool(Server &, ServerRequest &)>;
    Server(Store &store, std::string id, std::string service, std::string zone, int slots, Handler handler);
    ~Server();
    const std::string &id() const
    {
        return m_id;
    }
    /// Crashes: all connections are reset, nothing is reported.
    void crash();
    /// Starts again under the same id and address.
    void restart();
    bool up() const
    {
        return m_up;
    }
    /// Head of an answer with the headers that every sound answer has.
    std::string head(const ServerRequest &request, int status, const std::string &more) const;

private:
    void listen(int port);
    void report(const std::string &state);
    void serve(Connection &connection);

    Store *m_store;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    int m_slots;
    Handler m_handler;
    std::string m_ip = "127.0.0.3";
    int m_port = 0;
    std::unique_ptr<Listener> m_listener;
    std::atomic<bool> m_up {false};
    std::atomic<bool> m_end {false};
    long m_seq = 0;
    long m_born = 0;
    std::mutex m_mutex;
    std::thread m_reporter;
};

/// Settings of the machines, as in the site file.
struct MachineSettings
{
    int memoryMb = 260;
    int descriptors = 4200;
    /// Further sections that the template gives on a site.
    std::string more;
};

/// One process of the system on a machine of its own, with a loopback address of its own.
class Machine
{
public:
    Machine(std::string name, std::string ip, std::string zone, const MachineSettings &settings);
    ~Machine();
    /// Writes the settings file and starts the process.
    void start(const Store &store, const std::vector<std::string> &seeds);
    void signal(int number) const;
    /// True while the process runs; records its end.
    bool running();
    bool ready() const;
    /// Resident memory in MB; 0 if the process has ended.
    double residentMb() const;
    const std::string &name() const
    {
        return m_name;
    }
    const std::string &ip() const
    {
        return m_ip;
    }
    int front() const
    {
        return m_front;
    }
    std::string seed() const
    {
        return m_ip + ":" + std::to_string(m_control);
    }
    static int peerPort;

private:
    std::string m_name;
    std::string m_ip;
    std::string m_zone;
    MachineSettings m_settings;
    int m_front = 0;
    int m_readyPort = 0;
    int m_control = 0;
    int m_metrics = 0;
    int m_pid = 0;
};

/// Folder for settings and logs, and the program of the deploy file; from the environment of `run.sh`.
std::string folder();
std::string program();
/// True unless TROUBLE=0.
bool trouble();

/// Waits until all machines say that they are ready; ends the case if they do not.
void awaitReady(const std::vector<std::unique_ptr<Machine>> &machines, double limit = 10.0);

/// New attempt id, as a client makes them.
std::string newAttempt();

/// Config of a small site with a service of plain servers, an `unsafe` and a `safe` route.
extern const char *const PlainConfig;
extern const char *const PlainService;

/// Records that a request has begun to run at a sound server.
void noteRun(const std::string &attempt, const std::string &server);
[[nodiscard]] bool hasRun(const std::string &attempt);

/// Requesters that send `unsafe` requests on kept connections, one after the other, and the servers' side of it.
class Load
{
public:
    /// Answers a request of these requesters at a server after its work.
    static bool serve(Server &server, ServerRequest &request);
    /// Begins with @p perMachine requesters at each machine.
    Load(const std::vector<std::unique_ptr<Machine>> &machines, int perMachine);
    ~Load();
    /// Ends the requesters and records what they have seen.
    void stop();
    long answered() const
    {
        return m_answered;
    }
    /// Requests from kept connections that have run at a sound server and whose connection was closed without an
    /// answer.
    long lost() const
    {
        return m_lost;
    }

private:
    void ask(const Machine &machine);

    std::atomic<bool> m_over {false};
    std::atomic<long> m_sent {0};
    std::atomic<long> m_answered {0};
    std::atomic<long> m_refused {0};
    std::atomic<long> m_lost {0};
    std::atomic<long> m_failed {0};
    std::atomic<long> m_notOpened {0};
    std::vector<std::thread> m_requesters;
};

/// Ends a case about memory: the rule LOST is broken if a process ended by itself (its memory counts) and more than
/// three requests from kept connections were lost.
/// @p moreLost is the number of such requests that others have lost.
[[noreturn]] void finishMemoryCase(Load &load, int ended, double mostMb, long moreLost = 0);

} // namespace stand
