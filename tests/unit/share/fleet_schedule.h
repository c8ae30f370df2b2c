#pragma once

#include "share_fixtures.h"

#include "marjoramloom/share/fairness_bound.h"

#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <deque>
#include <functional>

namespace marjoramloom::share_test {

/// Simulates several pools of one service, each with one router, on a manual clock. Every account keeps a number of
/// tickets waiting, requests generate tokens at a fixed rate, and messages arrive one step later. Equal seeds give
/// equal runs.
class fleet_schedule
{
public:
    struct options
    {
        std::uint32_t sites = 3;
        std::uint32_t slots = 32; ///< Slots of each site.
        std::uint64_t seed = 1;
        dispatcher_settings settings;
        bool exchangeDigests = true;
        double hintError = 1; ///< A hint is off by up to this factor either way.
    };

    static constexpr auto stepSeconds = 0.02;
    static constexpr auto digestSeconds = 1.0;
    static constexpr auto reportSeconds = 0.24;
    static constexpr auto tokensPerSecond = 50.0; ///< Rate of one slot.
    static constexpr auto largestRequestCost = 6000.0;

    explicit fleet_schedule(const options &chosenOptions)
        : m_options(chosenOptions)
        , m_random(chosenOptions.seed)
    {
        for (auto index = std::uint32_t(0); index < chosenOptions.sites; ++index) {
            m_sites.emplace_back();
            m_sites.back().pool = { "dc" + std::to_string(index), model };
            m_sites.back().router = 1000 + index;
            restart(index);
        }
    }

    /// Replaces a site's dispatcher and ledger by empty ones, as a restart of the process does.
    auto restart(std::size_t index) -> void
    {
        auto &site = m_sites[index];
        site.poolDispatcher.reset();
        site.ledger = std::make_unique<share_ledger>();
        site.ledger->setWeights(m_weights);
        site.poolDispatcher = std::make_unique<dispatcher>(site.pool, m_options.settings, *site.ledger);
        auto servers = serversOf(m_options.slots / 8, 8);
        for (auto &server : servers) {
            server.id.value += 100 * index;
        }
        site.poolDispatcher->placement().setServers(servers, now());
    }

    auto setWeights(const std::map<object_id, double> &weights) -> void
    {
        m_weights = weights;
        for (auto &site : m_sites) {
            site.ledger->setWeights(weights);
        }
    }

    /// Keeps \p depth tickets of \p account waiting at a site from now on.
    auto keepWaiting(std::size_t site, object_id account, std::size_t depth) -> void
    {
        m_sites[site].depths[account] = depth;
    }

    /// Partitions a site from all others, or reconnects it.
    auto setPartitioned(std::size_t site, bool partitioned) -> void
    {
        m_sites[site].partitioned = partitioned;
    }

    /// Pauses or resumes a dispatcher. While it is paused, it decides nothing and its messages are queued.
    auto setPaused(std::size_t site, bool paused) -> void
    {
        m_sites[site].paused = paused;
    }

    auto runFor(double seconds) -> void
    {
        const auto end = m_seconds + seconds;
        while (m_seconds < end) {
            step();
        }
    }

    /// Service received so far, divided by weight.
    [[nodiscard]] auto received(object_id account) const -> double
    {
        const auto found = m_received.find(account);
        return (found == m_received.end() ? 0 : found->second) / m_weights.at(account);
    }

    /// Largest difference of received service among \p accounts.
    [[nodiscard]] auto gap(const std::vector<object_id> &accounts) const -> double
    {
        const auto [lowest, highest] =
            std::ranges::minmax(accounts, {}, [this](object_id account) { return received(account); });
        return received(highest) - received(lowest);
    }

    /// Fraction of the time of all slots that was used since the start.
    [[nodiscard]] auto utilisation() const -> double
    {
        return m_busySeconds / (m_seconds * m_options.slots * double(m_sites.size()));
    }

    [[nodiscard]] auto inputs() const -> fairness_inputs
    {
        auto result = fairness_inputs();
        result.slots = m_options.slots * std::uint32_t(m_sites.size());
        result.largestRequestCost = largestRequestCost;
        result.serviceRate = result.slots * tokensPerSecond;
        result.stalenessSeconds = digestSeconds + reportSeconds + 4 * stepSeconds;
        result.threshold = std::max(m_options.settings.pullThreshold, m_options.settings.shortWorkLead);
        return result;
    }

    [[nodiscard]] auto longestWait(object_id account) const -> double
    {
        const auto found = m_longestWait.find(account);
        return found == m_longestWait.end() ? 0 : found->second;
    }

    [[nodiscard]] auto refusals(object_id account) const -> std::size_t
    {
        const auto found = m_refused.find(account);
        return found == m_refused.end() ? 0 : found->second;
    }

    [[nodiscard]] auto seconds() const -> double
    {
        return m_seconds;
    }

    [[nodiscard]] auto poolDispatcher(std::size_t site) -> dispatcher &
    {
        return *m_sites[site].poolDispatcher;
    }

private:
    struct simulated_request
    {
        std::size_t grantingSite = 0; ///< Site whose dispatcher granted the request.
        object_id account;
        double cost = 0;
        double used = 0;
        double reported = 0;
        grant granted;
    };

    struct site
    {
        pool_id pool;
        incarnation_id router = 0;
        std::uint64_t serial = 0;
        std::unique_ptr<share_ledger> ledger;
        std::unique_ptr<dispatcher> poolDispatcher;
        std::map<object_id, std::size_t> depths;
        std::map<ticket_id, ticket> waiting; ///< Waiting tickets of this site's router.
        std::map<object_id, std::size_t> waitingCounts;
        std::map<ticket_id, simulated_request> running;
        std::deque<std::function<void()>> inbox;
        std::vector<std::uint64_t> totalsSent;
        bool partitioned = false;
        bool paused = false;
    };

    [[nodiscard]] auto now() const -> time_point
    {
        return at(m_seconds);
    }

    [[nodiscard]] auto uniform() -> double
    {
        return boost::random::uniform_01<double>()(m_random);
    }

    [[nodiscard]] auto sampleCost() -> double
    {
        const auto typical = boost::random::lognormal_distribution<double>(5, 0.6)(m_random);
        return std::min(largestRequestCost, uniform() < 0.02 ? typical * 30 : typical);
    }

    auto reachable(std::size_t from, std::size_t to) const -> bool
    {
        return from == to || (!m_sites[from].partitioned && !m_sites[to].partitioned);
    }

    /// Delivers \p message to \p to in the next step, unless the sites are partitioned.
    auto send(std::size_t from, std::size_t to, std::function<void()> message) -> void
    {
        if (reachable(from, to)) {
            m_sites[to].inbox.push_back(std::move(message));
        }
    }

    auto siteOf(const pool_id &pool) const -> std::size_t
    {
        return std::size_t(std::ranges::find(m_sites, pool, &site::pool) - m_sites.begin());
    }

    auto step() -> void
    {
        m_seconds += stepSeconds;
        ++m_steps;
        for (auto index = std::size_t(0); index < m_sites.size(); ++index) {
            if (!m_sites[index].paused) {
                for (auto &message : std::exchange(m_sites[index].inbox, {})) {
                    message();
                }
            }
        }
        for (auto index = std::size_t(0); index < m_sites.size(); ++index) {
            submitTickets(index);
            runRequests(index);
            if (m_steps % std::uint64_t(digestSeconds / stepSeconds) == 0) {
                exchangeState(index);
                resendState(index);
            }
            if (!m_sites[index].paused) {
                applyDecisions(index, m_sites[index].poolDispatcher->decide(now()));
            }
        }
    }

    auto submitTickets(std::size_t index) -> void
    {
        auto &site = m_sites[index];
        for (const auto &[account, depth] : site.depths) {
            while (site.waitingCounts[account] < depth) {
                auto waiting = ticketOf(account, ++site.serial, m_seconds);
                waiting.id.router = site.router;
                waiting.origin = site.pool;
                waiting.deadline = at(m_seconds + 3600);
                waiting.expectedCost = 200 * std::pow(m_options.hintError, 2 * uniform() - 1);
                site.waiting[waiting.id] = waiting;
                ++site.waitingCounts[account];
                send(index, index, [this, index, waiting] { m_sites[index].poolDispatcher->submit(waiting, now()); });
            }
        }
    }

    auto runRequests(std::size_t index) -> void
    {
        auto &site = m_sites[index];
        const auto isReportStep = m_steps % std::uint64_t(reportSeconds / stepSeconds) == 0;
        for (auto entry = site.running.begin(); entry != site.running.end();) {
            auto &[id, request] = *entry;
            const auto tokens = std::min(tokensPerSecond * stepSeconds, request.cost - request.used);
            request.used += tokens;
            m_received[request.account] += tokens;
            m_busySeconds += tokens / tokensPerSecond;
            const auto hasEnded = request.used >= request.cost;
            if (hasEnded || isReportStep) {
                site.ledger->count(site.router, request.account, request.used - request.reported);
                request.reported = request.used;
                reportProgress(index, id, request, hasEnded);
            }
            entry = hasEnded ? site.running.erase(entry) : std::next(entry);
        }
    }

    auto reportProgress(std::size_t index, ticket_id id, const simulated_request &request, bool hasEnded) -> void
    {
        const auto to = request.grantingSite;
        const auto used = request.used;
        const auto granted = request.granted;
        send(index, to, [this, to, id, used, hasEnded, granted] {
            auto &target = *m_sites[to].poolDispatcher;
            if (!target.hasTicket(id)) {
                target.adopt(granted, work_length::shortWork, now());
            }
            hasEnded ? target.settle(id, used, now()) : target.progress(id, used, now());
        });
    }

    /// Sends a router's waiting tickets and running requests again, as routers do each second so that lost messages are
    /// recovered and new dispatchers learn the state.
    auto resendState(std::size_t index) -> void
    {
        for (const auto &entry : m_sites[index].waiting) {
            const auto waiting = entry.second;
            send(index, index, [this, index, waiting] { m_sites[index].poolDispatcher->submit(waiting, now()); });
        }
        for (auto site = std::size_t(0); site < m_sites.size(); ++site) {
            auto running = std::vector<ticket_id>();
            for (const auto &[id, request] : m_sites[index].running) {
                if (request.grantingSite == site) {
                    running.push_back(id);
                }
            }
            const auto router = m_sites[index].router;
            send(index, site, [this, site, router, running] {
                m_sites[site].poolDispatcher->confirmRunning(router, running, now());
            });
            if (!reachable(index, site)) {
                m_sites[site].poolDispatcher->removeRouter(router, now());
            }
        }
    }

    auto exchangeState(std::size_t index) -> void
    {
        auto &site = m_sites[index];
        site.totalsSent.resize(m_sites.size());
        if (site.paused) {
            return;
        }
        const auto digest = site.poolDispatcher->makeDigest(now());
        for (auto other = std::size_t(0); other < m_sites.size(); ++other) {
            if (other == index || !reachable(index, other)) {
                continue;
            }
            const auto totals = site.ledger->totalsSince(0, site.totalsSent[other]);
            send(index, other, [this, other, totals, digest] {
                m_sites[other].ledger->merge(totals);
                if (m_options.exchangeDigests) {
                    m_sites[other].poolDispatcher->absorbDigest(digest, now());
                }
            });
        }
    }

    auto applyDecisions(std::size_t index, const dispatch_decisions &decisions) -> void
    {
        for (const auto &granted : decisions.grants) {
            const auto originSite = siteOf(granted.origin);
            send(index, originSite, [this, index, originSite, granted] { startRequest(index, originSite, granted); });
        }
        for (const auto &refused : decisions.refusals) {
            const auto originSite = siteOf(refused.origin);
            ++m_refused[refused.account];
            send(index, originSite, [this, originSite, refused] { removeWaiting(originSite, refused.ticket); });
        }
        for (const auto &pull : decisions.pulls) {
            const auto to = siteOf(pull.to);
            send(index, to, [this, index, to, pull] {
                for (const auto &released : m_sites[to].poolDispatcher->releaseForPull(pull, now())) {
                    send(to, index,
                         [this, index, released] { m_sites[index].poolDispatcher->submit(released, now()); });
                }
            });
        }
    }

    auto removeWaiting(std::size_t originSite, ticket_id id) -> bool
    {
        auto &site = m_sites[originSite];
        const auto found = site.waiting.find(id);
        if (found == site.waiting.end()) {
            return false;
        }
        const auto account = found->second.account;
        const auto waited =
            m_seconds - std::chrono::duration<double>(found->second.submitted.time_since_epoch()).count();
        m_longestWait[account] = std::max(m_longestWait[account], waited);
        --site.waitingCounts[account];
        site.waiting.erase(found);
        return true;
    }

    auto startRequest(std::size_t grantingSite, std::size_t originSite, const grant &granted) -> void
    {
        if (removeWaiting(originSite, granted.ticket)) {
            m_sites[originSite].running[granted.ticket] = {
                grantingSite, granted.account, sampleCost(), 0, 0, granted
            };
        } else if (!m_sites[originSite].running.contains(granted.ticket)) {
            send(originSite, grantingSite, [this, grantingSite, granted] {
                m_sites[grantingSite].poolDispatcher->settle(granted.ticket, 0, now());
            });
        }
    }

    options m_options;
    boost::random::mt19937_64 m_random;
    std::map<object_id, double> m_weights;
    std::deque<site> m_sites;
    double m_seconds = 0;
    std::uint64_t m_steps = 0;
    double m_busySeconds = 0;
    std::unordered_map<object_id, double> m_received;
    std::unordered_map<object_id, double> m_longestWait;
    std::unordered_map<object_id, std::size_t> m_refused;
};

} // namespace marjoramloom::share_test
