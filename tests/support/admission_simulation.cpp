#include "admission_simulation.h"

#include <algorithm>

namespace marjoramloom {

namespace {

using namespace std::chrono_literals;

constexpr auto service = "pool";
constexpr std::size_t reportPeriodMs = 120;
constexpr double minReportDelayMs = 2;
constexpr double maxReportDelayMs = 40;
constexpr double minRetryMs = 150;
constexpr double maxRetryMs = 600;

} // namespace

admission_simulation::shard::shard(std::uint64_t seed)
    : state(gateway_settings(), { "10.0.0.1:7400", "north", 1 }, counters, seed)
    , dispatch(context.get_executor(), state, [](std::uint64_t, std::uint64_t, const placement_query &) {})
{
}

admission_simulation::admission_simulation(std::uint64_t seed)
    : m_random(seed)
{
    auto content = route_table_content();
    content.version = 1;
    content.services = { { .name = service, .engine = engine_profile{ .slots = 64, .kvCapacityTokens = 300'000 } } };
    const auto routes = std::make_shared<const route_table>(std::move(content));
    for (auto index = std::size_t(0); index < SHARDS; ++index) {
        auto &added = *m_shards.emplace_back(std::make_unique<shard>(seed + index));
        added.state.routes = routes;
        for (auto number = std::size_t(0); number < ENGINES_PER_SHARD; ++number) {
            auto server = listed_server();
            server.id = "engine-" + std::to_string(index) + "-" + std::to_string(number);
            server.service = service;
            server.address = "10.0.0.1:" + std::to_string(1'000 + index * 100 + number);
            server.slots = 64;
            added.state.servers.put(server, m_now);
            added.engines.push_back({ server_loads::incarnationId(server), {} });
        }
    }
    for (auto index = std::size_t(0); index < ROUTERS; ++index) {
        m_routers.push_back(std::make_unique<router>());
    }
}

auto admission_simulation::draw(double low, double high) -> double
{
    return boost::random::uniform_real_distribution<double>(low, high)(m_random);
}

auto admission_simulation::drawRequest(const std::vector<simulated_account> &accounts, std::size_t account) -> request
{
    const auto &from = accounts[account];
    const auto routers = from.routers == 0 ? ROUTERS : from.routers;
    return { .account = account,
             .router = (from.id + m_random() % routers) % ROUTERS,
             .shard = m_random() % SHARDS,
             .prompt = from.prompts[m_random() % from.prompts.size()],
             .retriesLeft = from.retries };
}

auto admission_simulation::run(const std::vector<simulated_account> &accounts, std::size_t seconds) -> void
{
    m_seconds.assign(seconds, {});
    auto due = std::vector<double>(accounts.size());
    for (auto millisecond = std::size_t(0); millisecond < seconds * 1'000; ++millisecond) {
        m_now = m_start + std::chrono::milliseconds(millisecond);
        prefill();
        exchangeReports(millisecond);
        const auto second = static_cast<double>(millisecond) / 1e3;
        auto sent = std::vector<request>();
        for (auto index = std::size_t(0); index < accounts.size(); ++index) {
            const auto &account = accounts[index];
            if (second < account.from || second >= account.until) {
                continue;
            }
            auto tokens = 0.0;
            for (const auto &prompt : account.prompts) {
                tokens += prompt.tokens / static_cast<double>(account.prompts.size());
            }
            for (due[index] += account.tokensPerSecond / 1e3 / tokens; due[index] >= 1; due[index] -= 1) {
                sent.push_back(drawRequest(accounts, index));
            }
        }
        const auto [first, last] = m_returning.equal_range(millisecond);
        for (auto entry = first; entry != last; ++entry) {
            sent.push_back(entry->second);
        }
        m_returning.erase(first, last);
        std::shuffle(sent.begin(), sent.end(), m_random);
        for (const auto &request : sent) {
            send(accounts, request, millisecond);
        }
    }
}

auto admission_simulation::prefill() -> void
{
    for (auto index = std::size_t(0); index < SHARDS; ++index) {
        for (auto &engine : m_shards[index]->engines) {
            auto budget = static_cast<std::uint32_t>(TOKENS_PER_MS);
            while (!engine.prompts.empty() && budget > 0) {
                auto &first = engine.prompts.front();
                const auto read = std::min(first.left, budget);
                first.left -= read;
                budget -= read;
                if (first.left > 0) {
                    continue;
                }
                auto &load = m_routers[first.router]->loads[index][engine.incarnation];
                load.pendingPrefillTokens -= first.tokens;
                --load.running;
                engine.prompts.pop_front();
            }
        }
    }
}

auto admission_simulation::exchangeReports(std::size_t millisecond) -> void
{
    for (auto index = std::size_t(0); index < ROUTERS; ++index) {
        if ((millisecond + index * reportPeriodMs / ROUTERS) % reportPeriodMs != 0) {
            continue;
        }
        auto &from = *m_routers[index];
        auto made = report{ .router = index, .snapshots = {}, .heard = from.heard };
        ++from.sequence;
        for (const auto &loads : from.loads) {
            auto &snapshot = made.snapshots.emplace_back();
            snapshot.router = index + 1;
            snapshot.sequence = from.sequence;
            for (const auto &[server, load] : loads) {
                if (load.running > 0) {
                    snapshot.engines.push_back(load);
                }
            }
            snapshot.accounts = from.usage.localAccountTokens(m_now);
        }
        const auto delay = static_cast<std::size_t>(draw(minReportDelayMs, maxReportDelayMs));
        m_reports.emplace(millisecond + delay, std::move(made));
    }
    const auto arrived = m_reports.upper_bound(millisecond);
    for (auto entry = m_reports.begin(); entry != arrived; ++entry) {
        auto &report = entry->second;
        for (auto index = std::size_t(0); index < SHARDS; ++index) {
            auto &state = m_shards[index]->state;
            if (state.fleet.update(std::move(report.snapshots[index]), m_now)) {
                state.placements.acknowledge(report.router + 1, report.heard[index]);
            }
        }
    }
    m_reports.erase(m_reports.begin(), arrived);
}

auto admission_simulation::send(const std::vector<simulated_account> &accounts, const request &sent,
                                std::size_t millisecond) -> void
{
    const auto &account = accounts[sent.account];
    auto &target = *m_shards[sent.shard];
    auto &from = *m_routers[sent.router];
    auto query = placement_query();
    query.service = service;
    query.prompt.parts = { prefix_block{ .id = m_random(), .tokens = sent.prompt.tokens } };
    query.prompt.promptTokens = sent.prompt.tokens;
    query.account = account.id;
    query.objective = sent.prompt.objective;
    m_largestPrompt = std::max(m_largestPrompt, sent.prompt.tokens);
    auto &sums = m_seconds[millisecond / 1'000][account.id];
    sums.asked += sent.prompt.tokens;
    const auto answer = target.dispatch.answer(sent.router + 1, ++m_number, query, m_now);
    if (!answer || answer->server == 0) {
        sums.refused = true;
        if (sent.retriesLeft > 0) {
            auto again = sent;
            --again.retriesLeft;
            m_returning.emplace(millisecond + static_cast<std::size_t>(draw(minRetryMs, maxRetryMs)), again);
        }
        return;
    }
    sums.placed += sent.prompt.tokens;
    from.usage.noteStarted(account.id, sent.prompt.tokens, m_now);
    from.heard[sent.shard] = answer->sequence;
    auto &load = from.loads[sent.shard][answer->server];
    load.server = answer->server;
    ++load.running;
    load.pendingPrefillTokens += sent.prompt.tokens;
    const auto engine = std::find_if(target.engines.begin(), target.engines.end(),
                                     [&](const auto &candidate) { return candidate.incarnation == answer->server; });
    engine->prompts.push_back({ sent.router, sent.prompt.tokens, sent.prompt.tokens });
}

auto admission_simulation::accountsBelowHalf(std::size_t first, std::size_t last) const -> std::set<std::uint64_t>
{
    constexpr std::size_t length = 6;
    constexpr std::uint64_t exemptPrompts = 3;
    auto below = std::set<std::uint64_t>();
    for (const auto &[account, ofFirst] : m_seconds.at(first)) {
        for (auto start = first; start + length <= last; ++start) {
            auto owed = std::uint64_t(0);
            auto got = std::uint64_t(0);
            auto refusedSeconds = std::size_t(0);
            for (auto second = start; second < start + length; ++second) {
                auto most = std::uint64_t(0);
                for (const auto &[id, sums] : m_seconds[second]) {
                    most = std::max(most, sums.placed);
                }
                const auto own = m_seconds[second].find(account);
                if (own != m_seconds[second].end() && own->second.refused) {
                    ++refusedSeconds;
                    owed += std::min(own->second.asked, most);
                    got += own->second.placed;
                }
            }
            if (refusedSeconds == length && 2 * got + exemptPrompts * m_largestPrompt < owed) {
                below.insert(account);
                break;
            }
        }
    }
    return below;
}

auto admission_simulation::placed(std::uint64_t account, std::size_t first, std::size_t last) const -> std::uint64_t
{
    auto sum = std::uint64_t(0);
    for (auto second = first; second < last; ++second) {
        const auto own = m_seconds.at(second).find(account);
        sum += own == m_seconds[second].end() ? 0 : own->second.placed;
    }
    return sum;
}

auto admission_simulation::engineUse(std::size_t first, std::size_t last) const -> double
{
    auto sum = std::uint64_t(0);
    for (auto second = first; second < last; ++second) {
        for (const auto &[id, sums] : m_seconds.at(second)) {
            sum += sums.placed;
        }
    }
    return static_cast<double>(sum) / static_cast<double>(last - first) / CAPACITY;
}

} // namespace marjoramloom
