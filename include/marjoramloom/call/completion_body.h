#pragma once

#include "marjoramloom/call/call_types.h"

#include <boost/json/object.hpp>
#include <optional>
#include <string>

namespace marjoramloom {

/// A completions request that can be asked again for the rest of its answer. Not thread safe.
class completion_body
{
public:
    /// Reads a caller's request; nothing (why: invalidInput) where it is not a completions request.
    static auto parse(const std::string &body, last_reason &why) -> std::optional<completion_body>;

    /// The request for what comes after \p textSoFar, of which \p generatedTokens were generated; always a stream.
    [[nodiscard]] auto continuation(const std::string &textSoFar, std::uint64_t generatedTokens) const -> std::string;

    /// Whether the caller's limit of tokens is used up after \p generatedTokens.
    [[nodiscard]] auto limitReached(std::uint64_t generatedTokens) const -> bool;

    [[nodiscard]] auto model() const -> const std::string &;
    /// Whether the caller asked for a stream.
    [[nodiscard]] auto stream() const -> bool;
    /// The caller's max_tokens; 0 where absent.
    [[nodiscard]] auto maxTokens() const -> std::uint64_t;
    /// The prompt's tokens, guessed from its length.
    [[nodiscard]] auto guessedPromptTokens() const -> std::uint64_t;
    /// Hash of the prompt's beginning: all messages but the last, or the only one.
    [[nodiscard]] auto prefixHash() const -> std::uint64_t;

private:
    explicit completion_body(boost::json::object request);

    boost::json::object m_request;
    std::string m_model;
    std::uint64_t m_maxTokens = 0;
    bool m_stream = false;
};

/// The JSON answer for a caller that did not ask for a stream. Thread safe.
auto completionAnswer(const std::string &requestId, const std::string &model, const std::string &text,
                      const std::string &finishReason, const call_result &result) -> std::string;

/// One server-sent event for a caller that asked for a stream. Thread safe.
auto streamEvent(const std::string &requestId, const std::string &model, const answer_piece &piece) -> std::string;

/// The end marker of a whole stream, with sequence \p sequence. Thread safe.
auto streamEnd(const std::string &requestId, std::uint64_t sequence) -> std::string;

/// The event that tells a caller that its stream cannot be completed. Thread safe.
auto streamError(const std::string &requestId, const last_reason &reason) -> std::string;

} // namespace marjoramloom
