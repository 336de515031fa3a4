#include "ibismast/core/stablehash.h"

#include "ibismast/core/seededrandom.h"

namespace ibismast
{

namespace
{

constexpr std::uint64_t FnvOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t FnvPrime = 0x100000001b3ULL;

} // namespace

std::uint64_t stableHash(std::string_view text)
{
    std::uint64_t hash = FnvOffset;
    for (const char character : text) {
        hash = (hash ^ static_cast<unsigned char>(character)) * FnvPrime;
    }
    return mixBits(hash);
}

std::uint64_t combineHashes(std::uint64_t first, std::uint64_t second)
{
    return mixBits(first * FnvPrime + second);
}

} // namespace ibismast
