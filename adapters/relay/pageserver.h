#pragma once

#include "adapters/relay/callerserver.h"

namespace ibismast
{

/// Page of a `PageServer`.
struct Page
{
    int status = 200;
    std::string contentType = "text/plain";
    std::string body;
};

/// Serves a few pages of this process to the platform, to operators and to other entries.
class PageServer final : public CallerHandler
{
public:
    /// Gets the query of the request, without its question mark.
    using PageSource = std::function<Page(std::string_view query)>;

    explicit PageServer(boost::asio::io_context &loop);

    /// Serves @p source at @p path. Called before `listen`.
    void add(const std::string &path, PageSource source);
    /// Listens on @p endpoint. Fails with `SettingsInvalid` if the address cannot be used.
    [[nodiscard]] Result<Success> listen(const boost::asio::ip::tcp::endpoint &endpoint);
    /// Closes connections that have outlived their times.
    void enforceTimes(TimePoint now);

    void requestReceived(const std::shared_ptr<CallerConnection> &connection, std::string body) override;
    void callerGone(const std::shared_ptr<CallerConnection> &connection) override;
    [[nodiscard]] RelayLimits limits() const override;

private:
    CallerServer m_server;
    std::map<std::string, PageSource> m_pages;
};

} // namespace ibismast
