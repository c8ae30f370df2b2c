#pragma once

#include "marjoramloom/gateway/router_roster.h"
#include "marjoramloom/store/store_client.h"

#include <functional>
#include <string>

namespace marjoramloom {

/// Makes this router known through the platform's store, and finds the others there. Belongs to the router's only
/// thread.
class router_announcer
{
public:
    /// Preconditions: \p client outlives the announcer; \p instance is this router's unique name. \p onRouter is called
    /// for each other router that is found, also for known ones.
    router_announcer(boost::asio::any_io_executor executor, store_client &client, std::string instance,
                     router_identity self, std::function<void(router_identity)> onRouter);

    /// Writes this router's own object and reads those of the others, until both succeeded.
    auto join() -> boost::asio::awaitable<void>;

    /// Reads the others again and again, as messages by which they made themselves known may be lost; ends with its
    /// executor.
    auto lookForOthers() -> boost::asio::awaitable<void>;

    /// Removes this router's own object.
    auto withdraw() -> boost::asio::awaitable<void>;

private:
    auto announce(last_reason &why) -> boost::asio::awaitable<bool>;
    auto readRouters(read_freshness freshness, last_reason &why) -> boost::asio::awaitable<bool>;

    boost::asio::any_io_executor m_executor;
    store_client &m_client;
    std::string m_instance;
    router_identity m_self;
    std::function<void(router_identity)> m_onRouter;
    std::uint64_t m_revision = 0; ///< Of the own object.
};

} // namespace marjoramloom
