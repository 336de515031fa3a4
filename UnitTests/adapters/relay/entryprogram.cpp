#include "UnitTests/adapters/relay/entryprogram.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <fstream>
#include <sstream>

namespace ibismast
{

namespace
{

using boost::asio::ip::tcp;

const tcp::endpoint AnyPort(boost::asio::ip::address_v4::loopback(), 0);
/// Body of an answer of the path `/large`.
constexpr std::size_t LargeAnswerBytes = std::size_t {2} << 20;

std::string encodeBase64(const std::string &bytes)
{
    constexpr std::string_view Alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t start = 0; start < bytes.size(); start += 3) {
        std::uint32_t group = 0;
        for (std::size_t index = start; index < start + 3; ++index) {
            group = group << 8U | (index < bytes.size() ? static_cast<unsigned char>(bytes[index]) : 0U);
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            const bool padding = digit > bytes.size() - start;
            text += padding ? '=' : Alphabet[group >> (18U - 6U * digit) & 63U];
        }
    }
    return text;
}

/// Runs @p program and returns its process id; its output goes to @p log.
int spawn(const std::string &program, std::vector<std::string> arguments, const std::string &log)
{
    arguments.insert(arguments.begin(), program);
    std::vector<char *> pointers;
    for (std::string &argument : arguments) {
        pointers.push_back(argument.data());
    }
    pointers.push_back(nullptr);
    // The sanitizers keep freed memory for a time; a little of it is enough to find its use.
    std::string sanitizer = "ASAN_OPTIONS=quarantine_size_mb=4";
    std::array<char *, 2> environment {sanitizer.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    // Without O_CLOEXEC: where the file opens as the standard output itself, it must stay open in the program.
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    int child = -1;
    if (posix_spawn(&child, program.c_str(), &actions, nullptr, pointers.data(), environment.data()) != 0) {
        child = -1;
    }
    posix_spawn_file_actions_destroy(&actions);
    return child;
}

} // namespace

/// Store and upstream. The store holds one configuration and one upstream; nothing changes.
class EntryProgram::StandIns final : public CallerHandler
{
public:
    explicit StandIns(boost::asio::io_context &loop) : server(loop, *this, 1'000)
    {
        if (errorOf(server.listen(AnyPort)) != nullptr) {
            throw std::runtime_error("no port for the stand-ins");
        }
    }
    void requestReceived(const std::shared_ptr<CallerConnection> &connection, std::string body) override
    {
        const std::string &target = connection->request().target;
        if (target.starts_with("/api/kv-watch")) {
            return;
        }
        if (target.starts_with("/api/kv-range")) {
            answer(connection, R"({"entries":[)" + item("servers/u-1", upstream()) + R"(],"as_of":5})");
        } else if (target.starts_with("/api/kv-key")) {
            std::string text = item("op/config", Config);
            text.back() = ',';
            answer(connection, text + R"("as_of":5})");
        } else {
            ++requestsRun;
            answer(connection,
                   target.starts_with("/large") ? std::string(LargeAnswerBytes, 'y')
                                                : "read " + std::to_string(body.size()) + " bytes");
        }
    }
    void callerGone(const std::shared_ptr<CallerConnection> & /*connection*/) override { }
    [[nodiscard]] RelayLimits limits() const override
    {
        return {};
    }

    CallerServer server;
    int requestsRun = 0;

private:
    static constexpr const char *Config =
        R"({"version":3,"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"safe","timeout_ms":20000,)"
        R"("slo_ms":1000,"backend":"s","max_attempts":2,"public":true}],"services":[{"name":"s","max_conns":256}],)"
        R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
        R"("idle_timeout_ms":15000},"tenants":[]})";

    [[nodiscard]] std::string upstream() const
    {
        return R"({"backend":"s","address":"127.0.0.1:)" + std::to_string(server.port())
            + R"(","zone":"z","slots":64,"state":"ready","seq":1,"born":1})";
    }
    static std::string item(const std::string &key, const std::string &value)
    {
        return R"({"key":")" + key + R"(","value":")" + encodeBase64(value) + R"(","revision":4})";
    }
    static void answer(const std::shared_ptr<CallerConnection> &connection, const std::string &body)
    {
        HttpHeadBuilder head = HttpHeadBuilder::response(200);
        head.header("Ibismast-Attempt-Id", connection->request().header("Ibismast-Attempt-Id"));
        head.header("Ibismast-Response-Seal", "s");
        connection->answer(std::move(head), body);
    }
};

LoopbackPort::LoopbackPort(boost::asio::io_context &loop) : m_holder(loop)
{
    m_holder.open(AnyPort.protocol());
    // The program must not inherit it: its descriptors are counted.
    fcntl(m_holder.native_handle(), F_SETFD, FD_CLOEXEC);
    m_holder.set_option(boost::asio::socket_base::reuse_address(true));
    m_holder.bind(AnyPort);
}

tcp::endpoint LoopbackPort::endpoint() const
{
    return m_holder.local_endpoint();
}

std::uint16_t LoopbackPort::number() const
{
    return endpoint().port();
}

EntryProgram::EntryProgram(boost::asio::io_context &loop, const std::string &program, const std::string &limits)
    : m_loop(&loop), m_standIns(std::make_unique<StandIns>(loop)), m_callers(loop), m_ready(loop), m_copies(loop)
{
    std::string folder = (std::filesystem::temp_directory_path() / "ibismast-entry-XXXXXX").string();
    if (mkdtemp(folder.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    m_folder = folder;
    const std::string settings = (m_folder / "entry.ini").string();
    // The datagrams' port has the number of a held one, so that no other entry program of a test takes it.
    std::ofstream(settings) << "[instance]\nid = e-1\ndomain = z\n[http]\nlisten = 127.0.0.1:" << m_callers.number()
                            << "\nready = 127.0.0.1:" << m_ready.number()
                            << "\n[peers]\ncopy_listen = 127.0.0.1:" << m_copies.number()
                            << "\nports = " << m_copies.number()
                            << "\n[store]\naddress = 127.0.0.1:" << m_standIns->server.port() << "\n"
                            << limits;
    m_child = spawn(program, {"--settings", settings}, (m_folder / "log").string());
}

EntryProgram::~EntryProgram()
{
    if (lives()) {
        kill(m_child, SIGKILL);
        waitpid(m_child, nullptr, 0);
    }
    m_standIns->server.stopListening();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

bool EntryProgram::awaitReady()
{
    return runUntil(*m_loop,
                    [this] {
                        return !lives()
                            || ask(page(), "GET /api/ready HTTP/1.1\r\nHost: h\r\n\r\n", "ready\n").find(" 200 ")
                            != std::string::npos;
                    })
        && lives();
}

std::string EntryProgram::ask(const tcp::endpoint &endpoint, const std::string &request, const std::string &end)
{
    LoopbackPeer peer(*m_loop);
    boost::system::error_code error;
    peer.socket.connect(endpoint, error);
    if (!error) {
        boost::asio::write(peer.socket, boost::asio::buffer(request), error);
    }
    if (error) {
        return {};
    }
    peer.read();
    (void)runUntil(*m_loop, [&] {
        return peer.ended || peer.received.find(end) != std::string::npos;
    });
    peer.socket.close(error);
    (void)runUntil(*m_loop, [&] {
        return peer.ended;
    });
    return peer.received;
}

tcp::endpoint EntryProgram::callers() const
{
    return m_callers.endpoint();
}

tcp::endpoint EntryProgram::page() const
{
    return m_ready.endpoint();
}

bool EntryProgram::lives()
{
    if (m_child > 0 && waitpid(m_child, nullptr, WNOHANG) != 0) {
        m_child = -1;
    }
    return m_child > 0;
}

std::int64_t EntryProgram::peakMemory() const
{
    std::ifstream status("/proc/" + std::to_string(m_child) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            return std::stoll(line.substr(6)) * 1024;
        }
    }
    return 0;
}

std::size_t EntryProgram::descriptors() const
{
    std::error_code error;
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(m_child) + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

std::string EntryProgram::log() const
{
    std::ifstream file(m_folder / "log");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

int EntryProgram::requestsRun() const
{
    return m_standIns->requestsRun;
}

} // namespace ibismast
