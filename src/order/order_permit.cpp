#include "marjoramloom/order/order_permit.h"

#include <cassert>

namespace marjoramloom {

order_permit::order_permit(order_machine machine, abandon_handler onAbandon)
    : m_machine(std::make_unique<order_machine>(std::move(machine)))
    , m_onAbandon(std::move(onAbandon))
{
    assert(m_machine->step() == order_step::send);
}

order_permit::order_permit(order_permit &&other) noexcept
    : m_machine(std::move(other.m_machine))
    , m_onAbandon(std::move(other.m_onAbandon))
    , m_sendingBegun(other.m_sendingBegun)
{
}

order_permit::~order_permit()
{
    if (!m_machine) {
        return;
    }
    if (m_sendingBegun) {
        m_machine->concludeSending(sending_result::unknown, {}, 0);
    } else {
        m_machine->giveUp();
    }
    m_onAbandon(std::move(*m_machine));
}

auto order_permit::beginSending() -> bool
{
    if (!m_machine || !m_machine->beginSending()) {
        return false;
    }
    m_sendingBegun = true;
    return true;
}

auto order_permit::release() -> order_machine
{
    assert(m_machine);
    const auto machine = std::move(m_machine);
    return std::move(*machine);
}

} // namespace marjoramloom
