#include "marjoramloom/gateway/knowledge/version_record.h"

#include "marjoramloom/core/hash.h"
#include "marjoramloom/core/log.h"

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace marjoramloom {

namespace asio = boost::asio;
namespace json = boost::json;

version_record::version_record(store_client &client, gateway_state &state, std::string kind)
    : m_client(client)
    , m_state(state)
    , m_kind(std::move(kind))
{
}

auto version_record::encode(const served_versions::version_names &versions) -> std::string
{
    auto services = json::object();
    for (const auto &[service, names] : versions) {
        services[service] = json::array(names.begin(), names.end());
    }
    return json::serialize(json::object{ { "versions", std::move(services) } });
}

auto version_record::decode(const std::string &value, last_reason &why) -> std::optional<served_versions::version_names>
{
    const auto reject = [&](std::string_view what) {
        return why.fail(failure_kind::protocolViolation, "parse software versions", NAME, what);
    };
    auto error = boost::system::error_code();
    const auto parsed = json::parse(value, error);
    const auto *fields = error ? nullptr : parsed.if_object();
    const auto *listed = fields == nullptr ? nullptr : fields->if_contains("versions");
    const auto *services = listed == nullptr ? nullptr : listed->if_object();
    if (services == nullptr) {
        return reject("no object of versions");
    }
    auto versions = served_versions::version_names();
    for (const auto &[service, names] : *services) {
        const auto *list = names.if_array();
        if (list == nullptr) {
            return reject("versions that are no list");
        }
        for (const auto &name : *list) {
            if (!name.is_string()) {
                return reject("a version that is no text");
            }
            versions[std::string(service)].insert(std::string(name.get_string()));
        }
    }
    return versions;
}

auto version_record::apply(const stored_object *object) -> void
{
    m_revision = object == nullptr ? 0 : object->revision;
    m_recorded.clear();
    auto why = last_reason();
    const auto versions = object == nullptr ? std::optional(served_versions::version_names()) //
                                            : decode(object->value, why);
    if (!versions) {
        // Which versions served before is not known, and only time brings certainty.
        log_line(log_level::warning, "software_versions_unreadable").with("reason", why.text());
        return;
    }
    m_recorded = *versions;
    if (m_state.servedVersions.isRecordRead()) {
        return; // This router has seen since its start what served.
    }
    const auto now = system_clock_source().now();
    for (const auto &[service, names] : m_recorded) {
        for (const auto &name : names) {
            m_state.servedVersions.noteServed(service, name, served_versions::source::record, now);
        }
    }
    m_state.servedVersions.noteRecordRead();
}

auto version_record::compare(const stored_object *object) -> void
{
    m_isDoubtful = object == nullptr ? !m_recorded.empty() : object->value != encode(m_recorded);
}

auto version_record::readAgain() -> asio::awaitable<bool>
{
    auto why = last_reason();
    const auto current = co_await m_client.get(m_kind, std::string(NAME), why);
    if (current) {
        apply(current->revision == 0 ? nullptr : &*current);
        m_isDoubtful = false;
    }
    co_return current.has_value();
}

/// Whether this router is the first responsive one in an order that is equal at all routers.
auto version_record::isWriter() const -> bool
{
    const auto now = system_clock_source().now();
    const auto &order = m_state.roster.dispatchOrder(hash64(NAME), 0);
    const auto first = std::find_if(order.begin(), order.end(),
                                    [&](std::uint64_t router) { return m_state.roster.isResponsive(router, now); });
    return first != order.end() && *first == m_state.roster.self();
}

auto version_record::writeChanges() -> asio::awaitable<void>
{
    const auto now = system_clock_source().now();
    const auto served = m_state.servedVersions.recent(now);
    const auto isUnchanged = served == m_recorded && !m_isDoubtful;
    const auto isReady = m_state.servedVersions.isRecordRead() && m_state.hasServers && !m_state.servers.isStoreLost();
    if (!isReady || served.empty() || isUnchanged || !isWriter()) {
        co_return;
    }
    if (m_isDoubtful) {
        const auto isRead = co_await readAgain();
        if (!isRead || served == m_recorded) {
            co_return;
        }
    }
    auto why = last_reason();
    const auto value = encode(served);
    const auto kind = m_kind;
    const auto name = std::string(NAME);
    auto outcome = write_outcome();
    if (m_revision == 0) {
        outcome = co_await m_client.create(kind, name, value, why);
    } else {
        outcome = co_await m_client.update(kind, name, value, m_revision, why);
    }
    if (outcome.result == write_result::written) {
        m_recorded = served;
        m_revision = outcome.current.revision;
    } else if (outcome.result == write_result::conflict) {
        apply(outcome.current.revision == 0 ? nullptr : &outcome.current); // The next write is based on it.
    }
    log_line(log_level::info, "software_versions")
        .with("written", outcome.result == write_result::written ? "yes" : "no")
        .with("record", value)
        .with("reason", why.text());
}

} // namespace marjoramloom
