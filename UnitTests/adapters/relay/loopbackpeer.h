#pragma once

#include "adapters/relay/sockets.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <functional>

namespace ibismast
{

/// Runs @p loop until @p done holds; returns false if that takes longer than a generous limit.
inline bool runUntil(boost::asio::io_context &loop, const std::function<bool()> &done)
{
    constexpr std::chrono::seconds Limit(20);
    const auto end = std::chrono::steady_clock::now() + Limit;
    while (!done() && std::chrono::steady_clock::now() < end) {
        loop.restart();
        loop.run_one_for(std::chrono::milliseconds(50));
    }
    return done();
}

/// Plain socket at the other end of a connection, which gathers what it reads.
class LoopbackPeer
{
public:
    explicit LoopbackPeer(boost::asio::io_context &loop) : socket(loop) { }

    void read()
    {
        m_reading = true;
        socket.async_read_some(boost::asio::buffer(m_buffer),
                               [this](const boost::system::error_code &error, std::size_t size) {
                                   m_reading = false;
                                   received.append(m_buffer.data(), size);
                                   if (error) {
                                       ended = true;
                                   } else if (!m_paused) {
                                       read();
                                   }
                               });
    }
    /// Stops reading, after at most one further piece.
    void pause()
    {
        m_paused = true;
    }
    void resume()
    {
        m_paused = false;
        if (!m_reading) {
            read();
        }
    }
    void write(const std::string &bytes)
    {
        boost::asio::write(socket, boost::asio::buffer(bytes));
    }
    /// Ends the connection with a reset.
    void reset()
    {
        socket.set_option(boost::asio::socket_base::linger(true, 0));
        socket.close();
    }

    boost::asio::ip::tcp::socket socket;
    std::string received;
    bool ended = false;

private:
    std::array<char, 4096> m_buffer {};
    bool m_reading = false;
    bool m_paused = false;
};

} // namespace ibismast
