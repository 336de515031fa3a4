#pragma once

#include "ibismast/core/ids.h"

#include <map>

namespace ibismast
{

/// Idempotency key within its customer and service.
struct ClaimKey
{
    CustomerId customer;
    ServiceName service;
    std::string key;

    auto operator<=>(const ClaimKey &) const = default;
};

/// Claims that share one value of the key-value service.
///
/// Processes have no common clock, so the age of a claim is counted in generations of the shard. Whoever has seen a
/// generation for its full length may begin the next one; a claim that is `n` generations old is therefore at least
/// `n - 1` generation lengths old.
class ClaimShard
{
public:
    /// Number of shards; a key belongs to the shard given by its hash.
    static constexpr std::uint64_t Count = 256;

    /// Returns the shard of @p key.
    [[nodiscard]] static std::uint64_t indexOf(const ClaimKey &key);
    /// Returns the key of the shard in the key-value service.
    [[nodiscard]] static std::string storeKey(std::uint64_t index);
    /// Reads the form written by `encode`; an empty text is an empty shard. Returns nothing if it is malformed.
    [[nodiscard]] static std::optional<ClaimShard> parse(std::string_view text);

    [[nodiscard]] std::string encode() const;
    /// Length of the encoded form in bytes.
    [[nodiscard]] std::size_t encodedSize() const;
    /// Returns the operation that @p key is bound to, or null.
    [[nodiscard]] const OperationId *find(const ClaimKey &key) const;
    /// Binds a key that is not bound; returns false if the encoded form would exceed @p largestSize bytes.
    [[nodiscard]] bool add(const ClaimKey &key, const OperationId &operation, std::size_t largestSize);
    [[nodiscard]] std::uint64_t generation() const;
    /// Begins the next generation and drops the claims that are @p kept or more generations old.
    void beginGeneration(std::uint64_t kept);

private:
    struct Claim
    {
        std::uint64_t generation = 0;
        OperationId operation;
    };

    std::uint64_t m_generation = 1;
    std::map<ClaimKey, Claim> m_claims;
    std::size_t m_claimBytes = 0;
};

} // namespace ibismast
