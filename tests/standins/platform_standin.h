#pragma once

#include "http_server.h"
#include "object_log.h"

#include <deque>

namespace standins {

/// Settings of a platform stand-in.
struct platform_standin_options
{
    std::uint64_t watchHistory = 10'000; ///< Number of past writes that a watch can start from; older ones are gone.
    std::size_t pageSize = 500; ///< Maximum number of objects in one page of a list.
    bool statesEra = true; ///< Answers state the store's era.
};

/// Simulates the platform's metadata store: versioned objects with conditional writes, lists and watches. Objects of
/// the kind `instances` are the instance list, which tests set by /control/instances. Not thread safe.
class platform_standin
{
public:
    platform_standin(boost::asio::io_context &context, standin_context &shared, platform_standin_options options);

    auto handle(http_exchange &exchange) -> void_awaitable;
    auto control(http_exchange &exchange, const boost::json::value &document) -> http_reply;

private:
    using clock = std::chrono::steady_clock;

    /// The instance list from a point in time on.
    struct instances_version
    {
        clock::time_point since;
        boost::json::array instances;
    };

    auto readObject(const http_exchange &exchange, const std::string &kind, const std::string &name) -> http_reply;
    auto readPage(const http_exchange &exchange, const std::string &kind) -> http_reply;
    auto writeObject(const execution_entry &entry, const std::string &kind, const std::string &name,
                     const std::string &revisionInPath) -> http_reply;
    /// Revision at which reads are answered: the current one, or an older one with the fault stale_reads.
    auto readRevision(const fault_subject &subject) -> std::uint64_t;
    auto watch(http_exchange &exchange, const std::string &kind) -> void_awaitable;
    auto waitForWrite(clock::time_point limit) -> void_awaitable;
    auto eventsAfter(const std::string &kind, std::uint64_t since) const -> boost::json::array;
    auto listInstances() -> http_reply;
    auto stateEra(http_exchange &exchange) const -> void;
    /// Continues from an older copy of the store, in the next era. Open watches end.
    auto restore(std::uint64_t revision) -> http_reply;
    auto statistics() const -> http_reply;

    standin_context &m_shared;
    platform_standin_options m_options;
    object_log m_log;
    std::uint64_t m_era = 1; ///< Number of times that the store was restored from an older copy, plus one.
    boost::asio::steady_timer m_writeSignal; ///< Never expires; cancelled at every write to wake the watches.
    std::deque<instances_version> m_instances;
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_watches = 0; ///< Watch requests that are open.
};

} // namespace standins
