#include "ibismast/core/seededrandom.h"

#include <cassert>

namespace ibismast
{

namespace
{

// Odd 64-bit fraction of the golden ratio, the increment of SplitMix64 (Steele, Lea, Flood, 2014).
constexpr std::uint64_t GoldenGamma = 0x9e3779b97f4a7c15ULL;

} // namespace

std::uint64_t mixBits(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

SeededRandom::SeededRandom(std::uint64_t seed) : m_state(seed) { }

std::uint64_t SeededRandom::next()
{
    m_state += GoldenGamma;
    return mixBits(m_state);
}

std::uint64_t SeededRandom::below(std::uint64_t bound)
{
    assert(bound > 0);
    return next() % bound;
}

double SeededRandom::uniform()
{
    // A double holds 53 significant bits.
    return static_cast<double>(next() >> 11) * 0x1.0p-53;
}

} // namespace ibismast
