#pragma once

#include "adapters/relay/upstreamconnection.h"

namespace ibismast
{

/// Keeps idle connections to upstreams, since opening one takes the upstream's time.
class UpstreamPool
{
public:
    UpstreamPool(boost::asio::io_context &loop, const UpstreamConnectionSettings &settings, std::size_t maxIdle);

    /// Returns a connection to @p upstream that is free.
    [[nodiscard]] std::shared_ptr<UpstreamConnection>
    take(const InstanceId &upstream, const boost::asio::ip::tcp::endpoint &endpoint, TimePoint now);
    /// Gives a connection back; one that cannot be used again is dropped.
    void giveBack(const InstanceId &upstream, const std::shared_ptr<UpstreamConnection> &connection);
    /// Closes what has been idle for too long.
    void expire(TimePoint now);
    [[nodiscard]] std::uint64_t opened() const
    {
        return m_opened;
    }

private:
    boost::asio::io_context *m_loop;
    UpstreamConnectionSettings m_settings;
    std::size_t m_maxIdle;
    std::map<InstanceId, std::vector<std::shared_ptr<UpstreamConnection>>> m_idle;
    std::uint64_t m_opened = 0;
};

} // namespace ibismast
