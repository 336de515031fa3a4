// Stand-ins of the platform for the cases 11 to 15: store, servers, clients and the start of entries, on loopback
// addresses and the real clock. One header, POSIX sockets and threads only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig
{

using Clock = std::chrono::steady_clock;

constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitCouldNotRun = 2;

inline const Clock::time_point StartTime = Clock::now();

/// Milliseconds since the start of the script.
inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - StartTime).count();
}

inline void sleepMs(std::int64_t milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

// ---- record.txt -----------------------------------------------------------------------------------------------------

class Record
{
public:
    static Record &get()
    {
        static Record record;
        return record;
    }
    void open(const std::string &path)
    {
        m_file = std::fopen(path.c_str(), "w");
    }
    void line(const char *format, ...)
    {
        const std::lock_guard lock(m_mutex);
        if (m_file == nullptr) {
            return;
        }
        std::fprintf(m_file, "%8.3f ", static_cast<double>(nowMs()) / 1000.0);
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    std::FILE *m_file = nullptr;
};

#define RECORD(...) rig::Record::get().line(__VA_ARGS__)

// ---- sockets --------------------------------------------------------------------------------------------------------

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// Returns a port that is free for TCP and UDP on @p ip at this moment.
inline int freePort(const std::string &ip)
{
    for (int attempt = 0; attempt < 100; ++attempt) {
        const int tcp = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = addressOf(ip, 0);
        socklen_t size = sizeof(address);
        int port = 0;
        if (::bind(tcp, reinterpret_cast<sockaddr *>(&address), size) == 0
            && ::getsockname(tcp, reinterpret_cast<sockaddr *>(&address), &size) == 0) {
            port = ntohs(address.sin_port);
        }
        const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        const bool free = port != 0 && ::bind(udp, reinterpret_cast<sockaddr *>(&address), size) == 0;
        ::close(udp);
        ::close(tcp);
        if (free) {
            return port;
        }
    }
    return 0;
}

inline int listenOn(const std::string &ip, int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const sockaddr_in address = addressOf(ip, port);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || ::listen(fd, 1024) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

/// Opens a connection; -1 if that fails or takes longer than a second.
inline int connectTo(const std::string &ip, int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    timeval limit {1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    const sockaddr_in address = addressOf(ip, port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(fd);
        return -1;
    }
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    return fd;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

/// Waits until @p fd can be read or @p deadlineMs has passed.
inline bool waitReadable(int fd, std::int64_t deadlineMs)
{
    for (;;) {
        const std::int64_t left = deadlineMs - nowMs();
        if (left < 0) {
            return false;
        }
        pollfd entry {fd, POLLIN, 0};
        const int result = ::poll(&entry, 1, static_cast<int>(std::min<std::int64_t>(left, 1000)));
        if (result > 0) {
            return true;
        }
        if (result < 0 && errno != EINTR) {
            return false;
        }
    }
}

// ---- HTTP -----------------------------------------------------------------------------------------------------------

inline std::string lower(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}

struct Message
{
    std::string firstLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// True if the message has been received as a whole.
    bool complete = false;

    [[nodiscard]] std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (lower(key) == lower(name)) {
                return value;
            }
        }
        return {};
    }
    [[nodiscard]] int status() const
    {
        const std::size_t space = firstLine.find(' ');
        return space == std::string::npos ? 0 : std::atoi(firstLine.c_str() + space + 1);
    }
    [[nodiscard]] std::string method() const
    {
        return firstLine.substr(0, firstLine.find(' '));
    }
    [[nodiscard]] std::string target() const
    {
        const std::size_t first = firstLine.find(' ');
        return firstLine.substr(first + 1, firstLine.rfind(' ') - first - 1);
    }
};

/// Reads messages of one connection.
class Reader
{
public:
    explicit Reader(int fd) : m_fd(fd) { }

    /// Reads one message until @p deadlineMs. Whatever has arrived is returned; see `Message::complete`. @p ended tells
    /// whether the peer has closed the connection, in order or by a reset.
    Message read(std::int64_t deadlineMs, bool &ended, bool isResponse)
    {
        Message message;
        ended = false;
        std::size_t headEnd = 0;
        while ((headEnd = m_bytes.find("\r\n\r\n")) == std::string::npos) {
            if (!more(deadlineMs, ended)) {
                return message;
            }
        }
        std::istringstream head(m_bytes.substr(0, headEnd));
        m_bytes.erase(0, headEnd + 4);
        std::string line;
        std::getline(head, line);
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        message.firstLine = line;
        while (std::getline(head, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            const std::size_t start = line.find_first_not_of(' ', colon + 1);
            message.headers.emplace_back(line.substr(0, colon),
                                         start == std::string::npos ? std::string() : line.substr(start));
        }
        if (lower(message.header("Transfer-Encoding")) == "chunked") {
            message.complete = readChunks(message, deadlineMs, ended);
            return message;
        }
        const std::string length = message.header("Content-Length");
        if (length.empty() && isResponse) {
            while (more(deadlineMs, ended)) { }
            message.body = std::exchange(m_bytes, {});
            message.complete = ended && !m_reset;
            return message;
        }
        const auto size = static_cast<std::size_t>(std::atoll(length.c_str()));
        while (m_bytes.size() < size) {
            if (!more(deadlineMs, ended)) {
                message.body = m_bytes;
                return message;
            }
        }
        message.body = m_bytes.substr(0, size);
        m_bytes.erase(0, size);
        message.complete = true;
        return message;
    }

private:
    bool more(std::int64_t deadlineMs, bool &ended)
    {
        if (!waitReadable(m_fd, deadlineMs)) {
            return false;
        }
        char buffer[16384];
        const ssize_t size = ::recv(m_fd, buffer, sizeof(buffer), 0);
        if (size <= 0) {
            ended = true;
            m_reset = size < 0;
            return false;
        }
        m_bytes.append(buffer, static_cast<std::size_t>(size));
        return true;
    }
    bool readChunks(Message &message, std::int64_t deadlineMs, bool &ended)
    {
        for (;;) {
            std::size_t lineEnd = 0;
            while ((lineEnd = m_bytes.find("\r\n")) == std::string::npos) {
                if (!more(deadlineMs, ended)) {
                    return false;
                }
            }
            const std::size_t size = std::strtoul(m_bytes.c_str(), nullptr, 16);
            while (m_bytes.size() < lineEnd + 2 + size + 2) {
                if (!more(deadlineMs, ended)) {
                    return false;
                }
            }
            message.body += m_bytes.substr(lineEnd + 2, size);
            m_bytes.erase(0, lineEnd + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }

    int m_fd;
    std::string m_bytes;
    bool m_reset = false;
};

/// Accepts connections on one address and handles each in a thread of its own, until the end of the program.
class Listener
{
public:
    using Handler = std::function<void(int fd)>;

    bool start(const std::string &ip, int port, Handler handler)
    {
        m_fd = listenOn(ip, port);
        if (m_fd < 0) {
            return false;
        }
        std::thread([fd = m_fd, handler = std::move(handler)] {
            for (;;) {
                const int connection = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (connection < 0) {
                    if (errno == EINTR || errno == EMFILE || errno == ECONNABORTED) {
                        sleepMs(5);
                        continue;
                    }
                    return;
                }
                const int one = 1;
                ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
                std::thread([connection, handler] {
                    handler(connection);
                    ::close(connection);
                }).detach();
            }
        }).detach();
        return true;
    }

private:
    int m_fd = -1;
};

// ---- the platform's store -------------------------------------------------------------------------------------------

inline std::string base64(const std::string &bytes)
{
    constexpr char Alphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        std::uint32_t group = 0;
        const std::size_t size = std::min<std::size_t>(3, bytes.size() - index);
        for (std::size_t offset = 0; offset < 3; ++offset) {
            group = (group << 8U) | (offset < size ? static_cast<unsigned char>(bytes[index + offset]) : 0U);
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            text += digit <= size ? Alphabet[(group >> (18U - 6U * digit)) & 63U] : '=';
        }
    }
    return text;
}

/// Store of the platform: keys with revisions, ranges and watches, as PROTOCOL.md tells them.
class Store
{
public:
    std::string ip = "127.0.0.1";
    int port = 0;

    bool start()
    {
        port = freePort(ip);
        return m_listener.start(ip, port, [this](int fd) {
            serve(fd);
        });
    }
    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        Item &item = m_items[key];
        item.value = value;
        item.revision = ++m_revision;
        item.created = item.created == 0 ? m_revision : item.created;
        m_changed.notify_all();
    }
    void remove(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        m_items.erase(key);
        m_deleted[key] = ++m_revision;
        m_changed.notify_all();
    }

private:
    struct Item
    {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
    };

    static std::string itemText(const std::string &key, const Item &item)
    {
        return "{\"key\":\"" + key + "\",\"value\":\"" + base64(item.value) + "\",\"revision\":"
            + std::to_string(item.revision) + ",\"created_rev\":" + std::to_string(item.created) + ",\"lease\":0";
    }
    static std::map<std::string, std::string> queryOf(const std::string &target)
    {
        std::map<std::string, std::string> result;
        std::istringstream query(target.substr(std::min(target.size(), target.find('?') + 1)));
        std::string part;
        while (std::getline(query, part, '&')) {
            const std::size_t equals = part.find('=');
            result[part.substr(0, equals)] = equals == std::string::npos ? "" : part.substr(equals + 1);
        }
        return result;
    }
    void serve(int fd)
    {
        Reader reader(fd);
        for (;;) {
            bool ended = false;
            const Message request = reader.read(nowMs() + 120000, ended, false);
            if (!request.complete) {
                return;
            }
            const std::string target = request.target();
            auto query = queryOf(target);
            int status = 200;
            std::string body;
            std::unique_lock lock(m_mutex);
            if (target.starts_with("/api/kv-key")) {
                const auto found = m_items.find(query["key"]);
                status = found == m_items.end() ? 404 : 200;
                body = status == 404
                    ? "{\"as_of\":" + std::to_string(m_revision) + "}"
                    : itemText(found->first, found->second) + ",\"as_of\":" + std::to_string(m_revision) + "}";
            } else if (target.starts_with("/api/kv-range")) {
                std::string entries;
                for (const auto &[key, item] : m_items) {
                    if (key.starts_with(query["path_prefix"])) {
                        entries += (entries.empty() ? "" : ",") + itemText(key, item) + "}";
                    }
                }
                body =
                    "{\"entries\":[" + entries + "],\"more_pages\":false,\"as_of\":" + std::to_string(m_revision) + "}";
            } else if (target.starts_with("/api/kv-watch")) {
                const std::int64_t after = std::atoll(query["after"].c_str());
                const auto events = [&] {
                    std::string result;
                    for (const auto &[key, item] : m_items) {
                        if (item.revision > after && key.starts_with(query["path_prefix"])) {
                            result += (result.empty() ? "" : ",") + itemText(key, item) + "}";
                        }
                    }
                    return result;
                };
                m_changed.wait_for(lock, std::chrono::milliseconds(std::atoll(query["wait_ms"].c_str())), [&] {
                    return !events().empty();
                });
                body = "{\"events\":[" + events() + "],\"as_of\":" + std::to_string(m_revision) + "}";
            } else {
                status = 404;
                body = "{}";
            }
            lock.unlock();
            if (!sendAll(fd,
                         "HTTP/1.1 " + std::to_string(status)
                             + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
                             + "\r\n\r\n" + body)) {
                return;
            }
        }
    }

    Listener m_listener;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::map<std::string, std::int64_t> m_deleted;
    std::int64_t m_revision = 100;
};

// ---- entries (the program under test) -------------------------------------------------------------------------------

inline std::vector<pid_t> &children()
{
    static std::vector<pid_t> pids;
    return pids;
}

inline void killChildren()
{
    for (const pid_t pid : children()) {
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
    }
    children().clear();
}

/// One entry: `run` of deploy/system.toml with settings as platform/entry.ini.template has them.
class Entry
{
public:
    std::string ip;
    std::string name;
    std::string zone = "zone-a";
    int front = 0;
    int ready = 0;
    int control = 0;
    int peers = 0;
    int memoryMb = 260;
    pid_t pid = -1;

    bool start(const Store &store, const std::string &folder, const std::string &seeds)
    {
        const std::string path = folder + "/" + name + ".ini";
        std::FILE *file = std::fopen(path.c_str(), "w");
        if (file == nullptr) {
            return false;
        }
        std::fprintf(file,
                     "[instance]\nid = %s\ndomain = %s\n[http]\nlisten = %s:%d\nready = %s:%d\n[peers]\n"
                     "copy_listen = %s:%d\nports = %d,%d\nseeds = %s\n[store]\naddress = %s:%d\n"
                     "[retry]\nratio = 0.2\nslack = 100\n[stop]\ngrace_s = 8\n[engines]\n"
                     "max_idle_reservation_ms = 9000\n[waiting]\nenabled = 1\n[limits]\ndescriptors = 4200\n"
                     "memory_mb = %d\n",
                     name.c_str(),
                     zone.c_str(),
                     ip.c_str(),
                     front,
                     ip.c_str(),
                     ready,
                     ip.c_str(),
                     control,
                     peers,
                     peers,
                     seeds.c_str(),
                     store.ip.c_str(),
                     store.port,
                     memoryMb);
        std::fclose(file);
        const std::string log = folder + "/" + name + ".log";
        pid = ::fork();
        if (pid == 0) {
            // The process ends with this program, whatever ends that.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::setenv("IBISMAST_CONFIG", path.c_str(), 1);
            ::execl("target/bin/ibismast-relay", "target/bin/ibismast-relay", static_cast<char *>(nullptr));
            ::_exit(127);
        }
        if (pid > 0) {
            children().push_back(pid);
        }
        return pid > 0;
    }
    /// Asks the ready page as the platform does. Returns the status, 0 without an answer within @p timeMs.
    [[nodiscard]] int askReady(std::int64_t timeMs) const
    {
        const std::int64_t deadline = nowMs() + timeMs;
        const int fd = connectTo(ip, ready);
        if (fd < 0) {
            return 0;
        }
        int status = 0;
        if (sendAll(fd, "GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")) {
            bool ended = false;
            Reader reader(fd);
            status = reader.read(deadline, ended, true).status();
        }
        ::close(fd);
        return status;
    }
    [[nodiscard]] bool waitUntilReady(std::int64_t timeMs) const
    {
        for (const std::int64_t end = nowMs() + timeMs; nowMs() < end; sleepMs(50)) {
            if (askReady(500) == 200) {
                return true;
            }
        }
        return false;
    }
    /// Memory of the process that belongs to it alone, in MiB; 0 if it is gone.
    [[nodiscard]] std::int64_t privateMemoryMb() const
    {
        std::FILE *file = std::fopen(("/proc/" + std::to_string(pid) + "/status").c_str(), "r");
        if (file == nullptr) {
            return 0;
        }
        char line[256];
        long kilobytes = 0;
        while (std::fgets(line, sizeof(line), file) != nullptr) {
            if (std::sscanf(line, "RssAnon: %ld kB", &kilobytes) == 1) {
                break;
            }
        }
        std::fclose(file);
        return kilobytes / 1024;
    }
    /// True if the process has ended.
    [[nodiscard]] bool hasEnded() const
    {
        siginfo_t info {};
        return ::waitid(P_PID, static_cast<id_t>(pid), &info, WEXITED | WNOHANG | WNOWAIT) != 0 || info.si_pid == pid;
    }
};

/// Plain server: answers each request after @p workMs, and records what it runs.
class PlainServer
{
public:
    std::string id;
    std::string ip = "127.0.0.1";
    std::string zone = "zone-a";
    std::string service = "registry-app";
    int port = 0;
    std::int64_t workMs = 15;
    std::atomic<std::int64_t> ran {0};
    std::atomic<bool> verbose {true};

    bool start()
    {
        port = freePort(ip);
        return m_listener.start(ip, port, [this](int fd) {
            serve(fd);
        });
    }
    /// True if the server has begun to run the request with @p number; see `requestHead`.
    bool hasRun(std::uint64_t number)
    {
        const std::lock_guard lock(m_mutex);
        return m_run.contains(number);
    }
    /// Writes the server's entry, as the server does at each heartbeat.
    void beat(Store &store, const std::string &state = "ready")
    {
        store.put("servers/" + id,
                  "{\"backend\":\"" + service + "\",\"address\":\"" + ip + ":" + std::to_string(port) + "\",\"zone\":\""
                      + zone + "\",\"version\":1,\"slots\":6,\"state\":\"" + state
                      + "\",\"cold_remaining_ms\":0,\"seq\":" + std::to_string(++m_seq) + ",\"born\":1700000000000}");
    }

private:
    void serve(int fd)
    {
        Reader reader(fd);
        for (;;) {
            bool ended = false;
            const Message request = reader.read(nowMs() + 120000, ended, false);
            if (!request.complete) {
                return;
            }
            const std::string attempt = request.header("Ibismast-Attempt-Id");
            ++ran;
            {
                const std::lock_guard lock(m_mutex);
                m_run.insert(std::strtoull(attempt.c_str(), nullptr, 16));
            }
            if (verbose) {
                RECORD("%s runs %s %s", id.c_str(), attempt.c_str(), request.target().substr(0, 40).c_str());
            }
            sleepMs(workMs);
            const std::string body = "answer to " + attempt;
            if (!sendAll(fd,
                         "HTTP/1.1 200 OK\r\nIbismast-Attempt-Id: " + attempt + "\r\nIbismast-Response-Seal: seal-"
                             + attempt + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)) {
                return;
            }
        }
    }

    Listener m_listener;
    std::mutex m_mutex;
    std::set<std::uint64_t> m_run;
    std::int64_t m_seq = 0;
};

/// Configuration of a small deployment: one safe and one unsafe route to the plain service `registry-app`.
inline std::string smallConfig(int version,
                               const std::string &moreRoutes = "",
                               const std::string &moreServices = "",
                               const std::string &tenants = "")
{
    return "{\"version\":" + std::to_string(version)
        + ",\"routes\":[{\"name\":\"lookup\",\"host\":\"desk.example\",\"path_prefix\":\"/lookup/\",\"kind\":\"safe\","
          "\"timeout_ms\":1500,\"slo_ms\":100,\"priority\":2,\"backend\":\"registry-app\",\"max_attempts\":2,"
          "\"public\":true},{\"name\":\"issue\",\"host\":\"desk.example\",\"path_prefix\":\"/issue/\",\"kind\":"
          "\"unsafe\",\"timeout_ms\":1500,\"slo_ms\":100,\"priority\":2,\"backend\":\"registry-app\","
          "\"max_attempts\":2,\"public\":true}"
        + moreRoutes
        + "],\"services\":[{\"name\":\"registry-app\",\"health_path\":\"/health\",\"max_conns\":96,\"protocol\":\"h1\","
          "\"tls\":false}"
        + moreServices
        + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
          "\"idle_timeout_ms\":15000},\"tenants\":["
        + tenants + "]}";
}

/// Outcome of a client's request.
struct Outcome
{
    /// 0 if no answer came.
    int status = 0;
    bool complete = false;
    bool closed = false;
    std::int64_t sentMs = 0;
    std::int64_t endMs = 0;
    std::string body;
};

/// Sends one request on @p fd and waits for its answer until @p waitMs have passed.
inline Outcome ask(int fd, const std::string &request, std::int64_t waitMs)
{
    Outcome outcome;
    outcome.sentMs = nowMs();
    if (fd >= 0 && sendAll(fd, request)) {
        Reader reader(fd);
        const Message answer = reader.read(outcome.sentMs + waitMs, outcome.closed, true);
        outcome.status = answer.status();
        outcome.complete = answer.complete;
        outcome.body = answer.body;
    }
    outcome.endMs = nowMs();
    return outcome;
}

/// Head of a client's request up to its own headers; the caller adds further lines and the empty one.
inline std::string requestHead(const std::string &method, const std::string &path, std::uint64_t number, int timeMs)
{
    char id[17];
    std::snprintf(id, sizeof(id), "%016llx", static_cast<unsigned long long>(number));
    return method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nIbismast-Attempt-Id: " + id
        + "\r\nIbismast-Deadline-Ms: " + std::to_string(timeMs) + "\r\n";
}

/// Prepares the run: record, temporary folder and limits. Returns the temporary folder.
inline std::string prepare(const std::string &recordPath)
{
    ::signal(SIGPIPE, SIG_IGN);
    Record::get().open(recordPath);
    std::string folder = (std::filesystem::temp_directory_path() / "ibismast-review-XXXXXX").string();
    if (::mkdtemp(folder.data()) == nullptr) {
        std::exit(ExitCouldNotRun);
    }
    rlimit files {};
    ::getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = std::min<rlim_t>(files.rlim_max, 8192);
    ::setrlimit(RLIMIT_NOFILE, &files);
    return folder;
}

inline bool troubled()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// Ends the run: all processes that were started, the temporary folder, the program.
[[noreturn]] inline void finish(int status, const std::string &folder)
{
    RECORD("exit status %d", status);
    killChildren();
    if (std::getenv("KEEP") == nullptr) {
        [[maybe_unused]] const int ignored = std::system(("rm -rf " + folder).c_str());
    }
    std::_Exit(status);
}

} // namespace rig
