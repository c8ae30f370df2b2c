#pragma once

#include "marjoramloom/gateway/knowledge/gateway_state.h"
#include "marjoramloom/store/store_client.h"

#include <optional>
#include <string>
#include <string_view>

namespace marjoramloom {

/// The software versions that served lately, as an object in the store: a router that starts, perhaps after the death
/// of all, learns from it which versions may have begun streams.
///
/// One router writes it, at most one change in WRITE_PERIOD. It is lost with the latest changes of a store that comes
/// back from an older copy; the router that writes notices that by its reads and writes it again, and the versions of
/// the servers that are listed count in any case. Not thread safe: runs on the router's only thread.
class version_record
{
public:
    /// Name of the object, beside those of the routers, so that it is read together with them.
    static constexpr std::string_view NAME = "software-versions";
    /// Shortest time between two writes.
    static constexpr duration WRITE_PERIOD = std::chrono::milliseconds(500);

    /// Preconditions: \p client and \p state outlive the object; objects of \p kind hold the record.
    version_record(store_client &client, gateway_state &state, std::string kind);

    /// Takes over the record, as it is in the store now; null if there is none.
    auto apply(const stored_object *object) -> void;

    /// Compares the record, which may be some seconds old, with what was written: the next writeChanges() reads it
    /// again where they differ.
    auto compare(const stored_object *object) -> void;

    /// Writes the versions that serve if this router writes the record and they have changed.
    auto writeChanges() -> boost::asio::awaitable<void>;

    /// Encodes and decodes the record's value. decode() returns nothing, with the reason in \p why, if it is malformed.
    [[nodiscard]] static auto encode(const served_versions::version_names &versions) -> std::string;
    [[nodiscard]] static auto decode(const std::string &value, last_reason &why)
        -> std::optional<served_versions::version_names>;

private:
    [[nodiscard]] auto isWriter() const -> bool;
    auto readAgain() -> boost::asio::awaitable<bool>;

    store_client &m_client;
    gateway_state &m_state;
    std::string m_kind;
    std::uint64_t m_revision = 0; ///< Of the record when it was last read or written; 0 if there is none.
    served_versions::version_names m_recorded;
    bool m_isDoubtful = false; ///< The store may have lost what was written.
};

} // namespace marjoramloom
