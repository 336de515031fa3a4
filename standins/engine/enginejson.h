#pragma once

#include "ibismast/core/upstreammessages.h"

#include <QJsonObject>

/// Conversion between the engine's HTTP interface (docs/design.md, section 2.3) and the model's commands and events.
namespace ibismast::enginejson
{

/// Returns the text that the answer of the engine model depends on: the prompt, or the compact JSON of an array prompt
/// or of the messages. It is independent of the other fields, so that a caller can compute the answer.
[[nodiscard]] std::string canonicalPrompt(const QJsonObject &body);

/// Parses the body of `POST /v1/completions`; the command's body is the canonical prompt.
[[nodiscard]] Result<EngineSubmit> parseSubmit(const QJsonObject &body);
/// Parses the body of `POST /v1/orders`.
[[nodiscard]] Result<UpstreamOrder> parseOrder(const QJsonObject &body);

[[nodiscard]] QJsonObject toJson(const Error &error, bool notRun);
[[nodiscard]] QJsonObject toJson(const EngineTokens &tokens);
[[nodiscard]] QJsonObject toJson(const EngineFinished &finished);
[[nodiscard]] QJsonObject toJson(const EngineLoad &load);
/// Hashes are decimal strings, since JSON numbers do not hold 64 bits.
[[nodiscard]] QJsonObject toJson(const EngineCacheEvent &event);

} // namespace ibismast::enginejson
