#pragma once

#include "marjoramloom/call/call_control.h"
#include "marjoramloom/call/http_connection.h"
#include "marjoramloom/gateway/gateway_state.h"
#include "marjoramloom/gateway/placement_dispatch.h"
#include "marjoramloom/gateway/server_choice.h"
#include "marjoramloom/router/http_exchange.h"

#include <memory>
#include <set>
#include <string>

namespace marjoramloom {

/// How one send of a request to a backend server ended.
enum class send_end {
    answered, ///< The caller has the whole answer.
    notSent, ///< Nothing reached the server.
    notRun, ///< The server said that it did not run the request.
    failed, ///< The server's whole answer is a failure of its own.
    broken, ///< The answer did not come whole; the request may have run.
    callerLeft,
};

template<>
struct enum_names<send_end>
{
    static constexpr std::array table{
        enum_name<send_end>{ send_end::answered, "answered" },
        enum_name<send_end>{ send_end::notSent, "not_sent" },
        enum_name<send_end>{ send_end::notRun, "not_run" },
        enum_name<send_end>{ send_end::failed, "failed" },
        enum_name<send_end>{ send_end::broken, "broken" },
        enum_name<send_end>{ send_end::callerLeft, "caller_left" },
    };
};

/// One caller's request, from its route to its final answer.
///
/// A request that may run at most once is sent again only where nothing was sent or the server said that it did not run
/// it. A stream that may be resumed goes on at another server after its last whole event. Belongs to the router's only
/// thread; use it once.
class gateway_call
{
public:
    /// Preconditions: all outlive the call; \p route belongs to \p routes.
    gateway_call(gateway_state &state, placement_dispatch &dispatch, http_exchange &exchange, routed_request request,
                 std::shared_ptr<const route_table> routes, const route_rule &route, std::string account);

    /// Carries the request out and answers it.
    auto run(std::shared_ptr<call_control> control) -> boost::asio::awaitable<void>;

private:
    struct send_state;

    auto choose() -> boost::asio::awaitable<std::optional<chosen_server>>;
    auto chooseForPrompt(last_reason &why) -> boost::asio::awaitable<std::optional<chosen_server>>;
    auto sendUntilDone() -> boost::asio::awaitable<void>;
    auto sendOnce(const chosen_server &chosen) -> boost::asio::awaitable<send_end>;
    auto openConnection(const chosen_server &chosen, last_reason &why)
        -> boost::asio::awaitable<std::shared_ptr<http_connection>>;
    auto exchangeWith(send_state &sending) -> boost::asio::awaitable<send_end>;
    auto readOwnHead(send_state &sending) -> boost::asio::awaitable<bool>;
    auto relayStream(send_state &sending) -> boost::asio::awaitable<send_end>;
    auto relayEvents(send_state &sending, std::string_view bytes) -> boost::asio::awaitable<send_end>;
    auto startStreaming(const send_state &sending) -> void;
    auto relayWhole(send_state &sending) -> boost::asio::awaitable<send_end>;
    auto mayStillSend(const chosen_server &chosen, last_reason &why) -> bool;
    auto makeUpstreamRequest(const chosen_server &chosen) const -> http_connection::request;
    auto maySendAgain(send_end end) -> bool;
    auto noteServerFailed(const listed_server &server) -> void;
    auto refuse(unsigned status, std::string_view reason) -> boost::asio::awaitable<void>;
    auto giveUp() -> boost::asio::awaitable<void>;
    auto cost() const -> std::uint64_t;
    auto timeLeft() const -> duration;
    auto noteAnswered(unsigned status) -> void;
    auto logEnd(std::string_view outcome, unsigned status) const -> void;

    gateway_state &m_state;
    placement_dispatch &m_dispatch;
    http_exchange &m_exchange;
    routed_request m_request;
    std::shared_ptr<const route_table> m_routes;
    const route_rule &m_route;
    std::string m_account;
    std::uint64_t m_accountId;
    const routed_service *m_service = nullptr;
    std::shared_ptr<call_control> m_control;
    tried_servers m_tried;
    std::uint32_t m_sends = 0; ///< Sends that reached a server.
    std::optional<std::int64_t> m_lastEvent; ///< Last event that the caller got of this answer.
    duration m_firstEvent{}; ///< From the last send to its first event; 0 where none came.
    bool m_mayHaveRun = false; ///< A send reached a server; no later refusal may promise that the request was not run.
    bool m_streaming = false; ///< The caller has the head of a stream.
    last_reason m_why;
};

} // namespace marjoramloom
