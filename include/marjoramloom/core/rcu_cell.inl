#include <cassert>
#include <urcu-bp.h>

namespace marjoramloom {

template<typename Value>
rcu_cell<Value>::rcu_cell(std::shared_ptr<const Value> initial)
    : m_current(new holder(std::move(initial)))
{
    assert(*m_current);
}

template<typename Value>
rcu_cell<Value>::~rcu_cell()
{
    delete m_current;
}

template<typename Value>
auto rcu_cell<Value>::read() const -> std::shared_ptr<const Value>
{
    urcu_bp_read_lock();
    auto copy = *rcu_dereference(m_current);
    urcu_bp_read_unlock();
    return copy;
}

template<typename Value>
auto rcu_cell<Value>::publish(std::shared_ptr<const Value> next) -> void
{
    assert(next);
    auto *fresh = new holder(std::move(next));
    auto *previous = rcu_xchg_pointer(&m_current, fresh);
    urcu_bp_synchronize_rcu();
    delete previous;
}

} // namespace marjoramloom
