#pragma once

#include <cstdint>

namespace ibismast
{

/// Pseudo-random source (SplitMix64) that gives the same sequence for the same seed on every platform.
class SeededRandom
{
public:
    explicit SeededRandom(std::uint64_t seed);

    /// Returns the next 64 random bits.
    [[nodiscard]] std::uint64_t next();

    /// Returns a value in [0, @p bound). @p bound must be positive.
    [[nodiscard]] std::uint64_t below(std::uint64_t bound);

    /// Returns a value in [0, 1).
    [[nodiscard]] double uniform();

private:
    std::uint64_t m_state;
};

/// Mixes the bits of @p value (the finaliser of SplitMix64).
[[nodiscard]] std::uint64_t mixBits(std::uint64_t value);

} // namespace ibismast
