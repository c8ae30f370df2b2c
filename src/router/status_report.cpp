#include "marjoramloom/router/status_report.h"

#include "marjoramloom/contract/configuration_store.h"
#include "marjoramloom/peer/peer_links.h"
#include "marjoramloom/router/dispatch_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>

namespace marjoramloom {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

auto describe(const member &router) -> json::object
{
    return {
        { "instance", router.instance },
        { "data_centre", router.dataCentre },
        { "region", router.region },
        { "address", router.peerAddress },
        { "sequence", router.configurationSequence },
        { "ready", router.ready },
        { "leaving", router.leaving },
        { "heard_directly", router.heardDirectly },
        { "age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(router.age).count() },
    };
}

} // namespace

status_report::status_report(ticket_queue::strand_type strand, peer_links &links, configuration_store &store,
                             dispatch_service &dispatch, ticket_queue &tickets)
    : m_strand(std::move(strand))
    , m_links(links)
    , m_store(store)
    , m_dispatch(dispatch)
    , m_tickets(tickets)
{
}

auto status_report::json() -> asio::awaitable<json::object>
{
    auto collecting = collect();
    co_return co_await asio::co_spawn(m_strand, std::move(collecting), asio::use_awaitable);
}

auto status_report::collect() -> asio::awaitable<json::object>
{
    auto instances = json::array();
    for (const auto &router : m_links.members()) {
        instances.push_back(describe(router));
    }
    co_return json::object{
        { "instance", m_links.self().instance },
        { "sequence", m_store.sequence() },
        { "waiting", m_tickets.waitingCount() },
        { "running", m_tickets.runningCount() },
        { "pools_dispatched", m_dispatch.dispatchedPoolCount() },
        { "instances", std::move(instances) },
    };
}

} // namespace marjoramloom
