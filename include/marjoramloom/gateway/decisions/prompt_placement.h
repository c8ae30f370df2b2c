#pragma once

#include "marjoramloom/core/clock.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace marjoramloom {

/// State of one engine, for the placement of one prompt.
struct engine_candidate
{
    /// From prompt_placement::homeScore(); the candidate with the highest score is the prompt's home engine.
    std::uint64_t homeScore = 0;
    std::uint32_t running = 0; ///< Requests at the engine.
    std::uint32_t slots = 1; ///< Requests that the engine accepts at once.
    std::uint64_t pendingPrefillTokens = 0; ///< Prompt tokens that the engine has to prefill before a new request's.
    std::uint32_t cachedTokens = 0; ///< Tokens of this prompt in the engine's prefix cache, by estimate.
    bool avoided = false; ///< The engine failed recently.
    bool outOfMemory = false; ///< The prompt does not fit into the KV memory that the engine's requests leave.
};

/// The engine chosen for a prompt, and what is expected of it.
struct engine_choice
{
    std::size_t index = 0; ///< Of the chosen candidate.
    std::uint32_t prefillTokens = 0; ///< Tokens of the prompt that are not cached.
    duration wait{}; ///< Expected time until the engine begins to prefill the prompt.
    duration firstEvent{}; ///< Expected time to the first event.
    /// Weighted time to prefill shared tokens that another engine has cached. Other prompts wait for it, so admission
    /// counts it like a wait; 0 where memory is not short.
    duration delayToOthers{};
};

/// What prefilling a shared prefix again costs the other prompts.
struct reread_cost
{
    std::uint32_t sharedTokens = 0; ///< Of the prompt, its shared prefix.
    /// From memoryShortage(). At 0 only the prompt's own delay counts.
    double memoryShortage = 0;
};

/// Model of the engines' prefill speed.
struct prefill_rate
{
    /// For the prompt itself, while the engine also decodes other requests.
    double tokensPerMs = 31;
    /// For the prompts ahead. It is higher because their tokens count in full until their first event, when most of
    /// them have long been prefilled.
    double queuedTokensPerMs = 60;
    duration overhead = std::chrono::milliseconds(20); ///< From the send to the first event without any prefill.
};

/// Chooses the engine with the earliest expected first event.
///
/// It is made for prompts with long shared prefixes, of which each engine can cache only some, and for bursts of
/// arrivals. The cost of an engine is its pending prefill work, including other requests' prompts. A prompt's home
/// engine usually has its shared prefix cached, so a session stays at its home engine until that is so loaded that
/// prefilling the whole prompt elsewhere is faster. Where the engines' memory is short, the tokens that an engine would
/// prefill although another one has them cached also count as a cost: they delay other prompts and evict what these
/// need. Thread safe: immutable.
class prompt_placement
{
public:
    explicit prompt_placement(prefill_rate rate);

    /// The best of \p candidates for a prompt of \p promptTokens; nothing if every engine is full.
    [[nodiscard]] auto choose(std::span<const engine_candidate> candidates, std::uint32_t promptTokens,
                              const reread_cost &reread = {}) const -> std::optional<engine_choice>;

    /// What is expected of \p candidate for a prompt of \p promptTokens; the index is not set.
    [[nodiscard]] auto estimate(const engine_candidate &candidate, std::uint32_t promptTokens) const -> engine_choice;

    /// Whether \p candidate has a slot for another prompt.
    [[nodiscard]] auto hasFreeSlot(const engine_candidate &candidate) const -> bool;

    /// Score of the engine \p server for prompts with the shared prefix \p sharedPrefixId (rendezvous hashing); equal
    /// on every router.
    [[nodiscard]] static auto homeScore(std::string_view server, std::uint64_t sharedPrefixId) -> std::uint64_t;

private:
    [[nodiscard]] auto rereadWeight(std::span<const engine_candidate> candidates, double memoryShortage) const
        -> double;
    [[nodiscard]] auto queueWait(const engine_candidate &candidate) const -> duration;
    [[nodiscard]] auto expectedFirstEvent(const engine_candidate &candidate, std::uint32_t promptTokens) const
        -> duration;

    prefill_rate m_rate;
};

} // namespace marjoramloom
