#pragma once

#include "marjoramloom/call/call_control.h"
#include "marjoramloom/call/http_connection.h"
#include "marjoramloom/gateway/decisions/answer_proof.h"
#include "marjoramloom/gateway/decisions/cold_choice.h"
#include "marjoramloom/gateway/decisions/misdirection.h"
#include "marjoramloom/gateway/decisions/server_choice.h"
#include "marjoramloom/gateway/knowledge/gateway_state.h"
#include "marjoramloom/gateway/traffic/placement_dispatch.h"
#include "marjoramloom/gateway/traffic/stream_lookup.h"
#include "marjoramloom/router/http_exchange.h"
#include "platform/header_format.h"

#include <memory>
#include <set>
#include <string>

namespace marjoramloom {

/// Outcome of one attempt to send a request to a backend server.
enum class attempt_outcome {
    answered, ///< The complete answer was forwarded to the caller.
    notSent, ///< No byte of the request was sent to the server.
    notRun, ///< The server reported that it did not execute the request.
    failed, ///< The server sent a complete answer that reports a failure.
    incomplete, ///< The answer is incomplete; the request may have been executed.
    callerDisconnected,
};

template<>
struct enum_names<attempt_outcome>
{
    static constexpr std::array table{
        enum_name<attempt_outcome>{ attempt_outcome::answered, "answered" },
        enum_name<attempt_outcome>{ attempt_outcome::notSent, "not_sent" },
        enum_name<attempt_outcome>{ attempt_outcome::notRun, "not_run" },
        enum_name<attempt_outcome>{ attempt_outcome::failed, "failed" },
        enum_name<attempt_outcome>{ attempt_outcome::incomplete, "broken" },
        enum_name<attempt_outcome>{ attempt_outcome::callerDisconnected, "caller_left" },
    };
};

/// Processes one request from the selected route to the final answer.
///
/// A request that may be executed at most once is retried only if nothing was sent or if the server reported that it
/// did not execute it. A resumable stream continues at another server after its last complete event. Not thread safe:
/// runs on the router's only thread. Each object processes one request.
class gateway_call
{
public:
    /// Preconditions: all referenced objects outlive the call; \p route belongs to \p routes.
    gateway_call(gateway_state &state, placement_dispatch &dispatch, stream_lookup &streams, http_exchange &exchange,
                 routed_request request, std::shared_ptr<const route_table> routes, const route_rule &route,
                 std::string account);

    /// Forwards the request to a backend server and answers the caller. Call once.
    auto run(std::shared_ptr<call_control> control) -> boost::asio::awaitable<void>;

private:
    struct send_attempt;

    /// The router answers this long before the caller's time limit, so that the answer arrives in time.
    static constexpr auto ANSWER_MARGIN = std::chrono::milliseconds(15);

    /// Choices of a server for one attempt, where another router chooses servers that this one may not use.
    static constexpr int MAX_CHOICES = 3;

    auto chooseServer() -> boost::asio::awaitable<std::optional<chosen_server>>;
    auto chooseCandidate(last_reason &why) -> boost::asio::awaitable<std::optional<chosen_server>>;
    auto isTakeUp() const -> bool;
    auto findStreamVersion() -> boost::asio::awaitable<bool>;
    auto noteStreamBegun(const listed_server &server) -> void;
    auto mayStillRefuse() const -> bool;
    auto restrictQuery(placement_query &query, last_reason &why) -> bool;
    auto mayUse(const chosen_server &chosen, last_reason &why) -> bool;
    auto confirmCold(const chosen_server &chosen, last_reason &why) -> bool;
    auto chooseEngineForPrompt(last_reason &why) -> boost::asio::awaitable<std::optional<chosen_server>>;
    auto choosePlainServerForRequest(last_reason &why) -> boost::asio::awaitable<std::optional<chosen_server>>;
    auto sendWithRetries() -> boost::asio::awaitable<void>;
    auto sendAttempt(const chosen_server &chosen) -> boost::asio::awaitable<attempt_outcome>;
    auto openConnection(const chosen_server &chosen, last_reason &why)
        -> boost::asio::awaitable<std::shared_ptr<http_connection>>;
    auto sendAndReadAnswer(send_attempt &attempt) -> boost::asio::awaitable<attempt_outcome>;
    auto readMatchingHead(send_attempt &attempt) -> boost::asio::awaitable<std::optional<answer_standing>>;
    auto noteNotRun(send_attempt &attempt) -> boost::asio::awaitable<void>;
    static auto misdirectionOf(const listed_server &server, const boost::beast::http::response_header<> &head)
        -> std::optional<misdirection>;
    auto relayStream(send_attempt &attempt) -> boost::asio::awaitable<attempt_outcome>;
    auto readStream(send_attempt &attempt) -> boost::asio::awaitable<attempt_outcome>;
    static auto isEventBuffered(const send_attempt &attempt) -> bool;
    auto waitForEvents(const send_attempt &attempt) const -> boost::asio::awaitable<void>;
    auto takeEvents(send_attempt &attempt, std::string_view bytes) -> bool;
    auto relayEvents(send_attempt &attempt) -> boost::asio::awaitable<bool>;
    auto startStreaming(const send_attempt &attempt) -> void;
    auto relayCompleteAnswer(send_attempt &attempt) -> boost::asio::awaitable<attempt_outcome>;
    auto canStillSend(const chosen_server &chosen, last_reason &why) -> bool;
    auto addedFields(const chosen_server &chosen) const -> platform::forwarding_headers;
    auto makeUpstreamRequest(const platform::forwarding_headers &added) const -> http_connection::request;
    auto mayRetry(attempt_outcome outcome) -> bool;
    auto isQuarantined() -> bool;
    auto noteBroken(const send_attempt &attempt, crash_sign sign) -> void;
    auto noteAnswerBegun() -> void;
    auto noteServerFailed(const listed_server &server) -> void;
    auto noteServerNotice(const listed_server &server, const boost::beast::http::response_header<> &head) -> void;
    auto timeToUsableServer() const -> duration;
    auto keepConnection(std::shared_ptr<http_connection> connection, const listed_server &server) -> void;
    auto noteServerFull(const chosen_server &chosen) -> void;
    auto noteServed(const send_attempt &attempt) -> void;
    auto refuse(unsigned status, std::string_view reason) -> boost::asio::awaitable<void>;
    auto answerFailure() -> boost::asio::awaitable<void>;
    auto remainingTime() const -> duration;
    auto noteAnswered(unsigned status) -> void;
    auto logCompletion(std::string_view outcome, unsigned status) const -> void;

    gateway_state &m_state;
    placement_dispatch &m_dispatch;
    stream_lookup &m_streams;
    http_exchange &m_exchange;
    routed_request m_request;
    std::shared_ptr<const route_table> m_routes;
    const route_rule &m_route;
    std::string m_account;
    std::uint64_t m_accountId;
    const routed_service *m_service = nullptr;
    std::shared_ptr<call_control> m_control;
    tried_servers m_failedServers; ///< Servers at which an attempt failed.
    tried_servers m_fullServers; ///< Servers that refused the request.
    std::uint32_t m_sendCount = 0; ///< Attempts for which a connection to a server was open.
    std::optional<std::int64_t> m_lastEventId; ///< Id of the last event that was forwarded to the caller.
    /// Software version of the server that began the stream; 0 before the first event. The stream goes on there only.
    std::uint64_t m_streamVersion = 0;
    duration m_firstEventLatency{}; ///< From the last attempt to its first event; 0 without an event.
    /// A server may have executed the request, so no later refusal may state that it was not executed.
    bool m_mayHaveRun = false;
    bool m_isTrial = false; ///< The request is to show whether a quarantined block still crashes engines.
    bool m_brokeOff = false; ///< An attempt broke off before its first event.
    bool m_answerBegan = false; ///< An engine has begun an answer, so that no block of the prompt crashes engines.
    bool m_streaming = false; ///< The head of a stream was forwarded to the caller.
    std::unique_ptr<cold_lease> m_coldLease; ///< Of the next attempt, if its server is cold.
    bool m_isColdRefused = false; ///< The latest attempt was not sent, as its cold server takes no more requests.
    last_reason m_why;
};

} // namespace marjoramloom
