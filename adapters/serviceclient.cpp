#include "adapters/serviceclient.h"

#include <algorithm>

namespace ibismast
{

namespace
{

/// True if @p text can stand in the head of a request. A line break would let a faulty peer add headers.
bool isPlain(std::string_view text)
{
    return std::ranges::all_of(text, [](unsigned char c) {
        return c > 0x1f && c != 0x7f;
    });
}

} // namespace

ServiceClient::ServiceClient(const HttpEndpoint &endpoint, EventHandler handler)
    : m_endpoint(endpoint), m_handler(std::move(handler))
{
}

ServiceClient::~ServiceClient()
{
    stop();
}

void ServiceClient::invoke(const ServiceInvoke &call)
{
    const OperationId operation = call.operation;
    const bool valid = isPlain(call.method) && isPlain(call.path) && isPlain(call.contentType)
        && isPlain(call.customer.value()) && call.path.starts_with('/')
        && (call.method + call.path).find(' ') == std::string::npos;
    if (!valid) {
        m_handler(ServiceFailure {
            operation, {ResultCode::InvalidArgument, "the call has an invalid method, path or header", {}}, false});
        return;
    }
    auto *outgoing =
        new OutgoingCall(m_endpoint, QByteArray::fromStdString(call.method), QByteArray::fromStdString(call.path));
    outgoing->setHeader("Operation-Id", QByteArray::fromStdString(toString(operation)));
    outgoing->setHeader("X-Customer", QByteArray::fromStdString(call.customer.value()));
    outgoing->setBody(QByteArray::fromStdString(call.contentType),
                      call.body ? QByteArray::fromStdString(*call.body) : QByteArray());
    outgoing->setTimeout(std::max(call.timeLeft, Duration(std::chrono::milliseconds(1))));
    m_calls.insert(outgoing);
    outgoing->start([this, operation, outgoing](CallEnd end) {
        m_calls.erase(outgoing);
        if (end.error) {
            if (end.error->code == ResultCode::UpstreamFailed) {
                end.error->code = ResultCode::ServiceFailed;
            }
            m_handler(ServiceFailure {operation, std::move(*end.error), end.mayHaveBeenSent});
            return;
        }
        m_handler(ServiceReply {operation,
                                end.head.status,
                                std::string(end.head.header("content-type")),
                                std::make_shared<const std::string>(std::move(end.body))});
    });
}

void ServiceClient::stop()
{
    for (OutgoingCall *call : std::exchange(m_calls, {})) {
        call->abandon();
    }
}

} // namespace ibismast
