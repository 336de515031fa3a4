#include "adapters/relay/entrypeers.h"

namespace ibismast
{

namespace
{

using ErrorCode = boost::system::error_code;

} // namespace

EntryPeers::EntryPeers(boost::asio::io_context &loop, NewsHandler handler)
    : m_socket(loop), m_handler(std::move(handler))
{
}

Result<Success> EntryPeers::open(const boost::asio::ip::udp::endpoint &endpoint)
{
    ErrorCode error;
    m_socket.open(endpoint.protocol(), error);
    if (!error) {
        m_socket.bind(endpoint, error);
    }
    if (!error) {
        m_socket.non_blocking(true, error);
    }
    if (error) {
        return Error {ResultCode::SettingsInvalid,
                      "cannot receive datagrams on port " + std::to_string(endpoint.port()) + ": " + error.message(),
                      std::nullopt};
    }
    receive();
    return Success {};
}

void EntryPeers::receive()
{
    m_socket.async_receive_from(
        boost::asio::buffer(m_buffer), m_sender, [this](const ErrorCode &error, std::size_t size) {
            if (!m_socket.is_open()) {
                return;
            }
            // An error here is that of an earlier datagram whose receiver is not there.
            if (!error) {
                const Result<EntryNews> news = decodeEntryNews(std::string_view(m_buffer.data(), size));
                if (errorOf(news) != nullptr) {
                    ++m_undecodable;
                } else {
                    m_handler(std::get<EntryNews>(news));
                }
            }
            receive();
        });
}

void EntryPeers::send(const EntryNews &news, const std::vector<std::string> &addresses)
{
    if (addresses.empty() || !m_socket.is_open()) {
        return;
    }
    const std::string bytes = encodeEntryNews(news);
    for (const std::string &address : addresses) {
        const std::optional<boost::asio::ip::udp::endpoint> endpoint = parseUdpEndpoint(address);
        if (!endpoint) {
            continue;
        }
        // Entries repeat what matters; a lost datagram is not worth a retry.
        ErrorCode ignored;
        m_socket.send_to(boost::asio::buffer(bytes), *endpoint, 0, ignored);
    }
}

void EntryPeers::close()
{
    ErrorCode ignored;
    m_socket.close(ignored);
}

} // namespace ibismast
