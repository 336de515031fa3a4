#include "daemons/ctl/ctlconnection.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSSLSocket.h>
#include <thrift/transport/TSocket.h>

namespace ibismast::ctl
{

namespace
{

using apache::thrift::transport::TSocket;
using apache::thrift::transport::TSSLSocketFactory;

std::shared_ptr<TSocket> makeSocket(const ConnectionOptions &options)
{
    if (options.caFile.empty()) {
        return std::make_shared<TSocket>(options.host, options.port);
    }
    const auto factory = std::make_shared<TSSLSocketFactory>(apache::thrift::transport::TLSv1_2);
    factory->loadTrustedCertificates(options.caFile.c_str());
    factory->authenticate(true);
    if (!options.certificateFile.empty()) {
        factory->loadCertificate(options.certificateFile.c_str());
        factory->loadPrivateKey(options.keyFile.c_str());
    }
    return factory->createSocket(options.host, options.port);
}

} // namespace

std::unique_ptr<wire::operators::OperatorClient> connect(const ConnectionOptions &options)
{
    const auto socket = makeSocket(options);
    socket->setConnTimeout(options.timeoutMilliseconds);
    socket->setRecvTimeout(options.timeoutMilliseconds);
    socket->setSendTimeout(options.timeoutMilliseconds);
    const auto framed = std::make_shared<apache::thrift::transport::TFramedTransport>(socket);
    framed->open();
    return std::make_unique<wire::operators::OperatorClient>(
        std::make_shared<apache::thrift::protocol::TCompactProtocol>(framed));
}

} // namespace ibismast::ctl
