#pragma once

#include "marjoramloom/order/order_machine.h"

#include <string>
#include <unordered_set>
#include <vector>

namespace marjoramloom {

/// How routers of the model depart from the protocol, to show that the explorer notices.
enum class naive_variant {
    none,
    takesOverByLease, ///< A claim of another router counts as released after a time.
    sendsOnUnknownClaim, ///< A claim without an answer counts as written.
    releasesUnknownSending, ///< Sending without an answer counts as not sent.
    forgetsUnknownClaim, ///< A claim that was given up without an answer is not released.
};

/// Faults that one path may hold.
struct fault_budget
{
    int lostAnswers = 0; ///< Writes whose answer does not come; they land before, later or never.
    int refusals = 0; ///< Writes that the platform does not take.
    int staleReads = 0;
    int kills = 0;
};

/// What an exploration found.
struct exploration
{
    std::size_t states = 0;
    std::string violation; ///< Empty where every state was as promised.
    std::vector<std::string> path; ///< Steps to the violation.
};

/// Explores every interleaving of several routers that are asked for the same order, over the real order_machine and a
/// model of the platform's record and of a backend server. Any router may be paused at any step for any time: that is
/// an interleaving like the others.
class order_explorer
{
public:
    order_explorer(int routers, fault_budget budget, naive_variant variant);

    /// Stops at the first violation, or at the first one with the text \p wanted where that is not empty.
    auto run(std::string wanted) -> exploration;

private:
    /// A write on its way: it lands at any time, or never.
    struct message
    {
        int owner = -1; ///< Router that waits for the answer; -1 when none does any more.
        bool landed = false;
        std::uint64_t condition = 0;
        std::string value;
        write_outcome outcome; ///< Once landed.
    };

    struct router
    {
        order_machine machine;
        bool alive = true;
        bool waiting = false;
        bool reachedServer = false; ///< Its bytes are on the way to the backend server.
        bool executed = false;
    };

    struct world
    {
        std::vector<router> routers;
        std::vector<message> messages;
        stored_object record;
        stored_object older; ///< The record's version before.
        fault_budget left;
    };

    auto visit(const world &now) -> bool;
    auto tryRouter(const world &now, int index) -> bool;
    auto tryWaiting(const world &now, int index) -> bool;
    auto tryWrite(const world &now, int index) -> bool;
    auto tryRead(const world &now, int index) -> bool;
    auto trySending(const world &now, int index) -> bool;
    auto tryMessages(const world &now) -> bool;
    auto follow(world next, std::string step) -> bool;
    auto check(const world &now) -> std::string;
    auto checkSettled(const world &now, const std::optional<order_record> &record) -> std::string;
    auto deliver(world &next, int index, write_outcome outcome) -> void;
    auto giveUp(world &next, int index) -> void;
    auto doctored(const world &now, int index, stored_object seen) const -> stored_object;
    auto land(world &next, message &write) -> void;
    auto fingerprint(const world &now) const -> std::string;

    naive_variant m_variant;
    std::string m_wanted;
    world m_start;
    exploration m_found;
    std::vector<std::string> m_path;
    std::unordered_set<std::uint64_t> m_seen;
};

} // namespace marjoramloom
