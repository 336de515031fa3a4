#include "adapters/relay/pageserver.h"

namespace ibismast
{

namespace
{

/// Connections of the balancer, of operators and of other entries at one time.
constexpr std::size_t MaxPageConnections = 64;
/// Bytes that they hold together; half of it for pages that are not read.
constexpr std::int64_t MaxPageBytes = std::int64_t {32} << 20;
/// Largest body of a request for a page.
constexpr std::uint64_t MaxRequestBodyBytes = 4096;
constexpr int NotFoundStatus = 404;

ClientLimitsSettings pageLimits()
{
    ClientLimitsSettings limits;
    limits.maxConnections = MaxPageConnections;
    limits.maxBytes = MaxPageBytes;
    limits.unsentShare = 0.5;
    return limits;
}

} // namespace

PageServer::PageServer(boost::asio::io_context &loop) : m_server(loop, *this, pageLimits()) { }

void PageServer::add(const std::string &path, PageSource source)
{
    m_pages.emplace(path, std::move(source));
}

Result<Success> PageServer::listen(const boost::asio::ip::tcp::endpoint &endpoint)
{
    return m_server.listen(endpoint);
}

void PageServer::enforceTimes(TimePoint now)
{
    m_server.enforceTimes(now);
}

void PageServer::requestReceived(const std::shared_ptr<CallerConnection> &connection, std::string /*body*/)
{
    const std::string &target = connection->request().target;
    const std::size_t pathEnd = target.find('?');
    const auto page = m_pages.find(target.substr(0, pathEnd));
    if (page == m_pages.end()) {
        connection->answer(HttpHeadBuilder::response(NotFoundStatus).header("Content-Type", "text/plain"),
                           "no such page\n");
        return;
    }
    const std::string_view query =
        pathEnd == std::string::npos ? std::string_view() : std::string_view(target).substr(pathEnd + 1);
    const Page content = page->second(query);
    connection->answer(HttpHeadBuilder::response(content.status).header("Content-Type", content.contentType),
                       content.body);
}

void PageServer::callerGone(const std::shared_ptr<CallerConnection> & /*connection*/) { }

RelayLimits PageServer::limits() const
{
    RelayLimits limits;
    limits.maxBodyBytes = MaxRequestBodyBytes;
    return limits;
}

} // namespace ibismast
