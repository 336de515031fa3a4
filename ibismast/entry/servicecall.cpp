#include "ibismast/entry/servicecall.h"

namespace ibismast
{

OperationCall operationCall(const ServiceCall &call, TimePoint now)
{
    const ServiceRequest &request = call.request;
    return OperationCall {*call.operation,
                          call.id,
                          request.customer,
                          request.service,
                          request.method,
                          request.path,
                          request.contentType,
                          request.body,
                          call.deadline - now,
                          request.idempotent};
}

} // namespace ibismast
