#pragma once

#include <memory>

namespace marjoramloom {

/// A shared immutable value: readers never wait for writers, and a writer replaces the whole value.
///
/// Read-copy-update of liburcu (its "bulletproof" flavour, which registers threads by itself). A reader's reference
/// stays valid for as long as it is held, also across suspension points.
template<typename Value>
class rcu_cell
{
public:
    /// Precondition: \p initial is not null.
    explicit rcu_cell(std::shared_ptr<const Value> initial);
    ~rcu_cell();
    rcu_cell(const rcu_cell &) = delete;
    auto operator=(const rcu_cell &) -> rcu_cell & = delete;

    /// The current value. Thread safe, wait-free but for one reference count.
    [[nodiscard]] auto read() const -> std::shared_ptr<const Value>;

    /// Replaces the value. Precondition: \p next is not null. Thread safe; waits for readers inside read() only.
    auto publish(std::shared_ptr<const Value> next) -> void;

private:
    using holder = std::shared_ptr<const Value>;

    holder *m_current;
};

} // namespace marjoramloom

#include "marjoramloom/core/rcu_cell.inl"
