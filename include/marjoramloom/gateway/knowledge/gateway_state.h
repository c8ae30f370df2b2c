#pragma once

#include "marjoramloom/call/connection_pool.h"
#include "marjoramloom/core/counters.h"
#include "marjoramloom/core/latency_histogram.h"
#include "marjoramloom/gateway/decisions/account_level.h"
#include "marjoramloom/gateway/decisions/account_usage.h"
#include "marjoramloom/gateway/decisions/admission_policy.h"
#include "marjoramloom/gateway/decisions/block_quarantine.h"
#include "marjoramloom/gateway/decisions/cold_budget.h"
#include "marjoramloom/gateway/decisions/connection_admission.h"
#include "marjoramloom/gateway/decisions/event_batching.h"
#include "marjoramloom/gateway/decisions/event_loop_delay.h"
#include "marjoramloom/gateway/decisions/fair_request_limit.h"
#include "marjoramloom/gateway/decisions/gateway_retry_budget.h"
#include "marjoramloom/gateway/decisions/memory_grants.h"
#include "marjoramloom/gateway/decisions/pending_placements.h"
#include "marjoramloom/gateway/decisions/plain_placement.h"
#include "marjoramloom/gateway/decisions/prompt_placement.h"
#include "marjoramloom/gateway/decisions/request_shares.h"
#include "marjoramloom/gateway/decisions/router_use_meter.h"
#include "marjoramloom/gateway/decisions/slot_grants.h"
#include "marjoramloom/gateway/knowledge/admission_record.h"
#include "marjoramloom/gateway/knowledge/cold_engines.h"
#include "marjoramloom/gateway/knowledge/dispatcher_levels.h"
#include "marjoramloom/gateway/knowledge/evacuated_data_centres.h"
#include "marjoramloom/gateway/knowledge/fleet_loads.h"
#include "marjoramloom/gateway/knowledge/gateway_settings.h"
#include "marjoramloom/gateway/knowledge/knowledge_freshness.h"
#include "marjoramloom/gateway/knowledge/route_table.h"
#include "marjoramloom/gateway/knowledge/router_roster.h"
#include "marjoramloom/gateway/knowledge/served_versions.h"
#include "marjoramloom/gateway/knowledge/server_directory.h"
#include "marjoramloom/gateway/knowledge/server_loads.h"
#include "marjoramloom/gateway/knowledge/server_pauses.h"
#include "marjoramloom/gateway/knowledge/store_contact.h"
#include "marjoramloom/gateway/knowledge/stream_versions.h"

#include <boost/random/mersenne_twister.hpp>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace marjoramloom {

/// A prompt that was sent to an engine, as reported to the other routers.
struct prefill_record
{
    std::uint64_t server = 0; ///< Incarnation of the engine, see server_loads::incarnationId().
    std::vector<prefix_block> parts; ///< All but the last prefix block.
    std::uint32_t unsharedTokens = 0; ///< Tokens of the last prefix block and of the expected output.
};

/// How this router learned that a server is cold or warm.
enum class cold_source {
    entry, ///< From its entry in the store.
    answer, ///< From an answer of the server to this router.
    router, ///< From another router, which got such an answer.
};

template<>
struct enum_names<cold_source>
{
    static constexpr std::array table{
        enum_name<cold_source>{ cold_source::entry, "entry" },
        enum_name<cold_source>{ cold_source::answer, "answer" },
        enum_name<cold_source>{ cold_source::router, "router" },
    };
};

/// This router's place in the order of the routers that may send requests to a cold engine.
struct cold_rank
{
    std::size_t routers = 0; ///< Number of routers for which the rank was determined.
    std::size_t rank = 0; ///< From cold_budget::rankOf().
};

/// State that all requests of a router share. Not thread safe: used on the router's only thread.
struct gateway_state
{
    /// Preconditions: \p registry outlives the state; \p seed initializes the random generator.
    gateway_state(const gateway_settings &initialSettings, router_identity self, counter_registry &registry,
                  std::uint64_t seed);

    /// Applies new settings; retries that were counted stay counted.
    auto applySettings(const gateway_settings &newSettings) -> void;

    /// Records that \p prompt was sent to the engine with the incarnation \p server, whose prefix cache then holds the
    /// shared prefix blocks. Returns the record for the other routers.
    auto recordPrefill(std::uint64_t server, const prompt_summary &prompt) -> prefill_record;

    /// The retry budget for the servers of \p service; created on first use.
    auto retryBudgetFor(const std::string &service) -> gateway_retry_budget &;

    /// Maximum number of idle connections that this router keeps to one server of \p service.
    ///
    /// Half of the connections that the server accepts are divided evenly between the routers; the other half is left
    /// for requests that open a new connection.
    [[nodiscard]] auto maxIdleConnections(const routed_service &service) const -> std::size_t;

    /// Whether it is known which data centres are evacuated, where that matters.
    [[nodiscard]] auto areEvacuationsKnown() const -> bool;

    /// Records the entry of a backend server, which was written at \p revision of the store.
    auto noteServerEntry(const listed_server &server, std::uint64_t revision, cold_engines::entry_source source,
                         time_point now) -> void;

    /// Records the statement of a server in an answer, to this router (cold_source::answer) or another one.
    auto noteCold(const cold_statement &statement, cold_source source, time_point now) -> void;

    /// Forgets the prefix cache of a server that has turned cold.
    auto applyCold(const cold_statement &statement, cold_source source) -> void;

    /// Region of \p dataCentre; empty if unknown.
    [[nodiscard]] auto regionOf(const std::string &dataCentre) const -> const std::string &;

    /// Id of the software version that began every stream of \p service that goes on now; nothing if there may be
    /// several.
    [[nodiscard]] auto soleVersion(const std::string &service, time_point now) const -> std::optional<std::uint64_t>;

    /// Forgets requests to cold engines and streams that do not count any more, and logs refused accounts every
    /// ADMISSION_LOG_PERIOD. Call every few hundred milliseconds.
    auto tick(time_point now) -> void;

    static constexpr duration ADMISSION_LOG_PERIOD = std::chrono::seconds(1);

    /// Excludes the servers of evacuated data centres. Idle connections to them are closed; running requests go on.
    auto applyEvacuations(const evacuated_data_centres::change &change, std::uint64_t revision) -> void;

    /// Whether the configuration was lately the newest, so that what it does not name does not exist.
    [[nodiscard]] auto isConfigurationCurrent(boot_time now) const -> bool;

    gateway_settings settings;
    std::string dataCentre; ///< Data centre of this router.
    counter_registry &counters;
    std::shared_ptr<const route_table> routes; ///< Null until the first configuration was read.
    bool hasNewerConfiguration = false; ///< There is a newer configuration than `routes`, which could not be read yet.
    bool hasServers = false; ///< The list of backend servers was read at least once.
    bool stopping = false; ///< The process stops: callers' connections are closed after the next answer.
    bool rejectingRequests = false; ///< The stop is so far advanced that new requests are rejected.
    event_loop_delay loopDelay;
    connection_admission connectionAdmission;
    double requestCost = router_use_meter::INITIAL_COST; ///< Processor time of a request, in seconds of a core.
    fair_request_limit requestLimit; ///< Used only with the setting fairRefusals.
    bool shouldMoveCallers = false; ///< Kept connections are closed after the next answer, as other routers have room.
    knowledge_freshness keys;
    store_contact storeContact;
    server_directory servers;
    /// Of the list of servers, for conclusions from what it does not contain.
    knowledge_freshness serverListFreshness{ served_versions::LIST_LIFETIME };
    evacuated_data_centres evacuations; ///< Known only where settings.evacuationLimit is set.
    server_loads loads;
    cold_engines coldEngines;
    cold_budget coldBudget;
    std::unordered_map<std::uint64_t, cold_rank> coldRanks; ///< By the engine's incarnation.
    time_point startedAt = system_clock_source().now();
    served_versions servedVersions;
    stream_versions streamVersions; ///< Of streams that may be resumed.
    server_pauses pauses;
    router_roster roster;
    fleet_loads fleet;
    pending_placements placements;
    memory_grants memoryGrants; ///< KV memory that this router granted to the others' requests as dispatcher.
    account_usage accounts;
    admission_policy admission;
    /// Of the engine shards that this router places prompts in, by service and index of the shard.
    std::map<std::pair<std::string, std::uint32_t>, account_level> accountLevels;
    dispatcher_levels statedLevels; ///< By the dispatchers that this router asked.
    admission_record admissions;
    time_point lastAdmissionLog{};
    std::vector<prefill_record> unreportedPrefills; ///< Not yet sent to the other routers.
    std::size_t running = 0; ///< Requests that are being forwarded.
    std::uint64_t handledRequests = 0; ///< Requests that this router read, refused ones included.
    std::size_t bufferedAnswerBytes = 0; ///< Size of the answers that are being read before they are forwarded.
    event_batching eventBatching;
    prompt_placement placement;
    plain_placement plainPlacement;
    slot_grants slotGrants;
    request_shares plainShares; ///< Requests for plain services that this router placed as their dispatcher.
    block_quarantine blocks;
    connection_pool connections;
    boost::random::mt19937_64 random;
    std::map<std::string, gateway_retry_budget> retryBudgets; ///< By service.
    latency_histogram firstEventLatency; ///< From sending a request to the first event of its stream.
    latency_histogram answerLatency; ///< From the arrival of a request to its final answer.
    counter &answeredRequests; ///< Requests that were answered by a backend server.
    counter &fullServerAnswers; ///< Refusals by backend servers that were full.
    counter &leavingNotices; ///< Servers that stated that they leave before the list of servers said so.
    counter &pauseNotices; ///< Answers by which servers asked for a pause.
    counter &malformedNotices; ///< Answers in which a server's statement about itself was unreadable.
    counter &quarantinedRequests; ///< Requests kept from the engines for a block that crashes them.
    counter &coldSends; ///< Requests sent to cold servers.
    counter &coldRefusals; ///< Choices of a cold server that had got all its requests from this router.
    counter &truncatedStreams; ///< Streams that ended before their last event.
    counter &requestsOverShare; ///< Requests refused as this router is behind and their account over its share.
    counter &movedCallers; ///< Kept connections that were closed so that their callers go to another router.
    counter &abandonedRequests; ///< Requests whose callers disconnected before the router processed them.
};

} // namespace marjoramloom
