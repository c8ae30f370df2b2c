#include "soak_run.h"

#include <algorithm>
#include <csignal>
#include <queue>

namespace marjoramloom::soak {

namespace {

/// Time that the run continues after the last fault. It covers the recovery limit of the checks (recoveryLimit) and
/// some time after it in which the fleet must serve.
constexpr auto recoveryObservation = milliseconds(14'500);
/// Time for a router to exit after SIGTERM: its grace period (graceSeconds) with a margin.
constexpr auto stopTimeoutMs = 9'000;
constexpr double graceSeconds = 4;

/// Whether the fault is an operation during which the guarantees of the checks hold, not an unplanned failure.
auto isPlannedOperation(fault_kind kind) -> bool
{
    return kind == fault_kind::stopRouter || kind == fault_kind::reloadRouter || kind == fault_kind::serverLeaves
        || kind == fault_kind::serverSaysLeaving || kind == fault_kind::serverAsksPause
        || kind == fault_kind::keyRevoked || kind == fault_kind::configurationChange
        || kind == fault_kind::versionJoins;
}

} // namespace

soak_run::soak_run(soak_options options)
    : m_options(options)
{
    for (auto router = 0; router < m_options.routers; ++router) {
        m_routerStores.push_back(std::make_unique<test::peer_relays>());
    }
    auto plan = test::gateway_plan();
    plan.routers = m_options.routers;
    plan.servers = m_options.servers;
    plan.callMs = 5;
    for (auto server = 0; server < m_options.servers; ++server) {
        plan.serverVersions.emplace_back(2 * server < m_options.servers ? "v1" : "v2");
    }
    const auto versions = plan.serverVersions;
    plan.graceSeconds = graceSeconds;
    plan.storeAddressForRouter = [this](int router, const std::string &address) {
        m_storeAddress = address;
        return m_routerStores[static_cast<std::size_t>(router)]->addressFor(address);
    };
    plan.listedServerAddress = [this](const std::string &address) {
        return m_relays.addressFor(address);
    };
    m_fleet = std::make_unique<test::gateway_fleet>(std::move(plan));
    for (auto index = std::size_t(0); index < versions.size(); ++index) {
        const auto &name = m_fleet->servers()[index]->name();
        m_history.versions[name] = versions[index];
        if (versions[index] != versions.front() && doesVersionJoin(m_options.seed)) {
            m_fleet->removeObject("servers", name);
            m_joining.push_back(index);
        }
    }
    m_serverIncarnations.resize(static_cast<std::size_t>(m_options.servers));
    m_start = std::chrono::steady_clock::now();
}

auto soak_run::folder() const -> const std::string &
{
    return m_fleet->folder();
}

auto soak_run::history() const -> const run_history &
{
    return m_history;
}

auto soak_run::elapsed() const -> milliseconds
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - m_start);
}

auto soak_run::execute() -> std::vector<std::string>
{
    auto callers = std::vector<std::thread>();
    for (auto caller = 0; caller < m_options.callers; ++caller) {
        callers.emplace_back([this, caller] { sendRequests(caller); });
    }
    injectFaults(generateFaults(m_options.seed, m_options.faultTime));
    restoreFleet();
    m_history.faultsEnd = elapsed();
    std::this_thread::sleep_for(recoveryObservation);
    m_finished = true;
    for (auto &caller : callers) {
        caller.join();
    }
    for (const auto &server : m_fleet->servers()) {
        m_history.records[server->name()] = server->record();
    }
    return findViolations(m_history);
}

auto soak_run::killAllRouters(milliseconds duration) -> void
{
    for (auto index = std::size_t(0); index < m_fleet->routers().size(); ++index) {
        m_history.interruptions.emplace(index,
                                        time_span{ elapsed(), elapsed() + duration + milliseconds(stopTimeoutMs) });
        m_fleet->routers()[index].process->signal(SIGKILL);
    }
}

auto soak_run::injectFaults(const std::vector<planned_fault> &faults) -> void
{
    const auto endsLater = [](const planned_fault &left, const planned_fault &right) {
        return left.at + left.duration > right.at + right.duration;
    };
    auto running = std::priority_queue<planned_fault, std::vector<planned_fault>, decltype(endsLater)>(endsLater);
    auto next = faults.begin();
    while (next != faults.end() || !running.empty()) {
        const auto endsFirst =
            next == faults.end() || (!running.empty() && running.top().at + running.top().duration < next->at);
        const auto at = endsFirst ? running.top().at + running.top().duration : next->at;
        std::this_thread::sleep_until(m_start + at);
        if (endsFirst) {
            endFault(running.top());
            running.pop();
        } else {
            beginFault(*next);
            running.push(*next++);
        }
    }
}

auto soak_run::beginFault(const planned_fault &fault) -> void
{
    if (!isPlannedOperation(fault.kind)) {
        m_history.disturbances.push_back({ elapsed(), elapsed() + fault.duration });
    }
    const auto router = fault.target % m_fleet->routers().size();
    const auto server = fault.target % m_fleet->servers().size();
    switch (fault.kind) {
    case fault_kind::pauseRouter:
    case fault_kind::killRouter:
    case fault_kind::stopRouter:
    case fault_kind::reloadRouter:
        beginRouterFault(fault, router);
        break;
    case fault_kind::killAllRouters:
        killAllRouters(fault.duration);
        break;
    case fault_kind::storeOutage:
        m_fleet->store().setFaults(R"([{"kind":"outage","match":"/v1/"},{"kind":"outage"}])");
        break;
    case fault_kind::storeSilent:
        m_routerStores[router]->cut(m_storeAddress);
        break;
    case fault_kind::storeReset:
        m_routerStores[router]->reset(m_storeAddress);
        break;
    case fault_kind::serverPaused:
    case fault_kind::serverSilent:
    case fault_kind::serverAnswersLost:
    case fault_kind::serverReset:
    case fault_kind::serverLeaves:
    case fault_kind::serverSaysLeaving:
    case fault_kind::serverAsksPause:
        beginServerFault(fault, server);
        break;
    case fault_kind::keyRevoked:
        replaceKey();
        break;
    case fault_kind::configurationChange:
        m_fleet->writeConfiguration({ m_alphaKey });
        break;
    case fault_kind::storeRestored:
        m_copies.emplace(fault.at, m_fleet->storeStatistic("revision"));
        break;
    case fault_kind::versionJoins:
        m_hasJoined = true;
        for (const auto joining : m_joining) {
            if (!m_leavingSince.contains(joining)) {
                listAnew(joining);
            }
        }
        break;
    }
}

auto soak_run::beginRouterFault(const planned_fault &fault, std::size_t index) -> void
{
    auto &process = *m_fleet->routers()[index].process;
    if (fault.kind != fault_kind::reloadRouter) {
        m_history.interruptions.emplace(
            index, time_span{ elapsed(), elapsed() + fault.duration + milliseconds(stopTimeoutMs) });
    }
    switch (fault.kind) {
    case fault_kind::pauseRouter:
        if (m_routerPauses[index]++ == 0) {
            process.signal(SIGSTOP);
        }
        break;
    case fault_kind::killRouter:
        process.signal(SIGKILL);
        break;
    case fault_kind::stopRouter:
        m_history.stops.emplace(index, time_span{ elapsed(), elapsed() + milliseconds(stopTimeoutMs) });
        process.signal(SIGTERM);
        break;
    default:
        process.signal(SIGHUP);
        break;
    }
}

auto soak_run::beginServerFault(const planned_fault &fault, std::size_t index) -> void
{
    auto &server = *m_fleet->servers()[index];
    switch (fault.kind) {
    case fault_kind::serverPaused:
        if (m_serverPauses[index]++ == 0) {
            server.process().signal(SIGSTOP);
        }
        break;
    case fault_kind::serverSilent:
        m_relays.cut(server.address());
        m_relays.resume(server.address());
        break;
    case fault_kind::serverAnswersLost:
        m_relays.cutAnswers(server.address());
        break;
    case fault_kind::serverReset:
        m_relays.reset(server.address());
        break;
    case fault_kind::serverAsksPause:
        ++m_asksPause[index];
        applyNotices(index);
        break;
    case fault_kind::serverSaysLeaving:
        // A server leaves once at a time, and a suspended one says nothing.
        if (m_serverPauses[index] == 0 && m_leavingSince.emplace(index, fault.at).second) {
            ++m_saysLeaving[index];
            applyNotices(index);
            m_history.saysLeaving.emplace(server.name(), time_span{ elapsed(), elapsed() + fault.duration });
        }
        break;
    default:
        if (!m_leavingSince.emplace(index, fault.at).second) {
            break;
        }
        m_fleet->writeServer(index, "draining", m_serverIncarnations[index]);
        m_history.leaving.emplace(server.name(), time_span{ elapsed(), elapsed() + fault.duration });
        break;
    }
}

auto soak_run::endFault(const planned_fault &fault) -> void
{
    const auto index = fault.target % m_fleet->routers().size();
    auto &router = m_fleet->routers()[index];
    const auto server = fault.target % m_fleet->servers().size();
    switch (fault.kind) {
    case fault_kind::pauseRouter:
        if (--m_routerPauses[index] == 0) {
            router.process->signal(SIGCONT);
        }
        break;
    case fault_kind::stopRouter:
        router.process->signal(SIGCONT);
        m_routerPauses[index] = 0;
        if (!router.process->waitForExit(stopTimeoutMs)) {
            router.process->signal(SIGKILL);
        }
        m_fleet->start(router, false);
        break;
    case fault_kind::killRouter:
        m_routerPauses[index] = 0;
        m_fleet->start(router, false);
        break;
    case fault_kind::killAllRouters:
        m_routerPauses.clear();
        for (auto &killed : m_fleet->routers()) {
            if (!killed.process->running()) {
                m_fleet->start(killed, false);
            }
        }
        break;
    case fault_kind::storeOutage:
        m_fleet->store().setFaults("[]");
        writeAgain();
        break;
    case fault_kind::storeRestored:
        m_fleet->restoreStore(m_copies.at(fault.at));
        m_mustWriteAgain = true;
        writeAgain();
        break;
    case fault_kind::storeSilent:
        m_routerStores[index]->resume(m_storeAddress);
        break;
    default:
        endServerFault(fault, server);
        break;
    }
}

auto soak_run::endServerFault(const planned_fault &fault, std::size_t index) -> void
{
    const auto leaving = m_leavingSince.find(index);
    const auto ownsLeaving = leaving != m_leavingSince.end() && leaving->second == fault.at;
    switch (fault.kind) {
    case fault_kind::serverPaused:
        if (--m_serverPauses[index] == 0) {
            m_fleet->servers()[index]->process().signal(SIGCONT);
            applyNotices(index);
        }
        break;
    case fault_kind::serverLeaves:
        if (ownsLeaving) {
            listAnew(index);
        }
        break;
    case fault_kind::serverSaysLeaving:
        if (ownsLeaving) {
            --m_saysLeaving[index];
            applyNotices(index);
            listAnew(index);
        }
        break;
    case fault_kind::serverAsksPause:
        --m_asksPause[index];
        applyNotices(index);
        break;
    default:
        break;
    }
}

auto soak_run::listAnew(std::size_t index) -> void
{
    m_leavingSince.erase(index);
    m_fleet->writeServer(index, "ready", ++m_serverIncarnations[index]);
}

auto soak_run::applyNotices(std::size_t index) -> void
{
    if (m_serverPauses[index] > 0) {
        return; // A suspended process does not answer.
    }
    auto faults = std::string();
    if (m_saysLeaving[index] > 0) {
        faults += R"({"kind":"leaving"})";
    }
    if (m_asksPause[index] > 0) {
        const auto seconds = std::chrono::duration<double>(pauseLength).count();
        faults += faults.empty() ? "" : ",";
        faults += R"({"kind":"refuse","value":")" + std::to_string(seconds) + R"("})";
    }
    m_fleet->servers()[index]->setFaults("[" + faults + "]");
}

auto soak_run::writeAgain() -> void
{
    if (!m_mustWriteAgain) {
        return;
    }
    m_mustWriteAgain = !m_fleet->writeConfigurationAgain();
    for (auto index = std::size_t(0); index < m_fleet->servers().size(); ++index) {
        const auto isJoining = std::find(m_joining.begin(), m_joining.end(), index) != m_joining.end();
        if (isJoining && !m_hasJoined && m_serverIncarnations[index] == 0) {
            continue;
        }
        const auto isDraining = m_leavingSince.contains(index) && m_saysLeaving[index] == 0;
        const auto isWritten =
            m_fleet->writeServer(index, isDraining ? "draining" : "ready", m_serverIncarnations[index]);
        m_mustWriteAgain = m_mustWriteAgain || !isWritten;
    }
}

auto soak_run::restoreFleet() -> void
{
    m_fleet->store().setFaults("[]");
    writeAgain();
    for (auto &router : m_fleet->routers()) {
        if (!router.process->running()) {
            m_fleet->start(router, false);
        }
    }
}

/// Replaces the key of account alpha. The old key counts as revoked when the store acknowledges the new version.
auto soak_run::replaceKey() -> void
{
    const auto newKey = "key-alpha-" + std::to_string(++m_keyCount);
    if (!m_fleet->writeConfiguration({ newKey })) {
        return;
    }
    const auto lock = std::lock_guard(m_mutex);
    m_history.revokedAt.emplace(m_alphaKey, elapsed());
    m_alphaKey = newKey;
}

} // namespace marjoramloom::soak
