#include "marjoramloom/call/completion_body.h"

#include "marjoramloom/core/hash.h"

#include <algorithm>
#include <boost/json.hpp>

namespace marjoramloom {

namespace json = boost::json;

namespace {

/// Average length of a token of English text.
constexpr std::uint64_t BYTES_PER_TOKEN = 4;

auto isMessage(const json::value &value) -> bool
{
    const auto *message = value.if_object();
    const auto *role = message ? message->if_contains("role") : nullptr;
    const auto *content = message ? message->if_contains("content") : nullptr;
    return role && role->is_string() && content && content->is_string();
}

auto formatEvent(const std::string &id, const json::value &body) -> std::string
{
    return "id: " + id + "\ndata: " + json::serialize(body) + "\n\n";
}

} // namespace

completion_body::completion_body(json::object request)
    : m_request(std::move(request))
{
}

auto completion_body::parse(const std::string &body, last_reason &why) -> std::optional<completion_body>
{
    const auto refuse = [&](std::string_view what) {
        return why.fail(failure_kind::invalidInput, "read request", "", what);
    };
    auto error = boost::system::error_code();
    auto parsed = json::parse(body, error);
    if (error || !parsed.is_object()) {
        return refuse("not a JSON object");
    }
    auto result = completion_body(std::move(parsed.get_object()));
    const auto *model = result.m_request.if_contains("model");
    if (!model || !model->is_string()) {
        return refuse("model: a string is required");
    }
    const auto *messages = result.m_request.if_contains("messages");
    if (!messages || !messages->is_array() || messages->get_array().empty()) {
        return refuse("messages: a list of at least one message is required");
    }
    if (!std::ranges::all_of(messages->get_array(), isMessage)) {
        return refuse("messages: each needs a role and a content, both strings");
    }
    const auto *stream = result.m_request.if_contains("stream");
    if (stream && !stream->is_bool()) {
        return refuse("stream: true or false is required");
    }
    const auto *limit = result.m_request.if_contains("max_tokens");
    if (limit && !limit->is_null()) {
        result.m_maxTokens = limit->to_number<std::uint64_t>(error);
        if (error || result.m_maxTokens == 0) {
            return refuse("max_tokens: a positive integer is required");
        }
    }
    result.m_model = model->get_string();
    result.m_stream = stream && stream->get_bool();
    return result;
}

auto completion_body::continuation(const std::string &textSoFar, std::uint64_t generatedTokens) const -> std::string
{
    auto request = m_request;
    request["stream"] = true;
    if (m_maxTokens > 0) {
        request["max_tokens"] = m_maxTokens - std::min(m_maxTokens, generatedTokens);
    }
    if (!textSoFar.empty()) {
        auto &messages = request["messages"].get_array();
        const auto continues = messages.back().at("role") == "assistant";
        if (continues) {
            // An engine continues only the last message, so the text is appended to the caller's own assistant prefix.
            auto &content = messages.back().at("content").get_string();
            content.append(textSoFar);
        } else {
            messages.push_back(json::object{ { "role", "assistant" }, { "content", textSoFar } });
        }
    }
    return json::serialize(request);
}

auto completion_body::limitReached(std::uint64_t generatedTokens) const -> bool
{
    return m_maxTokens > 0 && generatedTokens >= m_maxTokens;
}

auto completion_body::model() const -> const std::string &
{
    return m_model;
}

auto completion_body::stream() const -> bool
{
    return m_stream;
}

auto completion_body::maxTokens() const -> std::uint64_t
{
    return m_maxTokens;
}

auto completion_body::estimatedPromptTokens() const -> std::uint64_t
{
    auto bytes = std::uint64_t();
    for (const auto &message : m_request.at("messages").get_array()) {
        bytes += message.at("content").get_string().size();
    }
    return bytes / BYTES_PER_TOKEN + 1;
}

auto completion_body::prefixHash() const -> std::uint64_t
{
    const auto &messages = m_request.at("messages").get_array();
    const auto shared = std::max<std::size_t>(1, messages.size() - 1);
    auto hash = hash64(m_model);
    for (auto index = std::size_t(0); index < shared; ++index) {
        hash = hash64(std::string_view(messages[index].at("content").get_string()), hash);
    }
    return hash;
}

auto completionAnswer(const std::string &requestId, const std::string &model, const std::string &text,
                      const std::string &finishReason, const call_result &result) -> std::string
{
    const auto message = json::object{ { "role", "assistant" }, { "content", text } };
    const auto choice = json::object{ { "index", 0 }, { "message", message }, { "finish_reason", finishReason } };
    const auto usage = json::object{ { "prompt_tokens", result.promptTokens },
                                     { "completion_tokens", result.generatedTokens },
                                     { "total_tokens", result.promptTokens + result.generatedTokens } };
    const auto answer = json::object{ { "id", requestId },
                                      { "object", "chat.completion" },
                                      { "model", model },
                                      { "choices", json::array{ choice } },
                                      { "usage", usage } };
    return json::serialize(answer);
}

auto streamEvent(const std::string &requestId, const std::string &model, const answer_piece &piece) -> std::string
{
    const auto finish = piece.last ? json::value(piece.finishReason) : json::value(nullptr);
    const auto delta = json::object{ { "content", piece.text } };
    const auto choice = json::object{ { "index", 0 }, { "delta", delta }, { "finish_reason", finish } };
    const auto event = json::object{ { "id", requestId },
                                     { "object", "chat.completion.chunk" },
                                     { "model", model },
                                     { "choices", json::array{ choice } } };
    return formatEvent(requestId + ':' + std::to_string(piece.sequence), event);
}

auto streamEnd(const std::string &requestId, std::uint64_t sequence) -> std::string
{
    return "id: " + requestId + ':' + std::to_string(sequence) + "\ndata: [DONE]\n\n";
}

auto streamError(const std::string &requestId, const last_reason &reason) -> std::string
{
    const auto error = json::object{
        { "kind", nameOf(reason.kind) }, { "step", reason.step }, { "peer", reason.peer }, { "detail", reason.detail }
    };
    return "event: error\ndata: " + json::serialize(json::object{ { "id", requestId }, { "error", error } }) + "\n\n";
}

} // namespace marjoramloom
