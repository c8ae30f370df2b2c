#pragma once

#include "marjoramloom/gateway/traffic/connection_tunnels.h"
#include "marjoramloom/gateway/traffic/gateway_handler.h"
#include "marjoramloom/gateway/traffic/rotation.h"
#include "marjoramloom/router/http_server.h"
#include "marjoramloom/router/settings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace marjoramloom {

/// Takes the connections of callers, and those that other routers tunnel to this one, and carries out the decisions of
/// connection_admission about them.
///
/// Connections from tunnels arrive on a listener of their own. They are always served here and close after one answer,
/// so that a router that stops only has to wait for running requests. Not thread safe: belongs to the router's only
/// thread.
class caller_intake
{
public:
    /// Callers that are refused for lack of processor time should return after this time: when the load balancer has
    /// assigned them to another router.
    static constexpr duration RETURN_TIME = std::chrono::milliseconds(1'000);

    /// Preconditions: all references outlive this object.
    caller_intake(boost::asio::io_context &context, gateway_state &state, gateway_handler &handler,
                  memory_budget &budget, rotation &connectionRotation);

    /// Listens for callers on \p callers, and for tunnels on \p tunnels. Returns false if callers cannot be listened
    /// for; a router that gets no tunnels still serves its own callers.
    auto listen(const std::string &callers, const std::string &tunnels, last_reason &why) -> bool;

    /// Applies the limits of the current configuration and settings.
    auto updateLimits() -> void;

    /// Follows the delay of the event loop, which limits what is accepted. Does not return.
    auto measureLoopDelay() -> boost::asio::awaitable<void>;

    /// Copies the bytes of tunnels. Does not return.
    auto runTunnels() -> boost::asio::awaitable<void>;

    /// Takes no new connections any more.
    auto stopAccepting() -> void;

    /// Open connections, those that are tunnelled in either direction included.
    [[nodiscard]] auto connections() const -> std::size_t;

private:
    using server = http_server<gateway_handler>;

    auto admit(int descriptor) -> connection_gate_result;
    auto admitTunnelled(int descriptor) -> connection_gate_result;
    auto refusalOf(std::string_view bytes) -> std::string;
    auto noteDelay(time_point now) -> void;
    auto logChanges(time_point now) -> void;

    boost::asio::io_context &m_context;
    gateway_state &m_state;
    rotation &m_rotation;
    connection_tunnels m_tunnels;
    std::shared_ptr<server> m_callers;
    std::shared_ptr<server> m_tunnelled;
    const counter &m_turnedAway;
    bool m_wasOverloaded = false;
    bool m_wasLimited = false;
    bool m_wasTunnelling = false;
};

} // namespace marjoramloom
