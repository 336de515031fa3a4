#pragma once

#include "ibismast/operator/operatormessages.h"

namespace ibismast
{

/// Call of the Thrift service in wire/operator.thrift.
struct DecodedOperatorCall
{
    std::string method;
    /// Number by which the client recognises the answer.
    std::int32_t sequence = 0;
    OperatorRequest request;
};

/// Decodes the payload of one frame. Malformed bytes and unknown methods give `ProtocolError`.
[[nodiscard]] Result<DecodedOperatorCall> decodeOperatorCall(std::string_view payload);

/// Encodes the answer to a call as a frame with its 4-byte length.
[[nodiscard]] std::string
encodeOperatorAnswer(const std::string &method, std::int32_t sequence, const OperatorReply &reply);

} // namespace ibismast
