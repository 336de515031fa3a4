#include "adapters/relay/upstreampool.h"

namespace ibismast
{

UpstreamPool::UpstreamPool(boost::asio::io_context &loop,
                           const UpstreamConnectionSettings &settings,
                           std::size_t maxIdle)
    : m_loop(&loop), m_settings(settings), m_maxIdle(maxIdle)
{
}

std::shared_ptr<UpstreamConnection>
UpstreamPool::take(const InstanceId &upstream, const boost::asio::ip::tcp::endpoint &endpoint, TimePoint now)
{
    auto &idle = m_idle[upstream];
    while (!idle.empty()) {
        std::shared_ptr<UpstreamConnection> connection = std::move(idle.back());
        idle.pop_back();
        if (connection->isIdle() && connection->idleUntil() > now) {
            return connection;
        }
        connection->close();
    }
    ++m_opened;
    return std::make_shared<UpstreamConnection>(*m_loop, endpoint, m_settings);
}

void UpstreamPool::giveBack(const InstanceId &upstream, const std::shared_ptr<UpstreamConnection> &connection)
{
    auto &idle = m_idle[upstream];
    if (!connection->isIdle() || idle.size() >= m_maxIdle) {
        connection->close();
        return;
    }
    idle.push_back(connection);
}

void UpstreamPool::expire(TimePoint now)
{
    for (auto &[upstream, idle] : m_idle) {
        std::erase_if(idle, [now](const std::shared_ptr<UpstreamConnection> &connection) {
            const bool usable = connection->isIdle() && connection->idleUntil() > now;
            if (!usable) {
                connection->close();
            }
            return !usable;
        });
    }
    std::erase_if(m_idle, [](const auto &entry) {
        return entry.second.empty();
    });
}

} // namespace ibismast
