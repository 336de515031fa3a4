#include "ibismast/operations/claimshard.h"

#include "ibismast/core/stablehash.h"

#include <charconv>

namespace ibismast
{

namespace
{

// First field of the encoded form. Must be changed with every incompatible change of the format.
constexpr std::uint64_t FormatVersion = 1;

/// Appends @p field in the form `<size in bytes>:<field>`.
void appendField(std::string &text, std::string_view field)
{
    text += std::to_string(field.size());
    text += ':';
    text += field;
}

std::string encodeKey(const ClaimKey &key)
{
    std::string text;
    appendField(text, key.customer.value());
    appendField(text, key.service.value());
    appendField(text, key.key);
    return text;
}

std::string encodeClaim(const ClaimKey &key, std::uint64_t generation, const OperationId &operation)
{
    std::string text;
    appendField(text, std::to_string(generation));
    appendField(text, toString(operation));
    return text + encodeKey(key) + '\n';
}

/// Reads consecutive fields written by `appendField`.
class FieldReader
{
public:
    explicit FieldReader(std::string_view text) : m_rest(text) { }

    [[nodiscard]] bool atEnd() const
    {
        return m_rest.empty();
    }

    std::optional<std::string_view> field()
    {
        std::size_t size = 0;
        const auto [end, error] = std::from_chars(m_rest.data(), m_rest.data() + m_rest.size(), size);
        const auto digits = static_cast<std::size_t>(end - m_rest.data());
        if (error != std::errc() || digits >= m_rest.size() || *end != ':' || size > m_rest.size() - digits - 1) {
            return std::nullopt;
        }
        const std::string_view value = m_rest.substr(digits + 1, size);
        m_rest.remove_prefix(digits + 1 + size);
        return value;
    }

    std::optional<std::uint64_t> number()
    {
        const auto text = field();
        std::uint64_t value = 0;
        if (!text) {
            return std::nullopt;
        }
        const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
        if (error != std::errc() || end != text->data() + text->size()) {
            return std::nullopt;
        }
        return value;
    }

    [[nodiscard]] bool lineEnd()
    {
        if (m_rest.empty() || m_rest.front() != '\n') {
            return false;
        }
        m_rest.remove_prefix(1);
        return true;
    }

private:
    std::string_view m_rest;
};

std::string encodeHeader(std::uint64_t generation)
{
    std::string text;
    appendField(text, std::to_string(FormatVersion));
    appendField(text, std::to_string(generation));
    return text + '\n';
}

} // namespace

std::uint64_t ClaimShard::indexOf(const ClaimKey &key)
{
    return stableHash(encodeKey(key)) % Count;
}

std::string ClaimShard::storeKey(std::uint64_t index)
{
    return "ibismast/claims/" + std::to_string(index);
}

std::optional<ClaimShard> ClaimShard::parse(std::string_view text)
{
    ClaimShard shard;
    if (text.empty()) {
        return shard;
    }
    FieldReader reader(text);
    const auto version = reader.number();
    const auto generation = reader.number();
    if (version != FormatVersion || !generation || !reader.lineEnd()) {
        return std::nullopt;
    }
    shard.m_generation = *generation;
    while (!reader.atEnd()) {
        const auto claimGeneration = reader.number();
        const auto operationText = reader.field();
        const auto customer = reader.field();
        const auto service = reader.field();
        const auto key = reader.field();
        if (!claimGeneration || !operationText || !customer || !service || !key || !reader.lineEnd()) {
            return std::nullopt;
        }
        const auto operation = parseOperationId(*operationText);
        if (!operation) {
            return std::nullopt;
        }
        const ClaimKey claimKey {
            CustomerId(std::string(*customer)), ServiceName(std::string(*service)), std::string(*key)};
        shard.m_claimBytes += encodeClaim(claimKey, *claimGeneration, *operation).size();
        shard.m_claims.insert_or_assign(claimKey, Claim {*claimGeneration, *operation});
    }
    return shard;
}

std::string ClaimShard::encode() const
{
    std::string text = encodeHeader(m_generation);
    text.reserve(encodedSize());
    for (const auto &[key, claim] : m_claims) {
        text += encodeClaim(key, claim.generation, claim.operation);
    }
    return text;
}

std::size_t ClaimShard::encodedSize() const
{
    return encodeHeader(m_generation).size() + m_claimBytes;
}

const OperationId *ClaimShard::find(const ClaimKey &key) const
{
    const auto claim = m_claims.find(key);
    return claim == m_claims.end() ? nullptr : &claim->second.operation;
}

bool ClaimShard::add(const ClaimKey &key, const OperationId &operation, std::size_t maxSize)
{
    const std::size_t size = encodeClaim(key, m_generation, operation).size();
    if (encodedSize() + size > maxSize || !m_claims.try_emplace(key, Claim {m_generation, operation}).second) {
        return false;
    }
    m_claimBytes += size;
    return true;
}

std::uint64_t ClaimShard::generation() const
{
    return m_generation;
}

void ClaimShard::beginGeneration(std::uint64_t keptGenerations)
{
    ++m_generation;
    for (auto claim = m_claims.begin(); claim != m_claims.end();) {
        if (claim->second.generation + keptGenerations <= m_generation) {
            m_claimBytes -= encodeClaim(claim->first, claim->second.generation, claim->second.operation).size();
            claim = m_claims.erase(claim);
        } else {
            ++claim;
        }
    }
}

} // namespace ibismast
