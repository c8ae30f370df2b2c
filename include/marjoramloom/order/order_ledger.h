#pragma once

#include "marjoramloom/core/counters.h"
#include "marjoramloom/order/order_permit.h"
#include "marjoramloom/store/retry_backoff.h"

#include <boost/asio/awaitable.hpp>
#include <deque>
#include <mutex>
#include <vector>

namespace marjoramloom {

/// Identity and limits of an order_ledger.
struct order_options
{
    incarnation_id incarnation = 0;
    std::string router; ///< Instance name.
    std::chrono::milliseconds claimLimit{ 4'000 }; ///< Longest try to get a claim written.
    std::chrono::milliseconds waitForOther{ 10'000 }; ///< Longest wait for the outcome of another request.
    std::chrono::milliseconds retryFirst{ 50 };
    std::chrono::milliseconds retryLimit{ 2'000 };
    std::size_t answerInRecordBytes = std::size_t(512) << 10U; ///< Larger answers are stored in pieces.
    std::uint64_t seed = 0; ///< Of the retries' jitter.
    /// A claim that stands for longer than this is told as an unknown outcome. Decides about words only: nobody takes
    /// the claim over, so clocks that differ do no harm.
    std::chrono::milliseconds claimAge{ 120'000 };
    /// Whether a router's incarnation is gone, as far as its peers can tell; may be empty. Thread safe. Decides about
    /// words only, as a router that seems gone may be paused.
    std::function<bool(incarnation_id)> creatorGone;
};

/// What a router does with an order after asking the ledger.
struct order_admission
{
    order_verdict verdict = order_verdict::none; ///< none: send it, with the permit.
    std::optional<order_permit> permit;
    stored_answer answer; ///< Where the verdict is answered.
};

/// How an order ended, for the ledger.
struct order_conclusion
{
    sending_result result = sending_result::unknown;
    stored_answer answer; ///< Where the result is answered.
};

/// An order whose outcome is not stored, for operators.
struct open_order
{
    std::string name;
    std::string account;
    std::string service;
    std::string router;
    incarnation_id incarnation = 0;
    order_state state = order_state::started;
    std::int64_t unixMs = 0; ///< When it was claimed.
    bool creatorGone = false; ///< Its router is not heard any more.
};

/// Carries out the protocol of orders on the platform: claims before sending, stored outcomes, settlement in the
/// background of what could not be written at once.
///
/// Thread safe. Must outlive its permits.
template<object_store Store>
class order_ledger
{
public:
    /// Precondition: \p store and \p counters outlive the ledger.
    order_ledger(Store &store, order_options options, counter_registry &counters);

    /// Claims the order, or finds out what became of it. \p why is set where the verdict is not answered.
    /// Precondition: the request's key is not empty.
    auto admit(order_request request, last_reason &why) -> boost::asio::awaitable<order_admission>;

    /// Stores how the order ended: tries once, then goes on in the background. Precondition: the permit is this
    /// ledger's and was not concluded before.
    auto conclude(order_permit permit, order_conclusion conclusion) -> boost::asio::awaitable<void>;

    /// Settles in the background until stop(). One coroutine.
    auto run() -> boost::asio::awaitable<void>;

    auto stop() -> void
    {
        m_stopped.store(true, std::memory_order_release);
    }

    /// Settles what is left, at a router's stop, for at most \p limit. Returns how many records stay unsettled.
    auto drain(std::chrono::milliseconds limit) -> boost::asio::awaitable<std::size_t>;

    /// Records that wait to be settled.
    [[nodiscard]] auto unsettled() const -> std::size_t;

    /// Orders without a stored outcome, read from the platform. Costs one list of all order records.
    auto listOpen(last_reason &why) -> boost::asio::awaitable<std::optional<std::vector<open_order>>>;

private:
    /// A record that is to be settled, with the pieces of its answer that go before it.
    struct settlement
    {
        order_machine machine;
        std::vector<std::string> pieces;
        std::size_t piecesWritten = 0;
    };

    auto makeClaim() -> order_claim;
    auto makeBackoff() -> retry_backoff;
    auto claimStep(order_machine &machine, last_reason &why) -> boost::asio::awaitable<void>;
    auto readStep(order_machine &machine, last_reason &why) -> boost::asio::awaitable<void>;
    auto seemsAbandoned(const order_claim &claim) const -> bool;
    auto finishAdmission(order_machine machine, last_reason &why) -> boost::asio::awaitable<order_admission>;
    auto admitted(order_machine machine) -> order_admission;
    auto loadAnswer(const order_record &record, last_reason &why)
        -> boost::asio::awaitable<std::optional<stored_answer>>;
    auto settleOnce(settlement &entry) -> boost::asio::awaitable<bool>;
    auto settleAll() -> boost::asio::awaitable<void>;
    auto enqueue(settlement entry) -> void;
    auto takeUnsettled() -> std::optional<settlement>;
    auto pieceName(const order_machine &machine, std::size_t index) const -> std::string;

    Store &m_store;
    order_options m_options;
    counter &m_admitted;
    counter &m_repeated;
    counter &m_unknown;
    counter &m_settled;
    std::atomic<std::uint64_t> m_claims = 0;
    std::atomic<bool> m_stopped = false;
    std::atomic<std::size_t> m_settling = 0;
    mutable std::mutex m_mutex;
    std::deque<settlement> m_unsettled;
};

} // namespace marjoramloom

#include "marjoramloom/order/order_ledger.inl"
