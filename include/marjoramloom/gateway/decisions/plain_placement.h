#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/gateway/decisions/admission_policy.h"

#include <cstdint>
#include <optional>
#include <span>

namespace marjoramloom {

/// State of one server of a plain service, for the placement of one request.
struct plain_candidate
{
    std::uint32_t running = 0; ///< Requests at the server, waiting ones included.
    std::uint32_t slots = 1; ///< Requests that the server runs at once; it queues a few more.
    duration serviceTime{}; ///< Time for which a request occupies a slot; 0 if unknown.
    std::uint32_t acceptedRequests = 0; ///< Requests that the server accepts at once, as far as known.
    bool full = false; ///< The server refused a request as it was full just now.
    bool avoided = false; ///< The server failed recently.
    bool remote = false; ///< The server is in another data centre than the router that sends the request.
    std::uint64_t tieBreak = 0; ///< Decides between equal candidates.
};

/// A request to be placed on one of several plain servers.
struct plain_demand
{
    duration objective{}; ///< Latency objective of the answer.
    double accountShare = 0; ///< Recent share of the request's account in the requests for the service, from 0 to 1.
    /// Fraction of the fleet whose requests the candidates' `running` includes. Where it is small, only that fraction
    /// of each server's capacity is used, as the other routers use the rest.
    double knownFraction = 1;
};

/// The server chosen for a request, and what is expected of it.
struct plain_choice
{
    std::size_t index = 0; ///< Of the chosen candidate.
    duration wait{}; ///< Expected time until a slot is free.
};

/// Chooses the plain server with the shortest expected wait, and refuses a request that would be answered late.
///
/// A server runs a few requests at once and queues some more. Requests beyond that are refused by the server, and a
/// long queue makes every answer late without serving more requests. So requests are refused before they are sent once
/// the wait at every server is too long for their objective. Thread safe: stateless.
class plain_placement
{
public:
    /// The best of \p candidates; nothing if the request is to be refused.
    [[nodiscard]] auto choose(std::span<const plain_candidate> candidates, const plain_demand &demand) const
        -> std::optional<plain_choice>;

private:
    [[nodiscard]] auto maxRunning(const plain_candidate &candidate, const plain_demand &demand) const -> std::uint32_t;

    admission_policy m_admission;
};

} // namespace marjoramloom
