#pragma once

#include "marjoramloom/order/order_machine.h"

#include <string>
#include <unordered_set>
#include <vector>

namespace marjoramloom {

/// A deliberate error in the protocol of the modelled routers, which the explorer must detect.
enum class protocol_mutation {
    none,
    takesOverOtherClaims, ///< Treats the claim of another router as released, as a lease would after its expiry.
    sendsOnUnknownClaim, ///< Treats a claim without an answer as written.
    releasesUnknownSending, ///< Treats an order without an answer as not sent.
    skipsReleaseOfUnknownClaim, ///< Writes no release of a claim without an answer.
};

/// Largest number of faults of each kind on one path.
struct fault_budget
{
    int lostAnswers = 0; ///< Writes whose answer is lost; they took effect, still may, or never do.
    int refusals = 0; ///< Writes that the platform refuses.
    int staleReads = 0; ///< Reads that return the previous version of the record.
    int kills = 0; ///< Routers that end without warning.
};

/// Result of an exploration.
struct exploration
{
    std::size_t states = 0; ///< Number of distinct states visited.
    std::string violation; ///< The guarantee that was violated; empty if none was.
    std::vector<std::string> path; ///< Steps that lead to the violation.
};

/// A model checker for the order protocol. It explores every interleaving of several routers that got a request for the
/// same order, with the real order_machine and a model of the platform's record and of a backend server. A router that
/// is paused at some step is one of these interleavings, and needs no fault of its own.
class order_explorer
{
public:
    order_explorer(int routers, fault_budget budget, protocol_mutation mutation);

    /// Explores until the first violation, or, if \p expectedViolation is not empty, until the first one with that
    /// text.
    auto run(std::string expectedViolation) -> exploration;

private:
    /// A write in flight, which the platform applies at any time or never.
    struct pending_write
    {
        int owner = -1; ///< Index of the router that awaits the answer; -1 if none does.
        bool applied = false; ///< The platform has decided on it; its answer is in flight.
        std::uint64_t condition = 0; ///< Revision that it replaces.
        std::string value;
        write_outcome outcome; ///< Set once applied.
    };

    /// A router and what became of its request.
    struct router
    {
        order_machine machine;
        bool alive = true;
        bool awaitsAnswer = false; ///< To its write in flight.
        bool requestSent = false; ///< The order is on its way to the backend server.
        bool executed = false; ///< The backend server executed the order for this router.
    };

    /// One state of the whole model.
    struct model_state
    {
        std::vector<router> routers;
        std::vector<pending_write> pendingWrites;
        stored_object record;
        stored_object previousRecord; ///< The version before the last write, which stale reads return.
        fault_budget remainingFaults;
    };

    /// Checks \p now and all states that follow it; false once a violation was found. So do the functions below, each
    /// for the steps of one kind.
    auto visit(const model_state &now) -> bool;
    auto exploreRouter(const model_state &now, int index) -> bool;
    auto exploreAnswers(const model_state &now, int index) -> bool;
    auto exploreWrite(const model_state &now, int index) -> bool;
    auto exploreRead(const model_state &now, int index) -> bool;
    auto exploreSending(const model_state &now, int index) -> bool;
    auto explorePendingWrites(const model_state &now) -> bool;
    auto exploreStep(model_state next, std::string step) -> bool;
    /// The guarantee that \p now violates, or an empty text.
    auto check(const model_state &now) -> std::string;
    auto checkFinalState(const model_state &now, const std::optional<order_record> &record) -> std::string;
    /// Passes the outcome of a write to its router.
    auto deliver(model_state &next, int index, write_outcome outcome) -> void;
    auto giveUp(model_state &next, int index) -> void;
    /// The record as the router takes it, which a mutation may falsify.
    auto recordAsSeenBy(const model_state &now, int index, stored_object seen) const -> stored_object;
    /// The platform applies a write in flight, or rejects it as a conflict.
    auto applyWrite(model_state &next, pending_write &write) -> void;
    auto fingerprint(const model_state &now) const -> std::string;

    protocol_mutation m_mutation;
    std::string m_expectedViolation;
    model_state m_start;
    exploration m_result;
    std::vector<std::string> m_path;
    std::unordered_set<std::uint64_t> m_visitedStates;
};

} // namespace marjoramloom
