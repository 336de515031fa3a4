#include "adapters/enginejson.h"

#include "adapters/plumbing/jsontext.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace ibismast
{

namespace
{

namespace json = boost::json;

constexpr std::array<std::string_view, 9> EngineFields {"stream",
                                                        "request_id",
                                                        "priority",
                                                        "resume_from",
                                                        "resume_text",
                                                        "prompt_tokens",
                                                        "prefix_hashes",
                                                        "segment",
                                                        "max_tokens"};

std::optional<json::object> parseObject(std::string_view text)
{
    json::error_code code;
    json::value value = json::parse(json::string_view(text.data(), text.size()), code);
    if (code || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.as_object());
}

std::string text(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains({key.data(), key.size()});
    if (value == nullptr || !value->is_string()) {
        return {};
    }
    return {value->as_string().data(), value->as_string().size()};
}

std::optional<std::int64_t> integer(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains({key.data(), key.size()});
    if (value == nullptr || !value->is_int64()) {
        return std::nullopt;
    }
    return value->as_int64();
}

double rate(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains({key.data(), key.size()});
    if (value == nullptr || !value->is_number()) {
        return 0.0;
    }
    const auto number = value->to_number<double>();
    return std::isfinite(number) && number > 0 ? number : 0.0;
}

std::vector<std::string> texts(const json::object &object, std::string_view key)
{
    std::vector<std::string> result;
    const json::value *value = object.if_contains({key.data(), key.size()});
    if (value != nullptr && value->is_array()) {
        for (const json::value &element : value->as_array()) {
            if (element.is_string()) {
                result.emplace_back(element.as_string().data(), element.as_string().size());
            }
        }
    }
    return result;
}

/// Hashes are decimal strings, since JSON numbers of many programs have only 53 bits.
std::vector<std::uint64_t> hashes(const json::object &object, std::string_view key)
{
    std::vector<std::uint64_t> result;
    for (const std::string &digits : texts(object, key)) {
        std::uint64_t value = 0;
        if (std::from_chars(digits.data(), digits.data() + digits.size(), value).ec == std::errc()) {
            result.push_back(value);
        }
    }
    return result;
}

Error errorFrom(const json::object &object, bool &notRun)
{
    Error error {ResultCode::UpstreamFailed, text(object, "message"), std::nullopt};
    const std::optional<std::int64_t> code = integer(object, "code");
    const auto known = std::ranges::find_if(resultCodes(), [&code](const ResultCodeInfo &info) {
        return code && static_cast<std::int64_t>(info.code) == *code && info.code != ResultCode::Ok;
    });
    if (known != resultCodes().end()) {
        error.code = known->code;
    }
    const json::value *value = object.if_contains("not_run");
    notRun = value != nullptr && value->is_bool() && value->as_bool();
    return error;
}

void appendHashes(std::string &out, const std::vector<std::uint64_t> &values)
{
    out += '[';
    for (const std::uint64_t value : values) {
        if (out.back() != '[') {
            out += ',';
        }
        out.append("\"").append(std::to_string(value)).append("\"");
    }
    out += ']';
}

} // namespace

std::string engineSubmitBody(const EngineSubmit &submit)
{
    const std::string_view body = submit.body ? std::string_view(*submit.body) : std::string_view();
    std::string out;
    out.reserve(body.size() + submit.resumeText.size() + submit.prefixHashes.size() * 23 + 512);
    out += '{';
    for (const JsonMember &member : jsonMembers(body)) {
        if (std::ranges::find(EngineFields, member.key) == EngineFields.end()) {
            out.append(member.text).append(",");
        }
    }
    out += R"("stream":true,"request_id":)" + jsonString(toString(submit.attempt));
    out += R"(,"priority":)" + std::to_string(submit.priority);
    out += R"(,"prompt_tokens":)" + std::to_string(submit.promptTokens.value());
    out += R"(,"max_tokens":)" + std::to_string(submit.maxOutputTokens.value());
    out += R"(,"resume_from":)" + std::to_string(submit.resumeFrom);
    out += R"(,"resume_text":)";
    appendJsonString(out, submit.resumeText);
    out += R"(,"prefix_hashes":)";
    appendHashes(out, submit.prefixHashes);
    if (submit.group) {
        const GroupSegment &segment = *submit.group;
        out += R"(,"segment":{"index":)" + std::to_string(segment.index);
        out += R"(,"count":)" + std::to_string(segment.members.size());
        out += R"(,"offset":)" + std::to_string(segment.offset.value());
        out += R"(,"length":)" + std::to_string(segment.length.value());
        out += R"(,"import_handle":)" + jsonString(segment.importHandle) + '}';
    }
    out += '}';
    return out;
}

std::string engineOrderBody(const UpstreamOrder &order)
{
    std::string out = R"({"fencing_token":)" + std::to_string(order.token.value());
    const std::array<std::pair<std::string_view, std::string_view>, 6> fields {{{"shard", order.shard},
                                                                                {"verb", order.verb},
                                                                                {"model", order.model.value()},
                                                                                {"version", order.version},
                                                                                {"adapter", order.adapter},
                                                                                {"role", order.role}}};
    for (const auto &[key, value] : fields) {
        out.append(",\"").append(key).append("\":");
        appendJsonString(out, value);
    }
    out += '}';
    return out;
}

std::optional<EngineEvent> parseStreamEvent(const AttemptId &attempt, std::string_view line)
{
    const std::optional<json::object> event = parseObject(line);
    if (!event) {
        return std::nullopt;
    }
    // An engine that mixes up two streams must not give a caller the tokens, the end or the refusal of another request.
    if (const std::string id = text(*event, "request_id"); !id.empty() && id != toString(attempt)) {
        return std::nullopt;
    }
    if (const std::optional<std::int64_t> sequence = integer(*event, "seq"); sequence && *sequence >= 0) {
        return EngineTokens {attempt, static_cast<std::uint64_t>(*sequence), texts(*event, "tokens")};
    }
    if (const std::optional<std::int64_t> count = integer(*event, "token_count"); count && *count >= 0) {
        return EngineFinished {attempt, static_cast<std::uint64_t>(*count), text(*event, "finish_reason")};
    }
    if (event->contains("segment_handle")) {
        return EngineSegmentExported {attempt, text(*event, "segment_handle")};
    }
    const json::value *error = event->if_contains("error");
    if (error != nullptr && error->is_object()) {
        bool notRun = false;
        Error reason = errorFrom(error->as_object(), notRun);
        return EngineFailed {attempt, std::move(reason), !notRun};
    }
    return std::nullopt;
}

Error parseEngineError(std::string_view body, int httpStatus, bool &notRun)
{
    const std::optional<json::object> answer = parseObject(body);
    const json::value *error = answer ? answer->if_contains("error") : nullptr;
    if (error != nullptr && error->is_object()) {
        return errorFrom(error->as_object(), notRun);
    }
    // By the meaning of HTTP, a 4xx status says that the request was refused.
    notRun = httpStatus >= 400 && httpStatus < 500;
    return {ResultCode::UpstreamFailed, "the engine answered with status " + std::to_string(httpStatus), std::nullopt};
}

std::optional<EngineLoad> parseLoad(std::string_view body)
{
    const std::optional<json::object> answer = parseObject(body);
    if (!answer) {
        return std::nullopt;
    }
    const std::optional<std::int64_t> used = integer(*answer, "used_tokens");
    const std::optional<std::int64_t> capacity = integer(*answer, "capacity_tokens");
    if (!used || !capacity || *used < 0 || *capacity < 0) {
        return std::nullopt;
    }
    EngineLoad load;
    load.usedMemory = Tokens(*used);
    load.memoryCapacity = Tokens(*capacity);
    load.prefillRate = rate(*answer, "prefill_rate");
    load.decodeRate = rate(*answer, "decode_rate");
    for (std::string &model : texts(*answer, "models")) {
        load.models.emplace_back(std::move(model));
    }
    return load;
}

std::optional<EngineHeld> parseHeld(std::string_view body)
{
    const std::optional<json::object> answer = parseObject(body);
    if (!answer || !answer->contains("request_ids")) {
        return std::nullopt;
    }
    EngineHeld held;
    for (const std::string &id : texts(*answer, "request_ids")) {
        // An id of another form belongs to a user of the engine other than ibismast.
        if (const std::optional<AttemptId> attempt = parseAttemptId(id)) {
            held.attempts.push_back(*attempt);
        }
    }
    return held;
}

std::optional<std::vector<EngineCacheEvent>> parseCacheEvents(std::string_view body)
{
    const std::optional<json::object> answer = parseObject(body);
    const json::value *events = answer ? answer->if_contains("events") : nullptr;
    if (events == nullptr || !events->is_array()) {
        return std::nullopt;
    }
    std::vector<EngineCacheEvent> result;
    for (const json::value &element : events->as_array()) {
        if (!element.is_object()) {
            return std::nullopt;
        }
        const json::object &event = element.as_object();
        const std::optional<std::int64_t> sequence = integer(event, "seq");
        if (!sequence || *sequence < 0) {
            return std::nullopt;
        }
        result.push_back({static_cast<std::uint64_t>(*sequence), hashes(event, "added"), hashes(event, "removed")});
    }
    return result;
}

} // namespace ibismast
