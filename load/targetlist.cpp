#include "load/targetlist.h"

namespace ibismast::load
{

namespace
{

constexpr Duration AvoidTime = std::chrono::seconds(1);

} // namespace

TargetList::TargetList(std::vector<std::string> addresses)
{
    for (std::string &address : addresses) {
        m_targets.push_back({std::move(address), TimePoint::min()});
    }
}

std::size_t TargetList::next(TimePoint now)
{
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
        const std::size_t index = (m_next + i) % m_targets.size();
        if (m_targets[index].avoidUntil <= now) {
            m_next = index + 1;
            return index;
        }
    }
    // All are unreachable: the next one is as good as any.
    return m_next++ % m_targets.size();
}

void TargetList::markUnreachable(std::size_t index, TimePoint now)
{
    m_targets[index].avoidUntil = now + AvoidTime;
}

const std::string &TargetList::address(std::size_t index) const
{
    return m_targets[index].address;
}

} // namespace ibismast::load
