#pragma once

#include "marjoramloom/call/call_types.h"

#include <boost/json/object.hpp>
#include <optional>
#include <string>

namespace marjoramloom {

/// A parsed completions request, from which a follow-up request for the rest of its answer can be built. Not thread
/// safe.
class completion_body
{
public:
    /// Parses a caller's request. Returns nothing (why: invalidInput) if it is not a valid completions request.
    static auto parse(const std::string &body, last_reason &why) -> std::optional<completion_body>;

    /// Builds the request for the part of the answer after \p textSoFar, which took \p generatedTokens tokens. The
    /// request always asks for a stream.
    [[nodiscard]] auto continuation(const std::string &textSoFar, std::uint64_t generatedTokens) const -> std::string;

    /// Whether \p generatedTokens reach the caller's max_tokens.
    [[nodiscard]] auto limitReached(std::uint64_t generatedTokens) const -> bool;

    [[nodiscard]] auto model() const -> const std::string &;
    /// Whether the caller asked for a stream.
    [[nodiscard]] auto stream() const -> bool;
    /// The caller's max_tokens; 0 where absent.
    [[nodiscard]] auto maxTokens() const -> std::uint64_t;
    /// Number of prompt tokens, estimated from the prompt's length.
    [[nodiscard]] auto estimatedPromptTokens() const -> std::uint64_t;
    /// Hash of the model and all messages except the last, or of the only message.
    [[nodiscard]] auto prefixHash() const -> std::uint64_t;

private:
    explicit completion_body(boost::json::object request);

    boost::json::object m_request;
    std::string m_model;
    std::uint64_t m_maxTokens = 0;
    bool m_stream = false;
};

/// Formats the JSON answer for a caller that did not ask for a stream. Thread safe.
auto completionAnswer(const std::string &requestId, const std::string &model, const std::string &text,
                      const std::string &finishReason, const call_result &result) -> std::string;

/// Formats \p piece as a server-sent event for a caller that asked for a stream. Thread safe.
auto streamEvent(const std::string &requestId, const std::string &model, const answer_piece &piece) -> std::string;

/// Formats the end marker of a complete stream as event number \p sequence. Thread safe.
auto streamEnd(const std::string &requestId, std::uint64_t sequence) -> std::string;

/// Formats the error event that ends a stream which cannot be completed. Thread safe.
auto streamError(const std::string &requestId, const last_reason &reason) -> std::string;

} // namespace marjoramloom
