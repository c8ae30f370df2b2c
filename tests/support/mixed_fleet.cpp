#include "mixed_fleet.h"

namespace marjoramloom::test {

namespace {

constexpr int callersWait = 4'000;

auto makePlan(int routers, std::vector<std::string> versions, mixed_fleet::store_address storeAddressForRouter)
    -> gateway_plan
{
    auto plan = gateway_plan();
    plan.routers = routers;
    plan.servers = 4;
    plan.retryReserve = 100;
    plan.serverVersions = std::move(versions);
    plan.storeAddressForRouter = std::move(storeAddressForRouter);
    return plan;
}

} // namespace

mixed_fleet::mixed_fleet(int routers, std::vector<std::string> versions, store_address storeAddressForRouter)
    : m_versions(versions)
    , m_fleet(makePlan(routers, std::move(versions), std::move(storeAddressForRouter)))
{
    sleepMs(SETTLE_MS);
}

auto mixed_fleet::fleet() -> gateway_fleet &
{
    return m_fleet;
}

auto mixed_fleet::send(std::size_t router, const std::string &id, const std::string &resumed, int after) -> http_answer
{
    auto request = http_request();
    request.method = "POST";
    request.target = "/talk/stream";
    request.headers = { { "Host", "desk.example" },
                        { "X-Attempt-Id", id },
                        { "X-Deadline-Ms", std::to_string(callersWait) },
                        { "X-Token-Usage", "300,40" },
                        { "X-Prompt-Prefix", "a1:100," + std::to_string(++m_lastBlock) + ":200" },
                        { "Authorization", "Bearer key-alpha" } };
    if (after > 0) {
        request.headers["Last-Event-Id"] = std::to_string(after);
    }
    if (!resumed.empty()) {
        request.headers["Resumes"] = resumed;
    }
    return httpCall(m_fleet.routers()[router].callers, request);
}

auto mixed_fleet::versionOf(const std::string &id) -> std::string
{
    auto version = std::string();
    for (auto index = std::size_t(0); index < m_fleet.servers().size(); ++index) {
        for (const auto &entry : m_fleet.servers()[index]->record()) {
            if (entry.at("request_id").as_string() == id && entry.at("state").as_string() == "started") {
                version = index < m_versions.size() ? m_versions[index] : "v1";
            }
        }
    }
    return version;
}

auto mixed_fleet::versions() -> std::vector<std::string> &
{
    return m_versions;
}

auto mixed_fleet::replace(std::size_t index, const std::string &version) -> void
{
    m_versions[index] = version;
    m_fleet.setServerVersion(index, version);
    m_fleet.writeServer(index, "ready", 1);
}

auto isNotRun(const http_answer &answer) -> bool
{
    return answer.status == 503 || answer.status == 429;
}

} // namespace marjoramloom::test
