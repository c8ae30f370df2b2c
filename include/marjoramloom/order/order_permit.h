#pragma once

#include "marjoramloom/order/order_machine.h"

#include <functional>
#include <memory>

namespace marjoramloom {

/// The exclusive permission to send one order. Its holder returns it to the order_ledger that issued it, by
/// order_ledger::conclude().
///
/// If it is destroyed before, the order counts as never sent or, after beginSending(), as sent with an unknown outcome,
/// and the ledger settles the record in the background. Not thread safe: it belongs to the session of one HTTP client.
class order_permit
{
public:
    using abandon_handler = std::function<void(order_machine)>;

    /// The destructor calls \p onAbandon with the machine unless the permit was returned. Preconditions: the machine's
    /// step is send; \p onAbandon stays callable as long as the permit lives.
    order_permit(order_machine machine, abandon_handler onAbandon);
    ~order_permit();
    order_permit(order_permit &&other) noexcept;
    auto operator=(order_permit &&other) noexcept -> order_permit & = delete;
    order_permit(const order_permit &) = delete;
    auto operator=(const order_permit &) -> order_permit & = delete;

    /// Call right before the first byte of the order is sent. Returns true exactly once, and only then may the order be
    /// sent. A further attempt after one that certainly sent nothing, such as a failed connect, needs no new call.
    [[nodiscard]] auto beginSending() -> bool;

    /// Whether beginSending() was called.
    [[nodiscard]] auto mayHaveBeenSent() const -> bool
    {
        return m_sendingBegun;
    }

private:
    template<object_store Store>
    friend class order_ledger;

    /// Takes the machine out, so that the destructor does not report the order as abandoned.
    auto release() -> order_machine;

    std::unique_ptr<order_machine> m_machine;
    abandon_handler m_onAbandon;
    bool m_sendingBegun = false;
};

} // namespace marjoramloom
