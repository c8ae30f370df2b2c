#pragma once

#include <cstdint>
#include <string>

namespace marjoramloom {

/// Revisions of the platform's store, in one order across its eras.
///
/// The store counts its changes by a revision. When it returns from an older copy, a new era begins: the revision goes
/// back, and numbers are given out again for other changes. What is said in a later era is newer, whatever its number.
/// A revision is therefore kept as one integer with the era in its upper bits; only messages have the number alone.
/// The era is 0 for a store that states none. All functions are thread safe.
constexpr unsigned revisionNumberBits = 53; ///< Numbers are exact in JSON up to this size.
constexpr std::uint64_t maxRevisionNumber = (std::uint64_t(1) << revisionNumberBits) - 1;
constexpr std::uint32_t maxStoreEra = (std::uint32_t(1) << (64U - revisionNumberBits)) - 1;

/// Preconditions: \p era is at most maxStoreEra, \p number at most maxRevisionNumber.
constexpr auto orderedRevision(std::uint32_t era, std::uint64_t number) -> std::uint64_t
{
    return (std::uint64_t(era) << revisionNumberBits) | (number & maxRevisionNumber);
}

/// The era of \p revision.
constexpr auto eraOf(std::uint64_t revision) -> std::uint32_t
{
    return static_cast<std::uint32_t>(revision >> revisionNumberBits);
}

/// The number by which the store knows \p revision within its era.
constexpr auto revisionNumber(std::uint64_t revision) -> std::uint64_t
{
    return revision & maxRevisionNumber;
}

/// \p revision for logs: the number, after the era if there is one.
inline auto revisionText(std::uint64_t revision) -> std::string
{
    const auto number = std::to_string(revisionNumber(revision));
    return eraOf(revision) == 0 ? number : std::to_string(eraOf(revision)) + ":" + number;
}

} // namespace marjoramloom
