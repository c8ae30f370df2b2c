#pragma once

#include "marjoramloom/order/order_machine.h"

#include <functional>
#include <memory>

namespace marjoramloom {

/// The only permission to send one order. It must come back to the ledger that gave it, by order_ledger::conclude.
///
/// One that is destroyed before counts as never sent, or, after beginSending(), as sent with an unknown outcome: the
/// ledger then settles the record in the background. Not thread safe: it belongs to one caller's session.
class order_permit
{
public:
    using abandon_handler = std::function<void(order_machine)>;

    /// Precondition: the machine's step is send; \p onAbandon may be called as long as the permit lives.
    order_permit(order_machine machine, abandon_handler onAbandon);
    ~order_permit();
    order_permit(order_permit &&other) noexcept;
    auto operator=(order_permit &&other) noexcept -> order_permit & = delete;
    order_permit(const order_permit &) = delete;
    auto operator=(const order_permit &) -> order_permit & = delete;

    /// To be called right before the first byte of the order goes out: true exactly once, and only then may it be sent.
    /// Attempts that are proved not to have sent anything, such as a failed connect, need no new call.
    [[nodiscard]] auto beginSending() -> bool;

    /// Whether beginSending() was called.
    [[nodiscard]] auto mayHaveBeenSent() const -> bool
    {
        return m_begun;
    }

private:
    template<object_store Store>
    friend class order_ledger;

    auto release() -> order_machine;

    std::unique_ptr<order_machine> m_machine;
    abandon_handler m_onAbandon;
    bool m_begun = false;
};

} // namespace marjoramloom
