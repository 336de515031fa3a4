#pragma once

#include "ibismast/core/upstreammessages.h"

#include <string_view>

namespace ibismast
{

/// Returns the JSON body of `POST /v1/completions`: the caller's body with the engine's fields. Members of the caller's
/// body that have the name of such a field are left out, so that a caller cannot set its own priority.
[[nodiscard]] std::string engineSubmitBody(const EngineSubmit &submit);

/// Returns the JSON body of `POST /v1/orders`.
[[nodiscard]] std::string engineOrderBody(const UpstreamOrder &order);

/// Returns the event of one line of an engine's stream; nothing if it has none of the documented forms or names another
/// attempt in `request_id`.
[[nodiscard]] std::optional<EngineEvent> parseStreamEvent(const AttemptId &attempt, std::string_view json);

/// Returns the error in the JSON answer of an engine that refused a call with @p httpStatus; @p notRun is set to what
/// the engine says of it.
[[nodiscard]] Error parseEngineError(std::string_view json, int httpStatus, bool &notRun);

/// Returns the answer of `GET /v1/load`, `GET /v1/held` or `GET /v1/cache_events`; nothing if it is malformed.
[[nodiscard]] std::optional<EngineLoad> parseLoad(std::string_view json);
[[nodiscard]] std::optional<EngineHeld> parseHeld(std::string_view json);
[[nodiscard]] std::optional<std::vector<EngineCacheEvent>> parseCacheEvents(std::string_view json);

} // namespace ibismast
