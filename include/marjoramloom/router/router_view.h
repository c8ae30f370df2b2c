#pragma once

#include "marjoramloom/contract/configuration.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace marjoramloom {

/// The active configuration with indexes for the look-ups that serving a request needs. Immutable and thread safe.
class router_view
{
public:
    /// Precondition: \p config is not null.
    explicit router_view(std::shared_ptr<const configuration> config);

    [[nodiscard]] auto config() const -> const configuration &;

    /// Returns the account that owns the bearer key \p token, or null.
    [[nodiscard]] auto findAccountByKey(std::string_view token) const -> const client_account *;

    /// Look-ups by name or id. They return null if there is no such object.
    [[nodiscard]] auto findService(const std::string &name) const -> const service *;
    [[nodiscard]] auto findProfile(const std::string &name) const -> const profile *;
    [[nodiscard]] auto findServer(object_id id) const -> const backend_server *;
    [[nodiscard]] auto findServer(const std::string &name) const -> const backend_server *;
    [[nodiscard]] auto findService(object_id id) const -> const service *;
    [[nodiscard]] auto findAccount(object_id id) const -> const client_account *;

private:
    std::shared_ptr<const configuration> m_config;
    std::unordered_map<std::string, const client_account *> m_accountByKeyHash;
    std::unordered_map<object_id, const backend_server *> m_serverById;
    std::unordered_map<object_id, const service *> m_serviceById;
    std::unordered_map<object_id, const client_account *> m_accountById;
};

} // namespace marjoramloom
