#pragma once

#include <Operator.h>
#include <memory>
#include <string>

namespace ibismast::ctl
{

/// Where and how the tool connects.
struct ConnectionOptions
{
    std::string host = "127.0.0.1";
    int port = 7'070;
    /// PEM files. Without a CA file the connection is not encrypted, which servers accept only on loopback.
    std::string caFile;
    std::string certificateFile;
    std::string keyFile;
    int timeoutMilliseconds = 15'000;
};

/// Returns a connected client.
/// @throws apache::thrift::TException if the server cannot be reached or the TLS handshake fails.
[[nodiscard]] std::unique_ptr<wire::operators::OperatorClient> connect(const ConnectionOptions &options);

} // namespace ibismast::ctl
