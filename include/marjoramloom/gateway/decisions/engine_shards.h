#pragma once

#include "marjoramloom/gateway/knowledge/server_directory.h"
#include "marjoramloom/gateway/traffic/routed_request.h"

#include <cstdint>
#include <vector>

namespace marjoramloom {

/// One shard of a service's engines; each shard has its own dispatcher.
///
/// Shards exist because one router cannot place all prompts of a service with many engines. A prompt belongs to the
/// shard of its home engine, so a session stays in one shard and each shard gets prompts in proportion to its engines.
struct engine_shard
{
    std::uint32_t index = 0;
    std::uint32_t count = 1; ///< Number of shards of the service.

    /// Whether the engine with the id \p server belongs to this shard.
    [[nodiscard]] auto contains(const std::string &server) const -> bool;
};

/// Number of shards of a service with that many \p engines. It is a power of two so that it changes rarely: sessions
/// move to other engines when it does. Thread safe.
auto shardCount(std::size_t engines) -> std::uint32_t;

/// Id of the prefix that \p prompt shares with others, which selects its home engine: the id of the last block but one,
/// of the only block if there is just one, or 0 without blocks. Thread safe.
auto sharedPrefixId(const prompt_summary &prompt) -> std::uint64_t;

/// The shard of \p engines that \p prompt belongs to. Thread safe.
auto shardOf(const std::vector<server_directory::server_ptr> &engines, const prompt_summary &prompt) -> engine_shard;

} // namespace marjoramloom
