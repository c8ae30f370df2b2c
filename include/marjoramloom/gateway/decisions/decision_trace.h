#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/core/enum_names.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace marjoramloom {

/// Why a decision does not choose a backend server, or prefers others to it.
enum class rejection {
    draining, ///< Its entry says that it leaves.
    leaving, ///< It said in an answer that it leaves.
    misdirected, ///< Another process answered at its address.
    evacuated, ///< Its data centre is evacuated.
    otherShard, ///< Another dispatcher places requests there.
    otherVersion, ///< Of another software version than the one that began the stream.
    newVersion, ///< Of a software version that has just joined, at which no stream begins yet.
    otherRegion, ///< Outside the regions of the route or account.
    tried, ///< The request has failed there, or was refused.
    paused, ///< It asked this router for a pause.
    slots, ///< No free slot.
    memory, ///< No free KV memory.
    coldBudget, ///< It is cold, and its requests of this second are used up.
    failing, ///< It failed lately: only used if all others are slow.
};

template<>
struct enum_names<rejection>
{
    static constexpr std::array table{
        enum_name<rejection>{ rejection::draining, "draining" },
        enum_name<rejection>{ rejection::leaving, "leaving" },
        enum_name<rejection>{ rejection::misdirected, "misdirected" },
        enum_name<rejection>{ rejection::evacuated, "evacuated" },
        enum_name<rejection>{ rejection::otherShard, "other shard" },
        enum_name<rejection>{ rejection::otherVersion, "other software version" },
        enum_name<rejection>{ rejection::newVersion, "new software version" },
        enum_name<rejection>{ rejection::otherRegion, "other region" },
        enum_name<rejection>{ rejection::tried, "tried" },
        enum_name<rejection>{ rejection::paused, "paused" },
        enum_name<rejection>{ rejection::slots, "no free slot" },
        enum_name<rejection>{ rejection::memory, "no free memory" },
        enum_name<rejection>{ rejection::coldBudget, "cold budget used up" },
        enum_name<rejection>{ rejection::failing, "failing" },
    };
};

/// What a decision knows of one backend server.
struct traced_candidate
{
    std::vector<rejection> reasons; ///< Empty if it may be chosen.
    bool hasEstimates = false; ///< The fields below are set.
    std::uint32_t running = 0; ///< Requests there, as far as known.
    std::uint32_t slots = 0;
    std::uint64_t pendingPrefillTokens = 0;
    std::uint32_t cachedTokens = 0; ///< Tokens of the prompt in its prefix cache.
    duration wait{};
    duration firstEvent{};
};

/// Records the reasons of one decision, in order. A decision that is given a trace changes no state: it takes no place,
/// counts no request and charges no share. Not thread safe.
class decision_trace
{
public:
    /// One step of the decision, and what it found.
    struct step
    {
        std::string name;
        std::string finding;
    };

    auto note(std::string_view name, std::string finding) -> void;

    /// Records a reason against the server \p id.
    auto reject(const std::string &id, rejection reason) -> void;

    /// The record of the server \p id; created on first use. The reference is valid as long as the trace.
    auto candidate(const std::string &id) -> traced_candidate &;

    [[nodiscard]] auto steps() const -> const std::vector<step> &;

    /// By the id of the server.
    [[nodiscard]] auto candidates() const -> const std::map<std::string, traced_candidate> &;

private:
    std::vector<step> m_steps;
    std::map<std::string, traced_candidate> m_candidates;
};

} // namespace marjoramloom
