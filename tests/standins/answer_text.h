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

/// The pieces (one per token) that an engine generates for a request, and why it stops.
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

/// Words of every answer; some need escapes in JSON or look like parts of the protocol.
inline constexpr auto answerWords = std::array<std::string_view, 16>{
    "sensor", "coach", "the", "plate", "\"quoted\"", "caf\u00e9", "line\nbreak", "back\\slash",
    "lamp",   "hinge", "of",  "data:", "[DONE]",     "\t",        "outlet",      "\u12a0\u12f2\u1235",
};

/// Tokens asked for by `tokens=N` in \p text, or 0.
inline auto askedTokens(std::string_view text) -> std::size_t
{
    constexpr auto key = std::string_view("tokens=");
    const auto at = text.rfind(key);
    return at == std::string_view::npos ? 0
                                        : std::strtoull(std::string(text.substr(at + key.size())).c_str(), nullptr, 10);
}

/// Whether the last message is the start of an answer that is to be continued.
inline auto hasAnswerPrefix(const std::vector<chat_message> &messages) -> bool
{
    return !messages.empty() && messages.back().role == "assistant";
}

/// The whole answer to \p messages, without regard to a trailing assistant message: a pure function of the others.
inline auto wholeAnswer(const std::vector<chat_message> &messages) -> generated_answer
{
    constexpr auto shortestAnswer = std::size_t(8);
    constexpr auto lengthSpread = std::size_t(40);
    const auto count = messages.size() - (hasAnswerPrefix(messages) ? 1 : 0);
    auto seed = std::uint64_t(0);
    auto asked = std::size_t(0);
    for (auto at = std::size_t(0); at < count; ++at) {
        seed = marjoramloom::hash64(messages[at].role + "\n" + messages[at].content, seed);
        if (messages[at].role == "user") {
            asked = askedTokens(messages[at].content);
        }
    }
    const auto length = asked != 0 ? asked : shortestAnswer + seed % lengthSpread;
    auto answer = generated_answer();
    for (auto at = std::size_t(0); at < length; ++at) {
        const auto draw = marjoramloom::hash64(std::to_string(at), seed);
        answer.tokens.push_back(std::string(answerWords.at(draw % answerWords.size())) + std::to_string(draw % 997)
                                + " ");
    }
    return answer;
}

/// What an engine generates for \p messages: the whole answer, or what follows a trailing assistant message that is a
/// prefix of it, at most \p maxTokens tokens (0: no limit).
inline auto expectedAnswer(const std::vector<chat_message> &messages, std::size_t maxTokens = 0) -> generated_answer
{
    auto answer = wholeAnswer(messages);
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
