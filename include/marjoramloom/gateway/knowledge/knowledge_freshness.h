#pragma once

#include "marjoramloom/core/boot_clock.h"

#include <chrono>

namespace marjoramloom {

/// Tracks how recently what this router knows of an object in the store, or of a list of them, was validated.
///
/// The store's contents may change while the router is cut off or suspended: a key may be revoked, or servers of
/// another software version may join. The router therefore relies on what it knows only for a limited lifetime after
/// the start of a read that showed it to be the newest. The time while the machine is suspended counts too. Not thread
/// safe.
class knowledge_freshness
{
public:
    /// Precondition: \p lifetime is positive.
    explicit knowledge_freshness(std::chrono::milliseconds lifetime);

    /// Precondition: \p lifetime is positive.
    auto setLifetime(std::chrono::milliseconds lifetime) -> void;

    /// Records that a read that began at \p readStartedAt showed that this router knows the newest contents.
    auto noteValidation(boot_time readStartedAt) -> void;

    /// Whether the contents were validated within the lifetime.
    [[nodiscard]] auto isFresh(boot_time now) const -> bool;

    /// Age of the newest validation; the largest duration before the first.
    [[nodiscard]] auto age(boot_time now) const -> boot_clock::duration;

private:
    std::chrono::milliseconds m_lifetime;
    boot_time m_validatedAt = boot_time::min();
};

} // namespace marjoramloom
