#include "marjoramloom/contract/configuration_check.h"

#include "marjoramloom/core/endpoint.h"

#include <set>

namespace marjoramloom {

namespace {

constexpr auto sha256HexDigits = std::size_t(64);

/// Checks all objects of one configuration and collects the problems.
class configuration_checker
{
public:
    explicit configuration_checker(const configuration &all)
        : m_all(all)
    {
    }

    auto run() -> configuration_problems
    {
        for (const auto &[name, object] : m_all.clientAccounts) {
            checkAccount(object);
        }
        for (const auto &[name, object] : m_all.profiles) {
            checkProfile(object);
        }
        for (const auto &[name, object] : m_all.services) {
            checkService(object);
        }
        for (const auto &[name, object] : m_all.backendServers) {
            checkServer(object);
        }
        for (const auto &[name, object] : m_all.plannedStops) {
            checkPlannedStop(object);
        }
        return std::move(m_problems);
    }

private:
    auto add(object_kind kind, const std::string &name, std::string key, std::string text) -> void
    {
        m_problems.push_back({ {}, 0, std::string(nameOf(kind)) + "/" + name, std::move(key), std::move(text) });
    }

    template<typename Object>
    auto checkReference(object_kind kind, const std::string &name, const std::string &key, object_kind targetKind,
                        const std::string &target, const std::map<std::string, Object> &objects) -> void
    {
        const auto targetKindName = std::string(nameOf(targetKind));
        if (target.empty()) {
            add(kind, name, key, "is required: the name of a " + targetKindName);
        } else if (!objects.contains(target)) {
            add(kind, name, key, "there is no " + targetKindName + " '" + target + "'");
        }
    }

    auto checkAccount(const client_account &account) -> void
    {
        if (account.keyHashes.empty()) {
            add(object_kind::clientAccount, account.name, "key_hashes", "at least one SHA-256 of a key is required");
        }
        for (const auto &hash : account.keyHashes) {
            const auto hexadecimal = hash.find_first_not_of("0123456789abcdef") == std::string::npos;
            if (hash.size() != sha256HexDigits || !hexadecimal) {
                add(object_kind::clientAccount, account.name, "key_hashes",
                    "a SHA-256 in 64 lower-case hexadecimal digits is expected");
            }
            const auto [entry, inserted] = m_keyOwners.emplace(hash, account.name);
            if (!inserted) {
                add(object_kind::clientAccount, account.name, "key_hashes",
                    "the key is already used by client_account '" + entry->second + "'");
            }
        }
    }

    auto checkProfile(const profile &checked) -> void
    {
        if (checked.maxWait > checked.timeout) {
            add(object_kind::profile, checked.name, "max_wait_ms", "must not be longer than timeout_ms");
        }
    }

    auto checkService(const service &target) -> void
    {
        checkReference(object_kind::service, target.name, "profile", object_kind::profile, target.profile,
                       m_all.profiles);
        if (target.kind == service_kind::model && !target.repeatable) {
            add(object_kind::service, target.name, "repeatable", "must be true for a model");
        }
    }

    auto checkServer(const backend_server &server) -> void
    {
        checkReference(object_kind::backendServer, server.name, "service", object_kind::service, server.service,
                       m_all.services);
        if (server.dataCentre.empty()) {
            add(object_kind::backendServer, server.name, "data_centre", "is required");
        }
        auto why = last_reason();
        const auto endpoint = parseEndpoint(server.address, why);
        if (!endpoint || endpoint->port() == 0) {
            add(object_kind::backendServer, server.name, "address", "IP:port is expected");
            return;
        }
        const auto [entry, inserted] = m_addressOwners.emplace(server.address, server.name);
        if (!inserted) {
            add(object_kind::backendServer, server.name, "address",
                "is already used by backend_server '" + entry->second + "'");
        }
    }

    auto checkPlannedStop(const planned_stop &stop) -> void
    {
        checkReference(object_kind::plannedStop, stop.name, "backend_server", object_kind::backendServer,
                       stop.backendServer, m_all.backendServers);
        if (stop.untilUnixMs <= stop.atUnixMs) {
            add(object_kind::plannedStop, stop.name, "until", "must be later than at");
        }
    }

    const configuration &m_all;
    configuration_problems m_problems;
    std::map<std::string, std::string> m_keyOwners;
    std::map<std::string, std::string> m_addressOwners;
};

auto contains(const configuration &all, object_kind kind, const std::string &name) -> bool
{
    auto found = false;
    forEachKind(all, [&](object_kind visitedKind, const auto &objects) {
        found = found || (visitedKind == kind && objects.contains(name));
    });
    return found;
}

} // namespace

auto checkConfiguration(const configuration &all) -> configuration_problems
{
    return configuration_checker(all).run();
}

auto checkOperations(const configuration &before, const std::vector<configuration_operation> &operations)
    -> configuration_problems
{
    auto problems = configuration_problems();
    if (operations.empty() || operations.size() > maxOperationsPerChange) {
        problems.push_back(
            { {}, 0, {}, "operations", "1 to " + std::to_string(maxOperationsPerChange) + " operations are allowed" });
    }
    auto seenObjects = std::set<std::pair<object_kind, std::string>>();
    for (const auto &operation : operations) {
        const auto object = std::string(nameOf(operation.kind)) + "/" + operation.name;
        if (!seenObjects.emplace(operation.kind, operation.name).second) {
            problems.push_back({ {}, 0, object, {}, "is named twice in one change" });
        }
        if (operation.operation == operation_kind::remove && !contains(before, operation.kind, operation.name)) {
            problems.push_back({ {}, 0, object, {}, "cannot be deleted: it does not exist" });
        }
    }
    return problems;
}

} // namespace marjoramloom
