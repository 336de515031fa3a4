#pragma once

#include "adapters/plumbing/settingsfile.h"
#include "adapters/tls.h"

namespace ibismast
{

/// Reads the keys `tls_certificate`, `tls_key` and `tls_authority` of @p section; nothing if none is set or one is
/// wrong.
[[nodiscard]] std::optional<QSslConfiguration> readTls(SettingsFile &file, const std::string &section);

} // namespace ibismast
