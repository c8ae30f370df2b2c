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
    std::chrono::milliseconds claimTimeout{ 4'000 }; ///< Time limit for writing a claim, with its retries.
    /// Longest wait for the outcome of another request with the same key.
    std::chrono::milliseconds outcomeWaitLimit{ 10'000 };
    std::chrono::milliseconds retryFirst{ 50 }; ///< First upper bound of a retry's wait; see retry_backoff.
    std::chrono::milliseconds retryLimit{ 2'000 }; ///< Largest upper bound of a retry's wait.
    std::size_t maxInlineAnswerBytes = std::size_t(512) << 10U; ///< Larger answers are stored in pieces of this size.
    std::uint64_t seed = 0; ///< Seed of the retries' jitter.
    /// An unsettled claim that is older than this is reported as an unknown outcome instead of a conflict. It affects
    /// only what is reported: no claim is ever taken over, so clock differences between routers do no harm.
    std::chrono::milliseconds maxClaimAge{ 120'000 };
    /// Whether the incarnation of a router seems to have ended, as far as its peers can tell; may be empty. Must be
    /// thread safe. It affects only what is reported, because a router that seems gone may only be paused.
    std::function<bool(incarnation_id)> isCreatorGone;
};

/// The ledger's decision about a request for an order.
struct order_admission
{
    order_verdict verdict = order_verdict::none; ///< none: the router sends the order, using the permit.
    std::optional<order_permit> permit;
    stored_answer answer; ///< Set where the verdict is answered.
};

/// How sending an order ended, as a router reports it to the ledger.
struct order_conclusion
{
    sending_result result = sending_result::unknown;
    stored_answer answer; ///< Set where the result is answered.
};

/// An order without a stored answer that was not released either, as listed for operators.
struct open_order
{
    std::string name;
    std::string account;
    std::string service;
    std::string router;
    incarnation_id incarnation = 0;
    order_state state = order_state::started;
    std::int64_t unixMs = 0; ///< Unix time of the claim, in milliseconds.
    bool isCreatorGone = false; ///< See order_options::isCreatorGone.
};

/// Executes each order at most once, by the protocol of order_machine over the platform's object store: it writes a
/// claim before the order is sent and stores the outcome afterwards. What cannot be stored at once is retried in the
/// background by run().
///
/// Thread safe. Must outlive its permits.
template<object_store Store>
class order_ledger
{
public:
    /// Precondition: \p store and \p counters outlive the ledger.
    order_ledger(Store &store, order_options options, counter_registry &counters);

    /// Claims the order or, where another request claimed it, waits for the outcome of that request. \p why is set
    /// where the verdict is not answered. Precondition: the request's Idempotency-Key is not empty.
    auto admit(order_request request, last_reason &why) -> boost::asio::awaitable<order_admission>;

    /// Stores how sending the order ended. Where the first try fails, run() or drain() retries. Preconditions: this
    /// ledger issued the permit, and it was not concluded before.
    auto conclude(order_permit permit, order_conclusion conclusion) -> boost::asio::awaitable<void>;

    /// Retries pending settlements until stop(). Spawn it once.
    auto run() -> boost::asio::awaitable<void>;

    auto stop() -> void
    {
        m_stopped.store(true, std::memory_order_release);
    }

    /// Writes the pending settlements when the router stops, for at most \p limit. Returns the number of records that
    /// are still unsettled.
    auto drain(std::chrono::milliseconds limit) -> boost::asio::awaitable<std::size_t>;

    /// Number of records with a settlement that is pending or being written.
    [[nodiscard]] auto unsettled() const -> std::size_t;

    /// Reads the unfinished orders from the platform. Lists all order records, which is expensive.
    auto listOpen(last_reason &why) -> boost::asio::awaitable<std::optional<std::vector<open_order>>>;

private:
    /// A record in its final state that is yet to be written, and the pieces of its answer, which are written before
    /// it.
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
    /// Whether a claim of another router is too old or its router seems gone.
    auto seemsAbandoned(const order_claim &claim) const -> bool;
    auto finishAdmission(order_machine machine, last_reason &why) -> boost::asio::awaitable<order_admission>;
    auto makeAdmission(order_machine machine) -> order_admission;
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
    counter &m_replayed;
    counter &m_unknownOutcomes;
    counter &m_settled;
    std::atomic<std::uint64_t> m_backoffCount = 0; ///< Gives each backoff another seed.
    std::atomic<bool> m_stopped = false;
    std::atomic<std::size_t> m_settlementsInProgress = 0;
    mutable std::mutex m_mutex;
    std::deque<settlement> m_unsettled;
};

} // namespace marjoramloom

#include "marjoramloom/order/order_ledger.inl"
