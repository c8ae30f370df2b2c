#pragma once

#include "marjoramloom/core/boot_clock.h"

#include <chrono>

namespace marjoramloom {

/// Tracks how recently the API keys that this router knows were validated.
///
/// A key may be revoked while the router is cut off or suspended. The router therefore serves requests with keys only
/// for a limited lifetime after the start of a read that showed its configuration to be the newest. The time while the
/// machine is suspended counts too. Not thread safe.
class key_freshness
{
public:
    /// Precondition: \p lifetime is positive.
    explicit key_freshness(std::chrono::milliseconds lifetime);

    /// Precondition: \p lifetime is positive.
    auto setLifetime(std::chrono::milliseconds lifetime) -> void;

    /// Records that a read that began at \p readStartedAt showed that this router uses the newest configuration.
    auto noteValidation(boot_time readStartedAt) -> void;

    /// Whether requests with keys may be forwarded.
    [[nodiscard]] auto isFresh(boot_time now) const -> bool;

    /// Age of the newest validation; the largest duration before the first.
    [[nodiscard]] auto age(boot_time now) const -> boot_clock::duration;

private:
    std::chrono::milliseconds m_lifetime;
    boot_time m_validatedAt = boot_time::min();
};

} // namespace marjoramloom
