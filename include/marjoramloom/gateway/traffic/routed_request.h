#pragma once

#include "marjoramloom/core/boot_clock.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace marjoramloom {

/// A block of a prompt's prefix that engines keep in their prefix cache after processing it.
struct prefix_block
{
    std::uint64_t id = 0; ///< Equal blocks of different prompts have the same id.
    std::uint32_t tokens = 0;
};

/// The headers of a request that describe its work for an engine.
struct prompt_summary
{
    std::vector<prefix_block> parts; ///< In order; a cached block saves work only if all blocks before it are cached.
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0; ///< Upper limit of the generated tokens.
    std::uint32_t expectedOutputTokens = 0; ///< The caller's estimate, often far off; 0 if it gives none.

    /// The best available estimate of the number of tokens that will be generated.
    [[nodiscard]] auto likelyOutputTokens() const -> std::uint32_t
    {
        return expectedOutputTokens > 0 ? expectedOutputTokens : outputTokens;
    }

    /// Cost that is charged to the client account: prompt tokens plus twice the expected output tokens.
    [[nodiscard]] auto costTokens() const -> std::uint64_t
    {
        return promptTokens + std::uint64_t(2) * likelyOutputTokens();
    }
};

/// The decoded head of a caller's request.
struct routed_request
{
    std::string id; ///< Unique; a retry by the caller has another id.
    std::string host;
    std::string path; ///< Without the query.
    std::optional<std::string> key; ///< API key of the client account; empty without one.
    std::optional<std::chrono::milliseconds> callerTimeout; ///< How long the caller waits for the answer.
    std::string resumedRequest; ///< Id of the request that brought the first event of the stream; empty for a new one.
    std::optional<std::int64_t> lastEventId; ///< The caller has received the events of the stream up to this id.
    prompt_summary prompt;
    boot_time arrived; ///< When the router began to process it.
};

} // namespace marjoramloom
