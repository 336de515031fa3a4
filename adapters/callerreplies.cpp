#include "adapters/callerreplies.h"

#include "adapters/errorbody.h"
#include "adapters/plumbing/jsontext.h"

#include <chrono>

namespace ibismast
{

HttpReply::HttpReply(QHttpServerResponder &&responder, EntryPort &port) : m_exchange(std::move(responder)), m_port(port)
{
}

HttpExchange &HttpReply::exchange()
{
    return m_exchange;
}

void HttpReply::started(const RequestId &request)
{
    m_requestText = toString(request);
    if (m_exchange.request().header("x-request-id").empty()) {
        m_exchange.addHeader("X-Request-Id", m_requestText);
    }
    m_exchange.whenGone([&port = m_port, request] {
        port.callerLeft(request);
    });
}

void HttpReply::tokens(const DeliverTokens & /*part*/) { }

void HttpReply::end(const DeliverEnd & /*end*/) { }

void HttpReply::failure(const DeliverFailure &failure)
{
    if (failure.operation) {
        m_exchange.addHeader("Operation-Id", toString(*failure.operation));
    }
    m_exchange.sendError(failure.error);
}

void HttpReply::serviceReply(const DeliverServiceReply &reply)
{
    m_exchange.addHeader("Operation-Id", toString(reply.operation));
    m_exchange.send(reply.httpStatus,
                    reply.contentType.empty() ? "application/octet-stream" : reply.contentType,
                    reply.body ? std::string_view(*reply.body) : std::string_view());
}

void HttpReply::operationId(const DeliverOperationId &operation)
{
    const std::string id = toString(operation.operation);
    m_exchange.addHeader("Operation-Id", id);
    m_exchange.send(200, "application/json", R"({"operation_id": )" + jsonString(id) + "}");
}

const std::string &HttpReply::requestText() const
{
    return m_requestText;
}

CompletionReply::CompletionReply(QHttpServerResponder &&responder, EntryPort &port)
    : HttpReply(std::move(responder), port)
{
}

void CompletionReply::configure(ModelName model, bool chat, bool stream)
{
    m_model = std::move(model);
    m_chat = chat;
    m_stream = stream;
    m_created = std::to_string(std::chrono::system_clock::to_time_t(std::chrono::system_clock::now()));
}

void CompletionReply::started(const RequestId &request)
{
    HttpReply::started(request);
    if (m_stream) {
        exchange().whenDrained([this] {
            flush();
        });
    }
}

void CompletionReply::tokens(const DeliverTokens &part)
{
    for (const std::string &token : part.tokens) {
        m_text += token;
    }
    // Each part goes out by itself as long as the caller keeps up; only what waits for the caller is merged.
    if (m_stream && !exchange().busy()) {
        flush();
    }
}

void CompletionReply::end(const DeliverEnd &end)
{
    if (m_stream) {
        exchange().beginStream();
        exchange().sendPart(event(m_text, end.finishReason) + "data: [DONE]\n\n");
        exchange().endStream();
        return;
    }
    std::string body = prologue(m_chat ? "chat.completion" : "text_completion");
    if (m_chat) {
        body += R"("message": {"role": "assistant", "content": )";
        appendJsonString(body, m_text);
        body += '}';
    } else {
        body += R"("text": )";
        appendJsonString(body, m_text);
    }
    body += R"(, "finish_reason": )" + jsonString(end.finishReason) + "}], " + usage(end) + "}";
    exchange().send(200, "application/json", body);
}

void CompletionReply::failure(const DeliverFailure &failure)
{
    if (!exchange().streaming()) {
        HttpReply::failure(failure);
        return;
    }
    std::string last = m_text.empty() ? std::string() : event(m_text, {});
    last += "data: " + errorBody(failure.error) + "\n\n";
    exchange().sendPart(last);
    exchange().endStream();
}

void CompletionReply::flush()
{
    if (m_text.empty()) {
        return;
    }
    exchange().beginStream();
    exchange().sendPart(event(m_text, {}));
    m_roleSent = true;
    m_text.clear();
}

std::string CompletionReply::event(std::string_view text, std::string_view finishReason) const
{
    std::string result = "data: " + prologue(m_chat ? "chat.completion.chunk" : "text_completion");
    if (m_chat) {
        result += m_roleSent ? R"("delta": {"content": )" : R"("delta": {"role": "assistant", "content": )";
        appendJsonString(result, text);
        result += '}';
    } else {
        result += R"("text": )";
        appendJsonString(result, text);
    }
    result += R"(, "finish_reason": )";
    result += finishReason.empty() ? "null" : jsonString(finishReason);
    result += "}]}\n\n";
    return result;
}

std::string CompletionReply::prologue(std::string_view object) const
{
    std::string result = m_chat ? R"({"id": "chatcmpl-)" : R"({"id": "cmpl-)";
    result += requestText();
    result += R"(", "object": ")";
    result += object;
    result += R"(", "created": )" + m_created + R"(, "model": )" + jsonString(m_model.value());
    result += R"(, "choices": [{"index": 0, )";
    return result;
}

std::string CompletionReply::usage(const DeliverEnd &end)
{
    const auto prompt = end.promptTokens.value();
    const auto output = end.outputTokens.value();
    return R"("usage": {"prompt_tokens": )" + std::to_string(prompt) + R"(, "completion_tokens": )"
        + std::to_string(output) + R"(, "total_tokens": )" + std::to_string(prompt + output) + "}";
}

} // namespace ibismast
