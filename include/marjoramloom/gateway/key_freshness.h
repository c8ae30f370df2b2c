#pragma once

#include "marjoramloom/core/boot_clock.h"

#include <chrono>

namespace marjoramloom {

/// Whether the keys that this router knows are proved to be in force.
///
/// An account's key may be taken away while the router is cut off or suspended. The router therefore serves keyed
/// requests only for a limited time after a read of the configuration began that showed nothing newer; time counts
/// while the machine is suspended, too. Not thread safe.
class key_freshness
{
public:
    /// Precondition: \p lifetime is positive.
    explicit key_freshness(std::chrono::milliseconds lifetime);

    /// Replaces the lifetime. Precondition: \p lifetime is positive.
    auto setLifetime(std::chrono::milliseconds lifetime) -> void;

    /// A read that began at \p askedAt showed the newest configuration, and it is in force here.
    auto noteProof(boot_time askedAt) -> void;

    /// Whether keyed requests may be sent on.
    [[nodiscard]] auto holds(boot_time now) const -> bool;

    /// Age of the newest proof; the largest duration before the first.
    [[nodiscard]] auto age(boot_time now) const -> boot_clock::duration;

private:
    std::chrono::milliseconds m_lifetime;
    boot_time m_provedAt = boot_time::min();
};

} // namespace marjoramloom
