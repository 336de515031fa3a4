#include "ibismast/agent/prefixtracker.h"

namespace ibismast
{

PrefixTracker::PrefixTracker(std::size_t capacity, Duration unconfirmedLifetime)
    : m_capacity(capacity), m_unconfirmedLifetime(unconfirmedLifetime)
{
}

void PrefixTracker::handle(const EngineCacheEvent &event, TimePoint now)
{
    if (m_lastSequence && event.sequence != *m_lastSequence + 1) {
        m_lastGapAt = now;
    }
    m_lastSequence = event.sequence;
    for (const std::uint64_t hash : event.removed) {
        if (const auto found = m_index.find(hash); found != m_index.end()) {
            m_blocks.erase(found->second);
            m_index.erase(found);
        }
    }
    for (const std::uint64_t hash : event.added) {
        if (const auto found = m_index.find(hash); found != m_index.end()) {
            m_blocks.erase(found->second);
        }
        m_blocks.push_front({hash, now});
        m_index[hash] = m_blocks.begin();
    }
    while (m_blocks.size() > m_capacity) {
        m_index.erase(m_blocks.back().hash);
        m_blocks.pop_back();
    }
}

Tokens PrefixTracker::expectedHit(const std::vector<std::uint64_t> &hashes, TimePoint now) const
{
    Tokens hit;
    for (const std::uint64_t hash : hashes) {
        const auto found = m_index.find(hash);
        if (found == m_index.end() || !isTrusted(*found->second, now)) {
            break;
        }
        hit += PrefixBlockTokens;
    }
    return hit;
}

std::vector<std::uint64_t> PrefixTracker::newest(std::size_t limit, TimePoint now) const
{
    std::vector<std::uint64_t> hashes;
    for (const Block &block : m_blocks) {
        if (hashes.size() == limit || !isTrusted(block, now)) {
            break;
        }
        hashes.push_back(block.hash);
    }
    return hashes;
}

void PrefixTracker::clear()
{
    m_blocks.clear();
    m_index.clear();
    m_lastSequence.reset();
    m_lastGapAt.reset();
}

bool PrefixTracker::isTrusted(const Block &block, TimePoint now) const
{
    return !m_lastGapAt || block.confirmedAt >= *m_lastGapAt || now < *m_lastGapAt + m_unconfirmedLifetime;
}

} // namespace ibismast
