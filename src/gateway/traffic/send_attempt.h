#pragma once

#include "load_reservation.h"
#include "marjoramloom/call/http_connection.h"
#include "marjoramloom/gateway/traffic/event_splitter.h"
#include "marjoramloom/gateway/traffic/gateway_call.h"

#include <memory>
#include <string>

namespace marjoramloom {

/// State of one attempt to send the request to a server.
struct gateway_call::send_attempt
{
    const chosen_server &chosen;
    std::shared_ptr<http_connection> connection;
    load_reservation &load;
    event_splitter splitter;
    time_point sentAt;
    bool onReusedConnection = false; ///< The connection has carried other requests.
    bool receivedEvent = false;
    std::string unsentEvents; ///< Complete events that were not forwarded yet.
};

} // namespace marjoramloom
