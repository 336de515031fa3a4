#include "stand.hh"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <random>
#include <sstream>

namespace stand
{

namespace
{

const Clock::time_point StartTime = Clock::now();
std::mutex recordMutex;
std::FILE *recordFile = nullptr;
std::mutex processesMutex;
std::set<int> processes;

std::string lower(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    return text;
}

sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

std::string base64(const std::string &bytes)
{
    static const char *const Alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    text.reserve(bytes.size() * 4 / 3 + 4);
    for (std::size_t start = 0; start < bytes.size(); start += 3) {
        std::uint32_t group = 0;
        const std::size_t size = std::min<std::size_t>(3, bytes.size() - start);
        for (std::size_t index = 0; index < 3; ++index) {
            group = group << 8U | (index < size ? static_cast<unsigned char>(bytes[start + index]) : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            text += index <= size ? Alphabet[group >> (18U - 6U * index) & 63U] : '=';
        }
    }
    return text;
}

std::string decoded(const std::string &text)
{
    std::string result;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            result += static_cast<char>(std::strtol(text.substr(index + 1, 2).c_str(), nullptr, 16));
            index += 2;
        } else {
            result += text[index];
        }
    }
    return result;
}

std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    const std::size_t mark = target.find('?');
    if (mark == std::string::npos) {
        return query;
    }
    std::istringstream parts(target.substr(mark + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
        const std::size_t equals = part.find('=');
        query[decoded(part.substr(0, equals))] = equals == std::string::npos ? "" : decoded(part.substr(equals + 1));
    }
    return query;
}

std::string jsonText(const std::string &text)
{
    std::string result = "\"";
    for (const char letter : text) {
        if (letter == '"' || letter == '\\') {
            result += '\\';
        }
        result += letter;
    }
    return result + "\"";
}

std::string answer(int status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Error")
        + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

double seconds()
{
    return std::chrono::duration<double>(Clock::now() - StartTime).count();
}

void sleepFor(double time)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(time));
}

void openRecord(const std::string &path)
{
    recordFile = std::fopen(path.c_str(), "w");
    if (recordFile == nullptr) {
        std::exit(2);
    }
    std::signal(SIGPIPE, SIG_IGN);
}

void record(const std::string &line)
{
    const std::lock_guard lock(recordMutex);
    std::fprintf(recordFile, "%8.3f s  %s\n", seconds(), line.c_str());
    std::fflush(recordFile);
}

void finish(int status, const std::string &reason)
{
    record((status == 0 ? "HELD: " : status == 1 ? "BROKEN: " : "COULD NOT RUN: ") + reason);
    std::printf("%s\n", reason.c_str());
    std::fflush(stdout);
    {
        const std::lock_guard lock(processesMutex);
        for (const int process : processes) {
            ::kill(process, SIGKILL);
            ::waitpid(process, nullptr, 0);
        }
    }
    ::_exit(status);
}

std::string Message::header(const std::string &name) const
{
    for (const auto &[key, value] : headers) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

int Message::status() const
{
    return first.size() > 1 ? std::atoi(first[1].c_str()) : 0;
}

Connection::~Connection()
{
    if (m_socket >= 0) {
        ::close(m_socket);
    }
}

std::unique_ptr<Connection> Connection::open(const std::string &ip, int port, double limit, int receiveBuffer)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (socket < 0) {
        return nullptr;
    }
    if (receiveBuffer > 0) {
        ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    }
    ::fcntl(socket, F_SETFL, O_NONBLOCK);
    const sockaddr_in address = addressOf(ip, port);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        pollfd wait {socket, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof(error);
        if (errno != EINPROGRESS || ::poll(&wait, 1, static_cast<int>(limit * 1000.0)) <= 0
            || ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            ::close(socket);
            return nullptr;
        }
    }
    ::fcntl(socket, F_SETFL, 0);
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return std::make_unique<Connection>(socket);
}

bool Connection::write(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

bool Connection::fill(double limit)
{
    pollfd wait {m_socket, POLLIN, 0};
    timedOut = ::poll(&wait, 1, static_cast<int>(limit * 1000.0)) <= 0;
    if (timedOut) {
        return false;
    }
    char bytes[65536];
    const ssize_t size = ::recv(m_socket, bytes, sizeof(bytes), 0);
    if (size <= 0) {
        broken = size < 0;
        return false;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(size));
    return true;
}

bool Connection::readLine(std::string &line, double limit)
{
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n")) == std::string::npos) {
        if (!fill(limit)) {
            return false;
        }
    }
    line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return true;
}

bool Connection::readHead(Message &message, double limit)
{
    message = {};
    std::string line;
    if (!readLine(line, limit)) {
        return false;
    }
    std::istringstream words(line);
    for (std::string word; std::getline(words, word, ' ');) {
        message.first.push_back(word);
    }
    while (readLine(line, limit) && !line.empty()) {
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) {
            return false;
        }
        const std::size_t start = line.find_first_not_of(' ', colon + 1);
        message.headers.emplace_back(lower(line.substr(0, colon)),
                                     start == std::string::npos ? "" : line.substr(start));
    }
    return line.empty();
}

bool Connection::read(Message &message, double limit)
{
    if (!readHead(message, limit)) {
        return false;
    }
    if (lower(message.header("transfer-encoding")) == "chunked") {
        for (;;) {
            std::string line;
            if (!readLine(line, limit)) {
                return false;
            }
            const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
            while (m_buffer.size() < size + 2) {
                if (!fill(limit)) {
                    return false;
                }
            }
            message.body.append(m_buffer, 0, size);
            m_buffer.erase(0, size + 2);
            if (size == 0) {
                return true;
            }
        }
    }
    const std::size_t size = std::strtoul(message.header("content-length").c_str(), nullptr, 10);
    while (m_buffer.size() < size) {
        if (!fill(limit)) {
            return false;
        }
    }
    message.body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return true;
}

std::string Connection::readSome(double limit)
{
    if (m_buffer.empty() && !fill(limit)) {
        return {};
    }
    return std::exchange(m_buffer, std::string());
}

bool Connection::closedByPeer() const
{
    char next = 0;
    const ssize_t size = ::recv(m_socket, &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::reset()
{
    const linger abort {1, 0};
    ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    ::close(std::exchange(m_socket, -1));
}

Listener::Listener(std::string ip, Handler handler, int port) : m_ip(std::move(ip)), m_handler(std::move(handler))
{
    m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = addressOf(m_ip, port);
    socklen_t size = sizeof(address);
    if (::bind(m_socket, reinterpret_cast<sockaddr *>(&address), size) != 0 || ::listen(m_socket, 4096) != 0) {
        finish(2, "cannot listen on " + m_ip);
    }
    ::getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_acceptor = std::thread([this] {
        accept();
    });
}

Listener::~Listener()
{
    crash();
}

void Listener::accept()
{
    while (!m_closed) {
        pollfd wait {m_socket, POLLIN, 0};
        if (::poll(&wait, 1, 50) <= 0) {
            continue;
        }
        const int socket = ::accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            continue;
        }
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        {
            const std::lock_guard lock(m_mutex);
            m_open.insert(socket);
        }
        ++m_running;
        std::thread([this, socket] {
            Connection connection(socket);
            m_handler(connection);
            {
                const std::lock_guard lock(m_mutex);
                m_open.erase(socket);
                if (connection.socket() >= 0 && m_closed) {
                    connection.reset();
                }
            }
            --m_running;
        }).detach();
    }
}

void Listener::crash()
{
    if (m_closed.exchange(true)) {
        return;
    }
    m_acceptor.join();
    ::close(m_socket);
    {
        const std::lock_guard lock(m_mutex);
        // Disconnecting a socket resets its connection at once, also while its thread is at work.
        sockaddr none {};
        none.sa_family = AF_UNSPEC;
        for (const int socket : m_open) {
            ::connect(socket, &none, sizeof(none));
        }
    }
    while (m_running > 0) {
        sleepFor(0.002);
    }
}

int freePort(const std::string &ip, bool datagrams)
{
    const int socket = ::socket(AF_INET, (datagrams ? SOCK_DGRAM : SOCK_STREAM) | SOCK_CLOEXEC, 0);
    sockaddr_in address = addressOf(ip, 0);
    socklen_t size = sizeof(address);
    if (::bind(socket, reinterpret_cast<sockaddr *>(&address), size) != 0) {
        finish(2, "no free port on " + ip);
    }
    ::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
    ::close(socket);
    return ntohs(address.sin_port);
}

Store::Store(std::string ip)
{
    m_listener = std::make_unique<Listener>(std::move(ip), [this](Connection &connection) {
        serve(connection);
    });
}

void Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    ++m_revision;
    Item &item = m_items[key];
    item.created = item.created == 0 ? m_revision : item.created;
    item.value = base64(value);
    item.revision = m_revision;
    // Only the operators' records are watched.
    if (key.starts_with("op/")) {
        m_events.push_back({key, item.value, m_revision, false});
    }
    m_changed.notify_all();
}

void Store::remove(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    if (m_items.erase(key) > 0) {
        ++m_revision;
        m_changed.notify_all();
    }
}

std::string Store::range(const std::map<std::string, std::string> &query)
{
    constexpr std::size_t MaxEntries = 500;
    constexpr std::size_t MaxBytes = 1'000'000;
    const auto prefix = query.find("path_prefix");
    const auto after = query.find("after");
    if (prefix == query.end()) {
        return answer(400, "{}");
    }
    const std::lock_guard lock(m_mutex);
    std::string entries;
    std::size_t count = 0;
    bool more = false;
    for (auto item = after == query.end() ? m_items.lower_bound(prefix->second) : m_items.upper_bound(after->second);
         item != m_items.end() && item->first.starts_with(prefix->second);
         ++item) {
        if (count == MaxEntries || (count > 0 && entries.size() + item->second.value.size() > MaxBytes)) {
            more = true;
            break;
        }
        entries += (count == 0 ? "" : ",") + std::string("{\"key\":") + jsonText(item->first) + ",\"value\":\""
            + item->second.value + "\",\"revision\":" + std::to_string(item->second.revision)
            + ",\"created_rev\":" + std::to_string(item->second.created) + ",\"lease\":0}";
        ++count;
    }
    if (prefix->second == "servers/") {
        ++pages;
    }
    return answer(200,
                  "{\"entries\":[" + entries + "],\"more_pages\":" + (more ? "true" : "false")
                      + ",\"as_of\":" + std::to_string(m_revision) + "}");
}

std::string Store::watch(const std::map<std::string, std::string> &query)
{
    if (!query.contains("path_prefix") || !query.contains("after") || !query.contains("wait_ms")) {
        return answer(400, "{}");
    }
    const std::string &prefix = query.at("path_prefix");
    const long after = std::atol(query.at("after").c_str());
    std::unique_lock lock(m_mutex);
    const auto end = Clock::now() + std::chrono::milliseconds(std::atol(query.at("wait_ms").c_str()));
    for (;;) {
        std::string events;
        for (const Event &event : m_events) {
            if (event.revision > after && event.key.starts_with(prefix)) {
                events += (events.empty() ? "" : ",") + std::string("{\"key\":") + jsonText(event.key) + ",\"value\":\""
                    + event.value + "\",\"revision\":" + std::to_string(event.revision)
                    + ",\"created_rev\":" + std::to_string(event.revision) + ",\"lease\":0}";
            }
        }
        if (!events.empty() || m_changed.wait_until(lock, end) == std::cv_status::timeout) {
            return answer(200, "{\"events\":[" + events + "],\"as_of\":" + std::to_string(m_revision) + "}");
        }
    }
}

void Store::serve(Connection &connection)
{
    Message message;
    while (connection.read(message, 60.0)) {
        std::string reply;
        if (message.first.size() != 3) {
            // A request line has a method, a target without spaces, and a version.
            ++malformed;
            connection.write(answer(400, "{}"));
            return;
        }
        const std::string &target = message.first[1];
        const auto query = queryOf(target);
        const std::string path = target.substr(0, target.find('?'));
        if (path == "/api/kv-range") {
            reply = range(query);
        } else if (path == "/api/kv-watch") {
            reply = watch(query);
        } else if (path == "/api/kv-key" && query.contains("key")) {
            const std::lock_guard lock(m_mutex);
            const auto item = m_items.find(query.at("key"));
            reply = item == m_items.end()
                ? answer(404, "{}")
                : answer(200,
                         "{\"key\":" + jsonText(item->first) + ",\"value\":\"" + item->second.value
                             + "\",\"revision\":" + std::to_string(item->second.revision)
                             + ",\"created_rev\":" + std::to_string(item->second.created)
                             + ",\"lease\":0,\"as_of\":" + std::to_string(m_revision) + "}");
        } else {
            reply = answer(400, "{}");
        }
        sleepFor(0.004);
        if (!connection.write(reply)) {
            return;
        }
    }
}

Server::Server(Store &store, std::string id, std::string service, std::string zone, int slots, Handler handler)
    : m_store(&store)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_zone(std::move(zone))
    , m_slots(slots)
    , m_handler(std::move(handler))
{
    restart();
    m_reporter = std::thread([this] {
        for (int step = 0; !m_end; ++step) {
            sleepFor(0.1);
            if (step % 12 == 11 && m_up) {
                report("ready");
            }
        }
    });
}

Server::~Server()
{
    m_end = true;
    m_reporter.join();
    crash();
}

void Server::listen(int port)
{
    m_listener = std::make_unique<Listener>(
        m_ip,
        [this](Connection &connection) {
            serve(connection);
        },
        port);
    m_port = m_listener->port();
}

void Server::restart()
{
    listen(m_port);
    m_seq = 0;
    m_born = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                 .count();
    m_up = true;
    report("ready");
}

void Server::crash()
{
    if (m_up.exchange(false)) {
        m_listener->crash();
    }
}

void Server::report(const std::string &state)
{
    const std::lock_guard lock(m_mutex);
    ++m_seq;
    m_store->put("servers/" + m_id,
                 "{\"backend\":\"" + m_service + "\",\"address\":\"" + m_ip + ":" + std::to_string(m_port)
                     + "\",\"zone\":\"" + m_zone + "\",\"version\":\"v1\",\"slots\":" + std::to_string(m_slots)
                     + ",\"state\":\"" + state
                     + "\",\"cold_remaining_ms\":0,\"stage\":\"both\",\"models\":[{\"name\":\"m\","
                     + "\"version\":1,\"adapters\":[]}],\"seq\":" + std::to_string(m_seq)
                     + ",\"born\":" + std::to_string(m_born) + "}");
}

std::string Server::head(const ServerRequest &request, int status, const std::string &more) const
{
    return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Error") + "\r\nIbismast-Attempt-Id: "
        + request.attempt + "\r\nIbismast-Response-Seal: s." + m_id + "." + request.attempt + "\r\n" + more + "\r\n";
}

void Server::serve(Connection &connection)
{
    Message message;
    while (m_up && connection.read(message, 60.0)) {
        ServerRequest request {message, &connection, message.header("ibismast-attempt-id"), m_id};
        const std::string expected = message.header("ibismast-expect-instance");
        if (message.first[1] == "/health") {
            connection.write("HTTP/1.1 200 OK\r\nIbismast-Instance-Id: " + m_id + "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        if (!expected.empty() && expected != m_id) {
            connection.write("HTTP/1.1 421 Misdirected Request\r\nIbismast-Attempt-Id: " + request.attempt
                             + "\r\nIbismast-Instance-Id: " + m_id + "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        if (!m_handler(*this, request)) {
            return;
        }
    }
}

int Machine::peerPort = 0;

Machine::Machine(std::string name, std::string ip, std::string zone, const MachineSettings &settings)
    : m_name(std::move(name)), m_ip(std::move(ip)), m_zone(std::move(zone)), m_settings(settings)
{
    m_front = freePort(m_ip);
    m_readyPort = freePort(m_ip);
    m_control = freePort(m_ip);
    m_metrics = freePort(m_ip);
    if (peerPort == 0) {
        peerPort = freePort(m_ip, true);
    }
}

Machine::~Machine()
{
    signal(SIGKILL);
}

void Machine::start(const Store &store, const std::vector<std::string> &seeds)
{
    const std::string path = folder() + "/" + m_name + ".ini";
    std::string seedList;
    for (const std::string &seed : seeds) {
        seedList += (seedList.empty() ? "" : ",") + seed;
    }
    // What `platform/entry.ini.template` gives on this site.
    std::ofstream(path) << "[instance]\nid = " << m_name << "\ndomain = " << m_zone << "\n[http]\nlisten = " << m_ip
                        << ":" << m_front << "\nready = " << m_ip << ":" << m_readyPort
                        << "\n[peers]\ncopy_listen = " << seed() << "\nports = " << peerPort << "," << peerPort + 1
                        << "\nseeds = " << seedList << "\n[store]\naddress = " << store.address()
                        << "\n[metrics]\nlisten = " << m_ip << ":" << m_metrics
                        << "\n[retry]\nratio = 0.2\nslack = 100\n[stop]\ngrace_s = 8\n[engines]\n"
                        << "max_idle_reservation_ms = 9000\n[waiting]\nenabled = 1\n[limits]\ndescriptors = "
                        << m_settings.descriptors << "\nmemory_mb = " << m_settings.memoryMb << "\n"
                        << m_settings.more;
    const std::string log = folder() + "/" + m_name + ".log";
    m_pid = ::fork();
    if (m_pid == 0) {
        // The process must not outlive the case.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::setenv("IBISMAST_CONFIG", path.c_str(), 1);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, 1);
        ::dup2(output, 2);
        ::execl(program().c_str(), program().c_str(), static_cast<char *>(nullptr));
        ::_exit(127);
    }
    const std::lock_guard lock(processesMutex);
    processes.insert(m_pid);
    record(m_name + " starts at " + m_ip + ":" + std::to_string(m_front));
}

void Machine::signal(int number) const
{
    const std::lock_guard lock(processesMutex);
    if (processes.contains(m_pid)) {
        ::kill(m_pid, number);
    }
}

bool Machine::running()
{
    const std::lock_guard lock(processesMutex);
    if (!processes.contains(m_pid)) {
        return false;
    }
    int status = 0;
    if (::waitpid(m_pid, &status, WNOHANG) != m_pid) {
        return true;
    }
    processes.erase(m_pid);
    record(m_name + " has ended: "
           + (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                  : "status " + std::to_string(WEXITSTATUS(status))));
    return false;
}

bool Machine::ready() const
{
    const auto connection = Connection::open(m_ip, m_readyPort);
    Message message;
    return connection && connection->write("GET /api/ready HTTP/1.1\r\nHost: " + m_ip + "\r\n\r\n")
        && connection->read(message, 1.0) && message.status() == 200;
}

double Machine::residentMb() const
{
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::atof(line.substr(6).c_str()) / 1024.0;
        }
    }
    return 0.0;
}

std::string folder()
{
    const char *value = std::getenv("CASE_FOLDER");
    return value != nullptr ? value : "/tmp";
}

std::string program()
{
    const char *value = std::getenv("CASE_PROGRAM");
    return value != nullptr ? value : "target/bin/ibismast-relay";
}

bool trouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

void awaitReady(const std::vector<std::unique_ptr<Machine>> &machines, double limit)
{
    const double end = seconds() + limit;
    for (const auto &machine : machines) {
        while (!machine->ready()) {
            if (!machine->running() || seconds() > end) {
                finish(2, machine->name() + " does not become ready");
            }
            sleepFor(0.05);
        }
        record(machine->name() + " is ready");
    }
}

std::string newAttempt()
{
    static std::mutex mutex;
    static std::mt19937_64 random(std::random_device {}());
    const std::lock_guard lock(mutex);
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

const char *const PlainService = "wuno96b";
const char *const PlainConfig =
    R"({"version":7,"routes":[{"name":"r-issue","host":"ficu95.example","path_prefix":"/puxa403/","kind":"unsafe",)"
    R"("timeout_ms":1500,"slo_ms":100,"priority":1,"backend":"wuno96b","max_attempts":2,"public":false},)"
    R"({"name":"r-lookup","host":"ficu95.example","path_prefix":"/cufi504/","kind":"safe",)"
    R"("timeout_ms":1500,"slo_ms":100,"priority":1,"backend":"wuno96b","max_attempts":2,"public":false}],)"
    R"("services":[{"name":"wuno96b","health_path":"/health","max_conns":96,"protocol":"h1","tls":false}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
    R"("tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"]}]})";

namespace
{

constexpr double WorkTime = 0.060;
std::mutex ranMutex;
std::set<std::string> ran;

} // namespace

void noteRun(const std::string &attempt, const std::string &server)
{
    {
        const std::lock_guard lock(ranMutex);
        ran.insert(attempt);
    }
    record("request " + attempt + " runs at " + server);
}

bool hasRun(const std::string &attempt)
{
    const std::lock_guard lock(ranMutex);
    return ran.contains(attempt);
}

bool Load::serve(Server &server, ServerRequest &request)
{
    noteRun(request.attempt, server.id());
    sleepFor(WorkTime);
    const std::string body(800, 'x');
    return request.connection->write(
        server.head(request, 200, "Content-Length: " + std::to_string(body.size()) + "\r\n") + body);
}

Load::Load(const std::vector<std::unique_ptr<Machine>> &machines, int perMachine)
{
    for (const auto &machine : machines) {
        for (int index = 0; index < perMachine; ++index) {
            m_requesters.emplace_back([this, &machine] {
                ask(*machine);
            });
        }
    }
}

Load::~Load()
{
    stop();
}

void Load::stop()
{
    if (m_over.exchange(true)) {
        return;
    }
    for (std::thread &requester : m_requesters) {
        requester.join();
    }
    record("requesters on kept connections: sent " + std::to_string(m_sent) + ", answered 200 "
           + std::to_string(m_answered) + ", answered otherwise " + std::to_string(m_refused) + ", run and lost "
           + std::to_string(m_lost) + ", not run and closed " + std::to_string(m_failed) + ", connections not opened "
           + std::to_string(m_notOpened));
}

void Load::ask(const Machine &machine)
{
    std::unique_ptr<Connection> connection;
    bool kept = false;
    while (!m_over) {
        if (!connection) {
            connection = Connection::open(machine.ip(), machine.front());
            kept = false;
        }
        if (!connection) {
            ++m_notOpened;
            sleepFor(0.5);
            continue;
        }
        const std::string attempt = newAttempt();
        ++m_sent;
        Message answer;
        const bool read = connection->write("POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nIbismast-Attempt-Id: "
                                            + attempt + "\r\nIbismast-Deadline-Ms: 1500\r\nAuthorization: Token "
                                            + "n2ctnfzs989anu6wsjnb\r\nContent-Length: 2\r\n\r\n{}")
            && connection->read(answer, 1.7);
        if (read) {
            record("request " + attempt + " at " + machine.name() + ": " + std::to_string(answer.status()));
            ++(answer.status() == 200 ? m_answered : m_refused);
            kept = true;
            if (answer.header("connection") == "close") {
                connection.reset();
            }
            sleepFor(0.005);
            continue;
        }
        const bool closed = !connection->timedOut;
        const bool lost = hasRun(attempt) && closed && kept;
        ++(lost ? m_lost : m_failed);
        record("request " + attempt + " at " + machine.name() + (closed ? ": closed without an answer" : ": no answer")
               + (hasRun(attempt) ? ", although it has run" : "") + (kept ? ", on a kept connection" : ""));
        connection.reset();
    }
}

void finishMemoryCase(Load &load, int ended, double mostMb, long moreLost)
{
    load.stop();
    const std::string text = std::to_string(ended) + " processes ended or above their memory (most "
        + std::to_string(mostMb) + " MB), " + std::to_string(load.lost() + moreLost)
        + " requests from kept connections run and closed without an answer, 3 are allowed";
    if (load.answered() == 0) {
        finish(2, "no request was answered");
    }
    finish(ended > 0 && load.lost() + moreLost > 3 ? 1 : 0, text);
}

} // namespace stand
