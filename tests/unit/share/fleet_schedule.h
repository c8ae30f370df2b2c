#pragma once

#include "share_fixtures.h"

#include "marjoramloom/share/fairness_bound.h"

#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <deque>
#include <functional>

namespace marjoramloom::share_test {

/// Several pools of one service, each with one router, on a manual clock: every account keeps tickets waiting, requests
/// run at a fixed pace, and messages arrive one step later. Equal seeds give equal runs.
class fleet_schedule
{
public:
    struct options
    {
        std::uint32_t sites = 3;
        std::uint32_t slots = 32; ///< Of each site.
        std::uint64_t seed = 1;
        dispatcher_settings settings;
        bool exchangeDigests = true;
        double hintError = 1; ///< A hint is off by up to this factor either way.
    };

    static constexpr auto stepSeconds = 0.02;
    static constexpr auto digestSeconds = 1.0;
    static constexpr auto reportSeconds = 0.24;
    static constexpr auto tokensPerSecond = 50.0; ///< Of one slot.
    static constexpr auto largestPiece = 6000.0;

    explicit fleet_schedule(const options &chosen)
        : m_options(chosen)
        , m_random(chosen.seed)
    {
        for (auto index = std::uint32_t(0); index < chosen.sites; ++index) {
            m_sites.emplace_back();
            m_sites.back().pool = { "dc" + std::to_string(index), model };
            m_sites.back().router = 1000 + index;
            restart(index);
        }
    }

    /// A new dispatcher process that knows nothing yet.
    auto restart(std::size_t index) -> void
    {
        auto &site = m_sites[index];
        site.desk.reset();
        site.ledger = std::make_unique<share_ledger>();
        site.ledger->setWeights(m_weights);
        site.desk = std::make_unique<dispatcher>(site.pool, m_options.settings, *site.ledger);
        auto servers = serversOf(m_options.slots / 8, 8);
        for (auto &server : servers) {
            server.id.value += 100 * index;
        }
        site.desk->placement().setServers(servers, now());
    }

    auto setWeights(const std::map<object_id, double> &weights) -> void
    {
        m_weights = weights;
        for (auto &site : m_sites) {
            site.ledger->setWeights(weights);
        }
    }

    /// From now on \p account keeps \p depth tickets waiting at a site.
    auto keepWaiting(std::size_t site, object_id account, std::size_t depth) -> void
    {
        m_sites[site].depths[account] = depth;
    }

    /// Parts a site from all others, or joins it again.
    auto setCut(std::size_t site, bool cut) -> void
    {
        m_sites[site].cut = cut;
    }

    /// A paused dispatcher reads and decides nothing; its messages wait.
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

    /// Part of all slots' time that was used since the start.
    [[nodiscard]] auto utilisation() const -> double
    {
        return m_busySeconds / (m_seconds * m_options.slots * double(m_sites.size()));
    }

    [[nodiscard]] auto inputs() const -> fairness_inputs
    {
        auto made = fairness_inputs();
        made.slots = m_options.slots * std::uint32_t(m_sites.size());
        made.largestPiece = largestPiece;
        made.serviceRate = made.slots * tokensPerSecond;
        made.stalenessSeconds = digestSeconds + reportSeconds + 4 * stepSeconds;
        made.threshold = std::max(m_options.settings.pullThreshold, m_options.settings.shortAdvance);
        return made;
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

    [[nodiscard]] auto desk(std::size_t site) -> dispatcher &
    {
        return *m_sites[site].desk;
    }

private:
    struct piece
    {
        std::size_t desk = 0; ///< Site whose dispatcher granted it.
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
        std::unique_ptr<dispatcher> desk;
        std::map<object_id, std::size_t> depths;
        std::map<ticket_id, ticket> waiting; ///< In this site's router.
        std::map<object_id, std::size_t> waitingCounts;
        std::map<ticket_id, piece> running;
        std::deque<std::function<void()>> inbox;
        std::vector<std::uint64_t> totalsSent;
        bool cut = false;
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
        return std::min(largestPiece, uniform() < 0.02 ? typical * 30 : typical);
    }

    auto reachable(std::size_t from, std::size_t to) const -> bool
    {
        return from == to || (!m_sites[from].cut && !m_sites[to].cut);
    }

    /// Has \p message read at \p to in the next step, unless the way is cut.
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
            topUp(index);
            runPieces(index);
            if (m_steps % std::uint64_t(digestSeconds / stepSeconds) == 0) {
                exchange(index);
                sendAgain(index);
            }
            if (!m_sites[index].paused) {
                carryOut(index, m_sites[index].desk->decide(now()));
            }
        }
    }

    auto topUp(std::size_t index) -> void
    {
        auto &site = m_sites[index];
        for (const auto &[account, depth] : site.depths) {
            while (site.waitingCounts[account] < depth) {
                auto made = ticketOf(account, ++site.serial, m_seconds);
                made.id.router = site.router;
                made.origin = site.pool;
                made.deadline = at(m_seconds + 3600);
                made.expectedCost = 200 * std::pow(m_options.hintError, 2 * uniform() - 1);
                site.waiting[made.id] = made;
                ++site.waitingCounts[account];
                send(index, index, [this, index, made] { m_sites[index].desk->submit(made, now()); });
            }
        }
    }

    auto runPieces(std::size_t index) -> void
    {
        auto &site = m_sites[index];
        const auto report = m_steps % std::uint64_t(reportSeconds / stepSeconds) == 0;
        for (auto row = site.running.begin(); row != site.running.end();) {
            auto &[id, running] = *row;
            const auto use = std::min(tokensPerSecond * stepSeconds, running.cost - running.used);
            running.used += use;
            m_received[running.account] += use;
            m_busySeconds += use / tokensPerSecond;
            const auto ended = running.used >= running.cost;
            if (ended || report) {
                site.ledger->count(site.router, running.account, running.used - running.reported);
                running.reported = running.used;
                tell(index, id, running, ended);
            }
            row = ended ? site.running.erase(row) : std::next(row);
        }
    }

    auto tell(std::size_t index, ticket_id id, const piece &running, bool ended) -> void
    {
        const auto to = running.desk;
        const auto used = running.used;
        const auto granted = running.granted;
        send(index, to, [this, to, id, used, ended, granted] {
            auto &desk = *m_sites[to].desk;
            if (!desk.knows(id)) {
                desk.adopt(granted, work_length::shortWork, now());
            }
            ended ? desk.settle(id, used, now()) : desk.progress(id, used, now());
        });
    }

    /// What routers send each second, so that lost messages and new dispatchers do no harm.
    auto sendAgain(std::size_t index) -> void
    {
        for (const auto &row : m_sites[index].waiting) {
            const auto waiting = row.second;
            send(index, index, [this, index, waiting] { m_sites[index].desk->submit(waiting, now()); });
        }
        for (auto desk = std::size_t(0); desk < m_sites.size(); ++desk) {
            auto running = std::vector<ticket_id>();
            for (const auto &[id, row] : m_sites[index].running) {
                if (row.desk == desk) {
                    running.push_back(id);
                }
            }
            const auto router = m_sites[index].router;
            send(index, desk,
                 [this, desk, router, running] { m_sites[desk].desk->confirmRunning(router, running, now()); });
            if (!reachable(index, desk)) {
                m_sites[desk].desk->forgetRouter(router, now());
            }
        }
    }

    auto exchange(std::size_t index) -> void
    {
        auto &site = m_sites[index];
        site.totalsSent.resize(m_sites.size());
        if (site.paused) {
            return;
        }
        const auto digest = site.desk->makeDigest(now());
        for (auto other = std::size_t(0); other < m_sites.size(); ++other) {
            if (other == index || !reachable(index, other)) {
                continue;
            }
            const auto totals = site.ledger->totalsSince(0, site.totalsSent[other]);
            send(index, other, [this, other, totals, digest] {
                m_sites[other].ledger->merge(totals);
                if (m_options.exchangeDigests) {
                    m_sites[other].desk->absorbDigest(digest, now());
                }
            });
        }
    }

    auto carryOut(std::size_t index, const dispatch_decisions &decided) -> void
    {
        for (const auto &granted : decided.grants) {
            const auto home = siteOf(granted.origin);
            send(index, home, [this, index, home, granted] { begin(index, home, granted); });
        }
        for (const auto &refused : decided.refusals) {
            const auto home = siteOf(refused.origin);
            ++m_refused[refused.account];
            send(index, home, [this, home, refused] { forgetWaiting(home, refused.ticket); });
        }
        for (const auto &asked : decided.pulls) {
            const auto to = siteOf(asked.to);
            send(index, to, [this, index, to, asked] {
                for (const auto &released : m_sites[to].desk->releaseForPull(asked, now())) {
                    send(to, index, [this, index, released] { m_sites[index].desk->submit(released, now()); });
                }
            });
        }
    }

    auto forgetWaiting(std::size_t home, ticket_id id) -> bool
    {
        auto &site = m_sites[home];
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

    auto begin(std::size_t desk, std::size_t home, const grant &granted) -> void
    {
        if (forgetWaiting(home, granted.ticket)) {
            m_sites[home].running[granted.ticket] = { desk, granted.account, sampleCost(), 0, 0, granted };
        } else if (!m_sites[home].running.contains(granted.ticket)) {
            send(home, desk, [this, desk, granted] { m_sites[desk].desk->settle(granted.ticket, 0, now()); });
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
