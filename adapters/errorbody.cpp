#include "adapters/errorbody.h"

#include "adapters/plumbing/jsontext.h"

namespace ibismast
{

std::string errorBody(const Error &error)
{
    const ResultCodeInfo &info = resultCodeInfo(error.code);
    std::string body = R"({"error": {"code": )" + std::to_string(static_cast<int>(error.code)) + R"(, "name": ")";
    body += info.name;
    body += R"(", "message": )";
    appendJsonString(body, error.message.empty() ? info.text : std::string_view(error.message));
    body += R"(, "not_run": )";
    body += info.notRun ? "true}}" : "false}}";
    return body;
}

std::string retryAfterSeconds(const Error &error)
{
    if (!error.retryAfter) {
        return {};
    }
    return std::to_string(std::chrono::ceil<std::chrono::seconds>(*error.retryAfter).count());
}

} // namespace ibismast
