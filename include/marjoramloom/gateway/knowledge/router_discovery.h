#pragma once

#include "marjoramloom/gateway/knowledge/router_roster.h"
#include "marjoramloom/gateway/knowledge/version_record.h"
#include "marjoramloom/store/store_client.h"

#include <functional>
#include <string>

namespace marjoramloom {

/// Registers this router in the platform's store and discovers the other routers there. Not thread safe: runs on the
/// router's only thread.
class router_discovery
{
public:
    /// Preconditions: \p client and \p state outlive the object; \p instance is this router's unique name. \p onRouter
    /// is called for each other router in the store on every read, including known ones.
    router_discovery(boost::asio::any_io_executor executor, store_client &client, gateway_state &state,
                     std::string instance, router_identity self, std::function<void(router_identity)> onRouter);

    /// Writes this router's object and reads those of the other routers; retries until both have succeeded.
    auto join() -> boost::asio::awaitable<void>;

    /// Reads the other routers' objects periodically, as the datagrams by which routers introduce themselves may be
    /// lost, and keeps the record of software versions. Does not return.
    auto pollRouters() -> boost::asio::awaitable<void>;

    /// Removes this router's object from the store.
    auto unregister() -> boost::asio::awaitable<void>;

private:
    auto writeRegistration(last_reason &why) -> boost::asio::awaitable<bool>;
    auto readRouters(read_freshness freshness, last_reason &why) -> boost::asio::awaitable<bool>;

    boost::asio::any_io_executor m_executor;
    store_client &m_client;
    std::string m_instance;
    router_identity m_self;
    version_record m_versions;
    std::function<void(router_identity)> m_onRouter;
    std::uint64_t m_revision = 0; ///< Revision of this router's object.
};

} // namespace marjoramloom
