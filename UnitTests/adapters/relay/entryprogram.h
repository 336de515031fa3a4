#pragma once

#include "UnitTests/adapters/relay/loopbackpeer.h"
#include "adapters/relay/callerserver.h"

#include <filesystem>
#include <memory>
#include <string>

namespace ibismast
{

/// Free TCP port on loopback for a program that is started later. It is held by a bound socket that does not listen:
/// the kernel gives it to nobody who asks for any port, but a program that sets SO_REUSEADDR can listen on it.
class LoopbackPort
{
public:
    explicit LoopbackPort(boost::asio::io_context &loop);

    [[nodiscard]] boost::asio::ip::tcp::endpoint endpoint() const;
    [[nodiscard]] std::uint16_t number() const;

private:
    boost::asio::ip::tcp::socket m_holder;
};

/// The entry program as a child process, with stand-ins for the platform's store and for one upstream on loopback
/// ports.
class EntryProgram
{
public:
    /// Starts @p program with a settings file that ends with @p limits. @p loop carries the stand-ins.
    EntryProgram(boost::asio::io_context &loop, const std::string &program, const std::string &limits);
    ~EntryProgram();
    EntryProgram(const EntryProgram &) = delete;
    EntryProgram &operator=(const EntryProgram &) = delete;

    /// Waits until the program serves calls; returns false if it does not.
    [[nodiscard]] bool awaitReady();
    /// Sends @p request on a new connection and returns everything that comes back before @p end, or until the
    /// connection or a generous time ends.
    [[nodiscard]] std::string
    ask(const boost::asio::ip::tcp::endpoint &endpoint, const std::string &request, const std::string &end);
    [[nodiscard]] boost::asio::ip::tcp::endpoint callers() const;
    /// Address of the balancer's page.
    [[nodiscard]] boost::asio::ip::tcp::endpoint page() const;
    [[nodiscard]] bool lives();
    /// Largest resident memory so far, in bytes.
    [[nodiscard]] std::int64_t peakMemory() const;
    [[nodiscard]] std::size_t descriptors() const;
    /// What the program has logged.
    [[nodiscard]] std::string log() const;
    /// Requests that the upstream has run.
    [[nodiscard]] int requestsRun() const;

private:
    class StandIns;

    boost::asio::io_context *m_loop;
    std::filesystem::path m_folder;
    std::unique_ptr<StandIns> m_standIns;
    LoopbackPort m_callers;
    LoopbackPort m_ready;
    LoopbackPort m_copies;
    int m_child = -1;
};

} // namespace ibismast
