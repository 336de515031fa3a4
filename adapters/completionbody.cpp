#include "adapters/completionbody.h"

#include "ibismast/core/messages.h"
#include "ibismast/core/seededrandom.h"

#include <boost/json/basic_parser_impl.hpp>

#include <limits>

namespace ibismast
{

namespace
{

namespace json = boost::json;

/// A text prompt counts one token per 4 bytes, rounded up.
constexpr std::int64_t BytesPerToken = 4;
/// Hashes that are kept; the first blocks suffice to find an upstream that has the prefix in its cache.
constexpr std::size_t MaxPrefixHashes = 256;

/// Counts a prompt and hashes its leading blocks. A block is 512 tokens: that many array elements, or 4 times as many
/// bytes of text.
class PromptCounter
{
public:
    void addText(std::string_view text)
    {
        m_textBytes += static_cast<std::int64_t>(text.size());
        for (const char c : text) {
            if (m_hashes.size() == MaxPrefixHashes) {
                return;
            }
            mix(static_cast<unsigned char>(c));
            if (++m_inBlock == PrefixBlockTokens.value() * BytesPerToken) {
                endBlock();
            }
        }
    }
    void addTokenId(std::uint64_t id)
    {
        ++m_elements;
        if (m_hashes.size() == MaxPrefixHashes) {
            return;
        }
        mix(id);
        if (++m_inBlock == PrefixBlockTokens.value()) {
            endBlock();
        }
    }
    [[nodiscard]] Tokens tokens() const
    {
        return Tokens(m_elements + (m_textBytes + BytesPerToken - 1) / BytesPerToken);
    }
    [[nodiscard]] std::vector<std::uint64_t> takeHashes()
    {
        return std::move(m_hashes);
    }

private:
    void mix(std::uint64_t value)
    {
        // FNV-1a step; the block's end mixes the bits.
        m_state = (m_state ^ value) * 0x100000001b3U;
    }
    void endBlock()
    {
        m_hashes.push_back(mixBits(m_state));
        m_inBlock = 0;
    }

    std::uint64_t m_state = 0xcbf29ce484222325U;
    std::int64_t m_inBlock = 0;
    std::int64_t m_elements = 0;
    std::int64_t m_textBytes = 0;
    std::vector<std::uint64_t> m_hashes;
};

/// Handler of the event parser. The names of the functions are given by Boost.JSON.
// NOLINTBEGIN(readability-identifier-naming)
class BodyHandler
{
public:
    static constexpr std::size_t max_object_size = std::numeric_limits<std::size_t>::max();
    static constexpr std::size_t max_array_size = std::numeric_limits<std::size_t>::max();
    static constexpr std::size_t max_key_size = std::numeric_limits<std::size_t>::max();
    static constexpr std::size_t max_string_size = std::numeric_limits<std::size_t>::max();

    bool chat = false;
    CompletionBody body;
    PromptCounter prompt;
    bool hasPrompt = false;
    std::string violation;

    bool on_document_begin(json::error_code & /*code*/)
    {
        return true;
    }
    bool on_document_end(json::error_code & /*code*/)
    {
        return true;
    }
    bool on_object_begin(json::error_code & /*code*/)
    {
        if (m_depth == 1 && !m_topKey.empty()) {
            valueOfWrongType();
        }
        ++m_depth;
        return true;
    }
    bool on_object_end(std::size_t /*size*/, json::error_code & /*code*/)
    {
        --m_depth;
        return true;
    }
    bool on_array_begin(json::error_code & /*code*/)
    {
        if (m_depth == 0) {
            violation = "the body must be a JSON object";
        } else if (m_depth == 1 && m_topKey == promptKey()) {
            notePrompt();
        } else if (m_depth == 1 || (inPrompt() && !chat)) {
            valueOfWrongType();
        }
        ++m_depth;
        return true;
    }
    bool on_array_end(std::size_t /*size*/, json::error_code & /*code*/)
    {
        --m_depth;
        return true;
    }
    bool on_key_part(json::string_view text, std::size_t /*size*/, json::error_code & /*code*/)
    {
        m_key.append(text.data(), text.size());
        return true;
    }
    bool on_key(json::string_view text, std::size_t /*size*/, json::error_code & /*code*/)
    {
        m_key.append(text.data(), text.size());
        if (m_depth == 1) {
            m_topKey = m_key;
        }
        m_innerKey = std::exchange(m_key, std::string());
        return true;
    }
    bool on_string_part(json::string_view text, std::size_t /*size*/, json::error_code & /*code*/)
    {
        addString({text.data(), text.size()});
        return true;
    }
    bool on_string(json::string_view text, std::size_t /*size*/, json::error_code & /*code*/)
    {
        addString({text.data(), text.size()});
        if (m_depth == 1 && m_topKey == "model") {
            noteModel();
        } else if (m_depth == 1 && m_topKey == promptKey() && !chat) {
            notePrompt();
        } else if (m_depth == 1 || (m_depth == 2 && inPrompt())) {
            valueOfWrongType();
        }
        m_text.clear();
        return true;
    }
    bool on_number_part(json::string_view /*text*/, json::error_code & /*code*/)
    {
        return true;
    }
    bool on_int64(std::int64_t value, json::string_view /*text*/, json::error_code & /*code*/)
    {
        if (m_depth == 1 && m_topKey == "max_tokens") {
            body.maxTokens = value;
        } else if (m_depth == 2 && inPrompt() && !chat && value >= 0) {
            prompt.addTokenId(static_cast<std::uint64_t>(value));
        } else {
            otherScalar();
        }
        return true;
    }
    bool on_uint64(std::uint64_t /*value*/, json::string_view /*text*/, json::error_code & /*code*/)
    {
        otherScalar();
        return true;
    }
    bool on_double(double /*value*/, json::string_view /*text*/, json::error_code & /*code*/)
    {
        otherScalar();
        return true;
    }
    bool on_bool(bool value, json::error_code & /*code*/)
    {
        if (m_depth == 1 && m_topKey == "stream") {
            body.stream = value;
        } else {
            otherScalar();
        }
        return true;
    }
    bool on_null(json::error_code & /*code*/)
    {
        // Clients send null for a field that they leave out.
        if (m_depth == 0 || (m_depth == 2 && inPrompt())) {
            otherScalar();
        }
        return true;
    }
    bool on_comment_part(json::string_view /*text*/, json::error_code & /*code*/)
    {
        return true;
    }
    bool on_comment(json::string_view /*text*/, json::error_code & /*code*/)
    {
        return true;
    }

private:
    [[nodiscard]] std::string_view promptKey() const
    {
        return chat ? "messages" : "prompt";
    }
    [[nodiscard]] bool inPrompt() const
    {
        return m_topKey == promptKey();
    }
    /// True for the text of a message: `content`, or `text` of a part of it.
    [[nodiscard]] bool inMessageText() const
    {
        return chat && inPrompt() && m_depth >= 3 && (m_innerKey == "content" || m_innerKey == "text");
    }
    void addString(std::string_view text)
    {
        if ((m_depth == 1 && inPrompt() && !chat) || inMessageText()) {
            prompt.addText(text);
        } else if (m_depth == 1 && m_topKey == "model") {
            m_text.append(text);
        }
    }
    void noteModel()
    {
        if (!body.model.empty()) {
            refuse("the field model is sent twice");
        }
        body.model = ModelName(m_text);
    }
    void notePrompt()
    {
        if (hasPrompt) {
            refuse("the field " + std::string(promptKey()) + " is sent twice");
        }
        hasPrompt = true;
    }
    void otherScalar()
    {
        if (m_depth == 0) {
            refuse("the body must be a JSON object");
        } else if (m_depth == 1 || (m_depth == 2 && inPrompt())) {
            valueOfWrongType();
        }
    }
    void valueOfWrongType()
    {
        if (m_topKey == "model") {
            refuse("model must be a text");
        } else if (m_topKey == "max_tokens") {
            refuse("max_tokens must be an integer");
        } else if (m_topKey == "stream") {
            refuse("stream must be true or false");
        } else if (inPrompt()) {
            refuse(chat ? "messages must be an array of objects"
                        : "prompt must be a text or an array of token ids, which are not negative");
        }
    }
    void refuse(std::string reason)
    {
        if (violation.empty()) {
            violation = std::move(reason);
        }
    }

    int m_depth = 0;
    std::string m_key;
    std::string m_topKey;
    std::string m_innerKey;
    std::string m_text;
};
// NOLINTEND(readability-identifier-naming)

Error invalid(std::string message)
{
    return {ResultCode::InvalidArgument, std::move(message), std::nullopt};
}

} // namespace

Result<CompletionBody> parseCompletionBody(std::string_view text, bool chat)
{
    json::basic_parser<BodyHandler> parser {json::parse_options()};
    BodyHandler &handler = parser.handler();
    handler.chat = chat;
    json::error_code code;
    const std::size_t used = parser.write_some(false, text.data(), text.size(), code);
    if (!code && used < text.size()) {
        code = json::error::extra_data;
    }
    if (code) {
        return Error {ResultCode::MalformedRequest,
                      "the body is not valid JSON at byte " + std::to_string(used) + ": " + code.message(),
                      std::nullopt};
    }
    if (!handler.violation.empty()) {
        return invalid(handler.violation);
    }
    if (handler.body.model.empty()) {
        return invalid("model is missing");
    }
    if (!handler.hasPrompt) {
        return invalid(chat ? "messages is missing" : "prompt is missing");
    }
    handler.body.promptTokens = handler.prompt.tokens();
    if (handler.body.promptTokens == Tokens(0)) {
        return invalid("the prompt is empty");
    }
    handler.body.prefixHashes = handler.prompt.takeHashes();
    return std::move(handler.body);
}

} // namespace ibismast
