#include "share/running_work.h"

#include "marjoramloom/share/share_ledger.h"

#include <algorithm>
#include <cassert>

namespace marjoramloom {

namespace {

/// Short work that used more than this factor of its estimate is handled as long work.
constexpr auto shortWorkOverrunFactor = 4.0;

} // namespace

auto charged_request::remaining() const -> double
{
    return std::max(0.0, granted.charged - used);
}

running_work::running_work(share_ledger &ledger)
    : m_ledger(ledger)
{
}

auto running_work::start(const charged_request &request) -> void
{
    [[maybe_unused]] const auto added = m_requests.emplace(request.granted.ticket, request).second;
    assert(added);
    m_ledger.charge(request.granted.account, request.remaining());
    ++m_accountCounts[request.granted.account];
}

auto running_work::progress(ticket_id id, double cost, time_point now) -> charged_request *
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        return nullptr;
    }
    auto &request = found->second;
    if (cost > request.used) {
        const auto remainingBefore = request.remaining();
        if (!std::exchange(request.adopted, false)) {
            m_ledger.recordUsage(id.router, request.granted.account, cost - request.used, now);
            m_usage.add(now, cost - request.used);
        }
        request.used = cost;
        m_ledger.charge(request.granted.account, request.remaining() - remainingBefore);
        if (request.used > shortWorkOverrunFactor * request.granted.charged) {
            request.length = work_length::longWork;
        }
    }
    return &request;
}

auto running_work::finish(ticket_id id) -> charged_request
{
    auto extracted = m_requests.extract(id);
    assert(!extracted.empty());
    m_ledger.charge(extracted.mapped().granted.account, -extracted.mapped().remaining());
    const auto count = m_accountCounts.find(extracted.mapped().granted.account);
    if (--count->second == 0) {
        m_accountCounts.erase(count);
    }
    return std::move(extracted.mapped());
}

auto running_work::find(ticket_id id) -> charged_request *
{
    const auto found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : &found->second;
}

auto running_work::all() const -> const std::unordered_map<ticket_id, charged_request> &
{
    return m_requests;
}

auto running_work::count(object_id account) const -> std::size_t
{
    const auto found = m_accountCounts.find(account);
    return found == m_accountCounts.end() ? 0 : found->second;
}

auto running_work::usageRate(time_point now) const -> double
{
    return m_usage.perSecond(now);
}

auto running_work::idsOf(incarnation_id router) const -> std::vector<ticket_id>
{
    auto ids = std::vector<ticket_id>();
    for (const auto &[id, request] : m_requests) {
        if (id.router == router) {
            ids.push_back(id);
        }
    }
    return ids;
}

} // namespace marjoramloom
