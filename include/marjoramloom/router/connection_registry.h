#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>

namespace marjoramloom {

/// Decides which of the open connections of callers stay open if there are too many: a new connection takes the place
/// of the one that has been open longest without a request, or else of the one that has been idle longest. Connections
/// with a request keep their places.
///
/// Not thread safe: used on the only thread of an event loop.
class connection_registry
{
public:
    enum class state : std::uint8_t {
        silent, ///< Has not sent a byte yet.
        idle, ///< Was answered, and has sent nothing since.
        busy, ///< A request is being read or processed.
    };

    /// A registered connection, for as long as the object lives.
    class entry
    {
    public:
        /// Precondition: \p registry outlives the entry. \p close closes the connection; it is called once at most, and
        /// not from this constructor.
        entry(connection_registry &registry, std::function<void()> close);
        ~entry();
        entry(const entry &) = delete;
        auto operator=(const entry &) -> entry & = delete;

        /// Moves the entry to the end of the connections in \p next.
        auto setState(state next) -> void;

    private:
        friend class connection_registry;

        connection_registry &m_registry;
        std::function<void()> m_close;
        state m_state = state::silent;
        std::list<entry *>::iterator m_place;
    };

    /// Makes room for one more connection if \p limit or more are open, and closes another one for it if necessary.
    /// Returns false if all are busy.
    auto makeRoom(std::size_t limit) -> bool;

    /// Number of registered connections that were not asked to close.
    [[nodiscard]] auto size() const -> std::size_t;

private:
    auto listOf(state listed) -> std::list<entry *> &;

    std::list<entry *> m_silent;
    std::list<entry *> m_idle;
    std::list<entry *> m_busy;
    std::list<entry *> m_closing;
};

} // namespace marjoramloom
