#include "marjoramloom/call/connection_pool.h"

#include "marjoramloom/call/http_connection.h"

namespace marjoramloom {

auto connection_pool::take(const std::string &peer, const boost::asio::any_io_executor &executor)
    -> std::shared_ptr<http_connection>
{
    const auto now = std::chrono::steady_clock::now();
    const auto oldest = now - MAX_IDLE_TIME;
    const auto lock = std::lock_guard(m_mutex);
    auto &idle = m_idle[peer];
    while (!idle.empty() && idle.front().since < oldest) {
        idle.pop_front();
    }
    while (!idle.empty()) {
        auto newest = std::move(idle.back().connection);
        const auto isFresh = now - idle.back().since < newest->idleLimit();
        idle.pop_back();
        if (isFresh && newest->isIdleAndOpen()) {
            newest->bindExecutor(executor);
            return newest;
        }
    }
    return nullptr;
}

auto connection_pool::giveBack(std::shared_ptr<http_connection> connection, std::size_t idleLimit) -> void
{
    if (!connection->endedCleanly()) {
        connection->interrupt();
        return;
    }
    connection->unbindExecutor();
    const auto now = std::chrono::steady_clock::now();
    const auto lock = std::lock_guard(m_mutex);
    auto &idle = m_idle[connection->peer()];
    idle.push_back({ std::move(connection), now });
    while (!idle.empty() && (idle.size() > idleLimit || idle.front().since < now - MAX_IDLE_TIME)) {
        idle.pop_front();
    }
}

auto connection_pool::closeIdle(const std::string &peer) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_idle.erase(peer);
}

} // namespace marjoramloom
