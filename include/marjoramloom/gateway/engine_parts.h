#pragma once

#include "marjoramloom/gateway/routed_request.h"
#include "marjoramloom/gateway/server_directory.h"

#include <cstdint>
#include <vector>

namespace marjoramloom {

/// One part of a service's engines, with a dispatcher of its own.
///
/// The load it answers: one router cannot place all prompts of a service with many engines. A prompt belongs to the
/// part of its home engine, so sessions stay together and each part gets prompts in proportion to its engines.
struct engine_part
{
    std::uint32_t index = 0;
    std::uint32_t count = 1; ///< Parts of the service.

    /// Whether the engine with the id \p server belongs to this part.
    [[nodiscard]] auto holds(const std::string &server) const -> bool;
};

/// Number of parts for \p engines of a service: a power of two, as sessions change their engines when it changes.
/// Thread safe.
auto partCount(std::size_t engines) -> std::uint32_t;

/// The id by which prompts that share all but their last part find the same engine. Thread safe.
auto sharedPart(const prompt_outline &prompt) -> std::uint64_t;

/// The part of \p engines that \p prompt belongs to. Thread safe.
auto partOf(const std::vector<server_directory::server_ptr> &engines, const prompt_outline &prompt) -> engine_part;

} // namespace marjoramloom
