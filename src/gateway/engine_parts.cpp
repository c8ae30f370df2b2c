#include "marjoramloom/gateway/engine_parts.h"

#include "marjoramloom/core/hash.h"
#include "marjoramloom/gateway/prompt_placement.h"

namespace marjoramloom {

namespace {

/// Engines that one dispatcher places for: at 50,000 prompt tokens a second and engine, some 600 prompts a second.
constexpr std::size_t enginesPerPart = 40;
/// Seed of the division into parts.
constexpr std::uint64_t partSeed = 2;

auto partIndex(const std::string &server, std::uint32_t count) -> std::uint32_t
{
    return static_cast<std::uint32_t>(hash64(server, partSeed) % count);
}

} // namespace

auto engine_part::holds(const std::string &server) const -> bool
{
    return count <= 1 || partIndex(server, count) == index;
}

auto partCount(std::size_t engines) -> std::uint32_t
{
    auto count = std::uint32_t(1);
    while (count * enginesPerPart < engines) {
        count *= 2;
    }
    return count;
}

auto sharedPart(const prompt_outline &prompt) -> std::uint64_t
{
    if (prompt.parts.empty()) {
        return 0;
    }
    return prompt.parts.size() == 1 ? prompt.parts.front().id : prompt.parts[prompt.parts.size() - 2].id;
}

auto partOf(const std::vector<server_directory::server_ptr> &engines, const prompt_outline &prompt) -> engine_part
{
    const auto count = partCount(engines.size());
    if (count == 1) {
        return {};
    }
    const auto shared = sharedPart(prompt);
    const server_directory::server_ptr *home = nullptr;
    auto best = std::uint64_t(0);
    for (const auto &engine : engines) {
        const auto score = prompt_placement::homeScore(engine->id, shared);
        if (home == nullptr || score > best) {
            home = &engine;
            best = score;
        }
    }
    return { .index = partIndex((*home)->id, count), .count = count };
}

} // namespace marjoramloom
