#pragma once

#include "marjoramloom/core/clock.h"

#include <cstdint>

namespace marjoramloom {

/// How short the engines' KV memory is for keeping shared prefixes, from 0 (enough) to 1.
///
/// A prefix is worth keeping for some seconds after its last use. Memory is short where the prompts of that time exceed
/// it: every prefix that is prefilled at a second engine then evicts others that will be used sooner. \p sentTokens are
/// the tokens of the prompts that were sent within \p window, and \p kvTokens the KV memory of all engines. Thread
/// safe.
[[nodiscard]] auto memoryShortage(std::uint64_t sentTokens, duration window, std::uint64_t kvTokens) -> double;

} // namespace marjoramloom
