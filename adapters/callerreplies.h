#pragma once

#include "adapters/entryport.h"
#include "adapters/httpexchange.h"

namespace ibismast
{

/// Parts that all answers have in common: the request id, failures, and that the caller may leave.
class HttpReply : public CallerReply, public std::enable_shared_from_this<HttpReply>
{
public:
    HttpReply(QHttpServerResponder &&responder, EntryPort &port);

    [[nodiscard]] HttpExchange &exchange();

    void started(const RequestId &request) override;
    void tokens(const DeliverTokens &part) override;
    void end(const DeliverEnd &end) override;
    void failure(const DeliverFailure &failure) override;
    void serviceReply(const DeliverServiceReply &reply) override;
    void operationId(const DeliverOperationId &operation) override;

protected:
    [[nodiscard]] const std::string &requestText() const;

private:
    HttpExchange m_exchange;
    EntryPort &m_port;
    std::string m_requestText;
};

/// Answer to a completion, streamed or whole, in the text or chat form.
class CompletionReply final : public HttpReply
{
public:
    CompletionReply(QHttpServerResponder &&responder, EntryPort &port);

    /// Sets the form of the answer. Called before the request starts.
    void configure(ModelName model, bool chat, bool stream);

    void started(const RequestId &request) override;
    void tokens(const DeliverTokens &part) override;
    void end(const DeliverEnd &end) override;
    void failure(const DeliverFailure &failure) override;

private:
    void flush();
    [[nodiscard]] std::string event(std::string_view text, std::string_view finishReason) const;
    [[nodiscard]] std::string prologue(std::string_view object) const;
    [[nodiscard]] static std::string usage(const DeliverEnd &end);

    ModelName m_model;
    bool m_chat = false;
    bool m_stream = false;
    bool m_roleSent = false;
    std::string m_created;
    /// Text that the caller has not been sent yet.
    std::string m_text;
};

} // namespace ibismast
