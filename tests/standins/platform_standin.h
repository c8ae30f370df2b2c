#pragma once

#include "http_server.h"
#include "object_log.h"

#include <deque>

namespace standins {

/// Settings of the platform's stand-in.
struct platform_options
{
    std::uint64_t watchHistory = 10'000; ///< Writes that a watch can still be started from.
};

/// Stand-in of the platform: object API with watches, and instance list. Not thread safe.
class platform_standin
{
public:
    platform_standin(boost::asio::io_context &context, standin_context &shared, platform_options options);

    auto handle(http_exchange &exchange) -> nothing_awaitable;
    auto control(http_exchange &exchange, const boost::json::value &document) -> http_reply;

private:
    using clock = std::chrono::steady_clock;

    struct instances_version
    {
        clock::time_point since;
        boost::json::array instances;
    };

    auto readObjects(const http_exchange &exchange, const std::string &kind, const std::string &name) -> http_reply;
    auto writeObject(const execution_entry &entry, const std::string &kind, const std::string &name,
                     const std::string &ifMatch, const std::string &ifNoneMatch) -> http_reply;
    auto readRevision(const fault_subject &subject) -> std::uint64_t;
    auto watch(http_exchange &exchange) -> nothing_awaitable;
    auto followWrites(http_exchange &exchange, const std::vector<std::string> &kinds, std::uint64_t since)
        -> nothing_awaitable;
    auto listInstances() -> http_reply;
    auto statistics() const -> http_reply;

    standin_context &m_shared;
    platform_options m_options;
    object_log m_log;
    boost::asio::steady_timer m_written; ///< Cancelled at every write to wake the watches.
    std::deque<instances_version> m_instances;
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_watches = 0;
};

} // namespace standins
