#pragma once

#include <memory>

namespace marjoramloom {

/// Holds an immutable value that readers share and a writer replaces as a whole; readers never wait for writers.
///
/// Uses liburcu's read-copy-update in its "bulletproof" flavour, which registers threads automatically. The pointer
/// that a reader gets keeps its value alive, also across suspension points of a coroutine.
template<typename Value>
class rcu_cell
{
public:
    /// Precondition: \p initial is not null.
    explicit rcu_cell(std::shared_ptr<const Value> initial);
    ~rcu_cell();
    rcu_cell(const rcu_cell &) = delete;
    auto operator=(const rcu_cell &) -> rcu_cell & = delete;

    /// The current value. Thread safe; wait-free except for the increment of a shared reference count.
    [[nodiscard]] auto read() const -> std::shared_ptr<const Value>;

    /// Replaces the value. Precondition: \p next is not null. Thread safe; waits only for readers that
    /// are inside read().
    auto publish(std::shared_ptr<const Value> next) -> void;

private:
    using holder = std::shared_ptr<const Value>;

    holder *m_current;
};

} // namespace marjoramloom

#include "marjoramloom/core/rcu_cell.inl"
