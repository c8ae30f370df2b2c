#pragma once

#include "marjoramloom/core/hash.h"

#include <array>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

namespace standins {

/// One message of a completions request.
struct chat_message
{
    std::string role;
    std::string content;
};

/// Answer that an engine generates for a request: the text of each token, and the finish reason.
struct generated_answer
{
    std::vector<std::string> tokens;
    std::string finishReason = "stop";

    [[nodiscard]] auto text() const -> std::string
    {
        auto whole = std::string();
        for (const auto &token : tokens) {
            whole += token;
        }
        return whole;
    }
};

/// Words that answers consist of. Some need escapes in JSON or look like parts of the event stream protocol.
inline constexpr auto answerWords = std::array<std::string_view, 16>{
    "sensor", "coach", "the", "plate", "\"quoted\"", "caf\u00e9", "line\nbreak", "back\\slash",
    "lamp",   "hinge", "of",  "data:", "[DONE]",     "\t",        "outlet",      "\u12a0\u12f2\u1235",
};

/// Number of tokens requested by `tokens=N` in \p text, 0 if there is none.
inline auto requestedTokens(std::string_view text) -> std::size_t
{
    constexpr auto key = std::string_view("tokens=");
    const auto at = text.rfind(key);
    return at == std::string_view::npos ? 0
                                        : std::strtoull(std::string(text.substr(at + key.size())).c_str(), nullptr, 10);
}

/// Whether the last message is the start of an answer, which the engine has to continue.
inline auto hasAnswerPrefix(const std::vector<chat_message> &messages) -> bool
{
    return !messages.empty() && messages.back().role == "assistant";
}

/// The complete answer to \p messages. It depends on the messages only, and ignores a trailing assistant message.
inline auto completeAnswer(const std::vector<chat_message> &messages) -> generated_answer
{
    constexpr auto minTokens = std::size_t(8);
    constexpr auto tokenSpread = std::size_t(40);
    const auto count = messages.size() - (hasAnswerPrefix(messages) ? 1 : 0);
    auto seed = std::uint64_t(0);
    auto requested = std::size_t(0);
    for (auto at = std::size_t(0); at < count; ++at) {
        seed = marjoramloom::hash64(messages[at].role + "\n" + messages[at].content, seed);
        if (messages[at].role == "user") {
            requested = requestedTokens(messages[at].content);
        }
    }
    const auto length = requested != 0 ? requested : minTokens + seed % tokenSpread;
    auto answer = generated_answer();
    for (auto at = std::size_t(0); at < length; ++at) {
        const auto draw = marjoramloom::hash64(std::to_string(at), seed);
        answer.tokens.push_back(std::string(answerWords.at(draw % answerWords.size())) + std::to_string(draw % 997)
                                + " ");
    }
    return answer;
}

/// The answer that an engine generates for \p messages: the complete answer, or the rest of it if a trailing assistant
/// message holds its start; at most \p maxTokens tokens (0: no limit).
inline auto expectedAnswer(const std::vector<chat_message> &messages, std::size_t maxTokens = 0) -> generated_answer
{
    auto answer = completeAnswer(messages);
    if (hasAnswerPrefix(messages) && answer.text().starts_with(messages.back().content)) {
        auto skip = messages.back().content.size();
        auto rest = std::vector<std::string>();
        for (const auto &token : answer.tokens) {
            const auto cut = std::min(skip, token.size());
            skip -= cut;
            if (cut < token.size()) {
                rest.push_back(token.substr(cut));
            }
        }
        answer.tokens = rest;
    }
    if (maxTokens != 0 && answer.tokens.size() > maxTokens) {
        answer.tokens.resize(maxTokens);
        answer.finishReason = "length";
    }
    return answer;
}

} // namespace standins
