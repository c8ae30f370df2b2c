#pragma once

#include "marjoramloom/core/clock.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

/// Decides who may hold how much of a router's memory for callers' requests and their answers.
///
/// A holder is one connection; a party is a client account, or a peer address while the account is not known. The bytes
/// of all holders together never exceed the limit. A holder that wants more than there is room for gets the room of
/// others in a fixed order: holders without progress first, the longest stalled one before the others, and then the
/// largest holder of the largest party, as long as that party, or within the same party that holder, holds more than
/// the one that asks. Pure: the caller evicts the victims. Not thread safe.
class memory_ledger
{
public:
    /// One holder of memory.
    class holder
    {
    public:
        /// Bytes that it holds.
        [[nodiscard]] auto bytes() const -> std::size_t
        {
            return m_bytes;
        }

        /// When it last made progress.
        [[nodiscard]] auto lastProgress() const -> time_point
        {
            return m_progress;
        }

    private:
        friend class memory_ledger;
        std::uint64_t m_party = 0;
        std::size_t m_bytes = 0;
        time_point m_progress{};
        bool m_evictable = false;
        std::list<holder>::iterator m_place;
    };

    /// The answer to a wish for more memory.
    struct verdict
    {
        bool granted = false;
        std::vector<holder *> victims; ///< If not granted: holders whose memory would make room. May be empty.
    };

    /// A holder that has made no progress for this long is stalled. A client within the limits sends a body within the
    /// header timeout (3 s), without pauses of this length unless packets are lost several times in a row.
    static constexpr duration STALL_TIME = std::chrono::milliseconds(700);

    explicit memory_ledger(std::size_t limitBytes);

    /// Changes the limit. Holders above a smaller limit keep what they hold.
    auto setLimit(std::size_t limitBytes) -> void;

    /// Adds a holder of no bytes that belongs to \p party. Valid until remove().
    auto add(std::uint64_t party, time_point now) -> holder &;

    auto remove(holder &gone) -> void;

    /// Moves \p moved with its bytes to another party.
    auto setParty(holder &moved, std::uint64_t party) -> void;

    /// Whether the memory of \p changed may be taken for others.
    auto setEvictable(holder &changed, bool evictable) -> void;

    auto noteProgress(holder &active, time_point now) -> void;

    /// Changes the bytes of \p asking. Less is always granted. If it is not granted, nothing changes; if there are
    /// victims, it is granted once they have released their memory.
    auto resize(holder &asking, std::size_t bytes, time_point now) -> verdict;

    /// Bytes of all holders.
    [[nodiscard]] auto used() const -> std::size_t;

    [[nodiscard]] auto limit() const -> std::size_t;

private:
    /// What the holders of one party hold together.
    struct party
    {
        std::size_t bytes = 0;
        std::size_t holders = 0;
    };

    auto change(holder &changed, std::size_t bytes) -> void;
    auto leaveParty(const holder &left) -> void;
    auto findVictims(const holder &asking, std::size_t bytes, std::size_t missing, time_point now)
        -> std::vector<holder *>;

    std::size_t m_limit;
    std::size_t m_used = 0;
    std::list<holder> m_holders;
    std::unordered_map<std::uint64_t, party> m_parties;
};

} // namespace marjoramloom
