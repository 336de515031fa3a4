#pragma once

#include <string>
#include <string_view>

namespace ibismast
{

/// Returns the SHA-256 hash of an API key in lower-case hexadecimal digits. Only hashes are stored and compared.
[[nodiscard]] std::string keyHash(std::string_view key);

} // namespace ibismast
