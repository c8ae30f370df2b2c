#pragma once

#include "marjoramloom/contract/operator_api.h"
#include "marjoramloom/core/counters.h"
#include "marjoramloom/router/http_exchange.h"
#include "marjoramloom/store/store_client.h"

#include <atomic>
#include <string>

namespace marjoramloom {

/// Serves the operators' listener: metrics and health checks without a key, configuration and status with the
/// operators' key. Thread safe.
class operator_handler
{
public:
    /// Precondition: all referenced objects outlive the handler. \p keyHash is the SHA-256 of the operators' key,
    /// hexadecimal.
    operator_handler(operator_api<store_client> &api, counter_registry &counters, std::atomic<bool> &ready,
                     std::string keyHash);

    auto handle(http_exchange &exchange) -> boost::asio::awaitable<void>;

private:
    operator_api<store_client> &m_api;
    counter_registry &m_counters;
    std::atomic<bool> &m_ready;
    std::string m_keyHash;
};

} // namespace marjoramloom
