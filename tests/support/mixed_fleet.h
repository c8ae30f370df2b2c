#pragma once

#include "support/gateway_fleet.h"

#include <atomic>
#include <functional>

namespace marjoramloom::test {

/// Four servers, the first two of one software version and the others of another.
class mixed_fleet
{
public:
    /// A stream's router tells others of it by datagrams, and routers read new entries of servers from the store.
    static constexpr int SETTLE_MS = 700;

    /// As gateway_plan::storeAddressForRouter.
    using store_address = std::function<std::string(int router, const std::string &address)>;

    explicit mixed_fleet(int routers, std::vector<std::string> versions = { "v1", "v1", "v2", "v2" },
                         store_address storeAddressForRouter = {});

    [[nodiscard]] auto fleet() -> gateway_fleet &;

    /// Sends a stream request, or the take-up of the stream \p resumed after the event \p after.
    auto send(std::size_t router, const std::string &id, const std::string &resumed = {}, int after = 0) -> http_answer;

    /// Version of the last server that began to execute the request \p id; empty if none did.
    auto versionOf(const std::string &id) -> std::string;

    /// Versions of the servers.
    [[nodiscard]] auto versions() -> std::vector<std::string> &;

    /// Lists a new incarnation of the server \p index, with another version.
    auto replace(std::size_t index, const std::string &version) -> void;

private:
    std::vector<std::string> m_versions;
    gateway_fleet m_fleet;
    std::atomic<int> m_lastBlock = 0;
};

/// Whether \p answer says that the request was not executed.
auto isNotRun(const http_answer &answer) -> bool;

} // namespace marjoramloom::test
