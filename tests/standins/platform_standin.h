#pragma once

#include "http_server.h"
#include "object_log.h"

#include <deque>

namespace standins {

/// Settings of the platform's stand-in.
struct platform_standin_options
{
    std::uint64_t watchHistory = 10'000; ///< Writes that a watch can still be started from.
    std::size_t pageSize = 500; ///< Objects in one page of a list.
};

/// Stand-in of the platform's metadata store, whose kind `instances` is the instance list. Not thread safe.
class platform_standin
{
public:
    platform_standin(boost::asio::io_context &context, standin_context &shared, platform_standin_options options);

    auto handle(http_exchange &exchange) -> nothing_awaitable;
    auto control(http_exchange &exchange, const boost::json::value &document) -> http_reply;

private:
    using clock = std::chrono::steady_clock;

    struct instances_version
    {
        clock::time_point since;
        boost::json::array instances;
    };

    auto readObject(const http_exchange &exchange, const std::string &kind, const std::string &name) -> http_reply;
    auto readPage(const http_exchange &exchange, const std::string &kind) -> http_reply;
    auto writeObject(const execution_entry &entry, const std::string &kind, const std::string &name,
                     const std::string &revisionInPath) -> http_reply;
    auto readRevision(const fault_subject &subject) -> std::uint64_t;
    auto watch(http_exchange &exchange, const std::string &kind) -> nothing_awaitable;
    auto waitForWrite(clock::time_point limit) -> nothing_awaitable;
    auto eventsAfter(const std::string &kind, std::uint64_t since) const -> boost::json::array;
    auto listInstances() -> http_reply;
    auto statistics() const -> http_reply;

    standin_context &m_shared;
    platform_standin_options m_options;
    object_log m_log;
    boost::asio::steady_timer m_written; ///< Cancelled at every write to wake the watches.
    std::deque<instances_version> m_instances;
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_watches = 0;
};

} // namespace standins
