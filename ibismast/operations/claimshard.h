#pragma once

#include "ibismast/core/ids.h"

#include <map>

namespace ibismast
{

/// Idempotency key, scoped to its customer and service.
struct ClaimKey
{
    CustomerId customer;
    ServiceName service;
    std::string key;

    auto operator<=>(const ClaimKey &) const = default;
};

/// Bindings of idempotency keys to operations (claims) that are stored together in one value of the key-value service.
///
/// Processes have no common clock, so the age of a claim is counted in generations of the shard. A process may begin
/// the next generation once it has observed the current one for a full generation length. A claim that is `n`
/// generations old is therefore at least `n - 1` generation lengths old.
class ClaimShard
{
public:
    /// Number of shards. The hash of a key determines its shard.
    static constexpr std::uint64_t Count = 256;

    /// Returns the index of the shard of @p key.
    [[nodiscard]] static std::uint64_t indexOf(const ClaimKey &key);
    /// Returns the key under which the key-value service stores the shard @p index.
    [[nodiscard]] static std::string storeKey(std::uint64_t index);
    /// Parses the output of `encode`. An empty text gives an empty shard; a malformed one gives no value.
    [[nodiscard]] static std::optional<ClaimShard> parse(std::string_view text);

    [[nodiscard]] std::string encode() const;
    /// Returns the size of the output of `encode` in bytes.
    [[nodiscard]] std::size_t encodedSize() const;
    /// Returns the operation that @p key is bound to, or null if it is not bound.
    [[nodiscard]] const OperationId *find(const ClaimKey &key) const;
    /// Binds @p key to @p operation. Returns false without a change if the key is already bound or if the encoded size
    /// would exceed @p maxSize bytes.
    [[nodiscard]] bool add(const ClaimKey &key, const OperationId &operation, std::size_t maxSize);
    [[nodiscard]] std::uint64_t generation() const;
    /// Begins the next generation and drops the claims that are @p keptGenerations or more generations old.
    void beginGeneration(std::uint64_t keptGenerations);

private:
    struct Claim
    {
        std::uint64_t generation = 0;
        OperationId operation;
    };

    std::uint64_t m_generation = 1;
    std::map<ClaimKey, Claim> m_claims;
    /// Encoded size of all claims, without the header.
    std::size_t m_claimBytes = 0;
};

} // namespace ibismast
