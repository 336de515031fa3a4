#pragma once

#include "ibismast/core/messages.h"

#include <ibismast_types.h>

/// Conversion between the messages of ibismast/core/messages.h and the structures of wire/ibismast.thrift.
namespace ibismast
{

/// Returns @p frame in its Thrift form. Copies the body of a request once.
[[nodiscard]] wire::PeerFrame toThrift(const PeerFrame &frame);

/// Returns the frame in @p frame, whose body is moved and not copied.
///
/// Fails with `ProtocolError` if the union holds no known message, or a field is outside its range.
[[nodiscard]] Result<PeerFrame> fromThrift(wire::PeerFrame &&frame);

} // namespace ibismast
