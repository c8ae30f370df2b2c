#pragma once

#include "marjoramloom/core/clock.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace marjoramloom {

/// An engine as a place for a prompt.
struct engine_candidate
{
    std::uint64_t home = 0; ///< From homeScore(): the highest among the candidates is the prompt's home.
    std::uint32_t running = 0; ///< Requests at the engine.
    std::uint32_t slots = 1;
    std::uint64_t unreadTokens = 0; ///< Prompt tokens ahead of a new request.
    std::uint32_t keptTokens = 0; ///< Of this prompt, taken to be kept there.
    bool avoided = false; ///< Failed lately.
};

struct engine_choice
{
    std::size_t index = 0; ///< Of the candidate.
    std::uint32_t tokensToRead = 0;
    duration wait{}; ///< Until the engine begins to read the prompt.
    duration firstEvent{}; ///< Expected time to the first event.
};

/// How engines read prompts.
struct reading_pace
{
    /// Of the prompt itself, while other requests' tokens are generated in between.
    double tokensPerMs = 31;
    /// Of the prompts ahead. More, as they count in full until their first events, when they have long been read.
    double aheadPerMs = 60;
    duration overhead = std::chrono::milliseconds(20); ///< From the send to the first event without any reading.
};

/// Chooses the engine whose first event is to be expected soonest.
///
/// The load it answers: prompts with long shared parts, of which every engine can keep only some, and arrivals in
/// clumps. What counts is what an engine has still to read, other requests' prompts included; a prompt's home engine
/// keeps its shared parts, so sessions stay together until their home is so loaded that reading anew elsewhere is
/// faster. Thread safe: it holds no state.
class prompt_placement
{
public:
    explicit prompt_placement(reading_pace pace);

    /// The best of \p candidates for a prompt of \p promptTokens; nothing where every engine is full.
    [[nodiscard]] auto choose(std::span<const engine_candidate> candidates, std::uint32_t promptTokens) const
        -> std::optional<engine_choice>;

    /// Rank of an engine for prompts whose shared parts end with \p sharedPart; equal on every router.
    [[nodiscard]] static auto homeScore(std::string_view server, std::uint64_t sharedPart) -> std::uint64_t;

private:
    [[nodiscard]] auto waitAt(const engine_candidate &candidate) const -> duration;
    [[nodiscard]] auto expected(const engine_candidate &candidate, std::uint32_t promptTokens) const -> duration;

    reading_pace m_pace;
};

} // namespace marjoramloom
