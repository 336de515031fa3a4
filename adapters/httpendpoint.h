#pragma once

#include "adapters/plumbing/settingsfile.h"

#include <QtNetwork/QHostAddress>

namespace ibismast
{

/// Address of an HTTP server.
struct HttpEndpoint
{
    QHostAddress address;
    quint16 port = 0;
};

/// Parses `ip:port`, or `[ip]:port` for IPv6; returns nothing if @p text has another form.
[[nodiscard]] std::optional<HttpEndpoint> parseEndpoint(const std::string &text);

/// Reads an address of the form `ip:port` from @p file; a wrong one is reported there.
[[nodiscard]] HttpEndpoint readEndpoint(SettingsFile &file,
                                        const std::string &section,
                                        const std::string &key,
                                        const std::optional<std::string> &defaultValue);

} // namespace ibismast
