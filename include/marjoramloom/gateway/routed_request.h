#pragma once

#include "marjoramloom/core/boot_clock.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace marjoramloom {

/// A part of a prompt that engines keep once they have read it.
struct prompt_part
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// What a request says of the work that it asks of an engine.
struct prompt_outline
{
    std::vector<prompt_part> parts; ///< In order; a kept part helps only where all before it are kept too.
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0; ///< Upper limit.
    std::uint32_t expectedOutputTokens = 0; ///< The caller's guess, often far off; 0 where it gives none.

    /// The best guess of the tokens that will be generated.
    [[nodiscard]] auto likelyOutputTokens() const -> std::uint32_t
    {
        return expectedOutputTokens > 0 ? expectedOutputTokens : outputTokens;
    }
};

/// A caller's request, decoded.
struct routed_request
{
    std::string id; ///< Of this attempt of the caller; unique.
    std::string host;
    std::string path; ///< Without the query.
    std::optional<std::string> key;
    std::optional<std::chrono::milliseconds> callerLimit; ///< How long the caller waits.
    std::optional<std::int64_t> lastEventId; ///< The caller has a stream's events up to here.
    prompt_outline prompt;
    boot_time arrived; ///< When its first byte was read.
};

} // namespace marjoramloom
