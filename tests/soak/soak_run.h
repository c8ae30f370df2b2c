#pragma once

#include "process/peer/peer_relays.h"
#include "soak_checks.h"
#include "soak_plan.h"
#include "support/gateway_fleet.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace marjoramloom::soak {

struct soak_options
{
    std::uint64_t seed = 1;
    int routers = 5;
    int servers = 4;
    int callers = 12;
    milliseconds faultTime{ 10'000 }; ///< Span over which faults begin.
};

/// One run: real routers and stand-ins as processes, callers on threads, faults from outside.
class soak_run
{
public:
    explicit soak_run(soak_options options);

    /// Plays the run and returns its violations. Call once.
    auto play() -> std::vector<std::string>;

    /// Folder of the processes' settings and logs.
    [[nodiscard]] auto folder() const -> const std::string &;

    [[nodiscard]] auto history() const -> const run_history &;

private:
    auto now() const -> milliseconds;
    auto callLoop(int caller) -> void;
    auto begin(const planned_fault &fault) -> void;
    auto beginAtRouter(const planned_fault &fault, std::size_t index) -> void;
    auto beginAtServer(const planned_fault &fault, std::size_t index) -> void;
    auto end(const planned_fault &fault) -> void;
    auto playFaults(const std::vector<planned_fault> &faults) -> void;
    auto healAll() -> void;
    auto replaceKey() -> void;

    soak_options m_options;
    test::peer_relays m_relays;
    std::vector<std::unique_ptr<test::peer_relays>> m_routerStores; ///< Each router's own way to the store.
    std::string m_storeAddress;
    std::unique_ptr<test::gateway_fleet> m_fleet;
    std::chrono::steady_clock::time_point m_start;
    std::atomic<bool> m_over = false;
    std::mutex m_mutex; ///< Of the history's outcomes and the key in force.
    run_history m_history;
    std::string m_alphaKey = "key-alpha";
    int m_keys = 0;
    std::vector<int> m_serverRuns;
    std::map<std::size_t, int> m_pauses; ///< By router, pauses that overlap.
    std::map<std::size_t, int> m_serverPauses;
};

} // namespace marjoramloom::soak
