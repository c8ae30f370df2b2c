#pragma once

#include "marjoramloom/contract/configuration_store.h"
#include "marjoramloom/store/object_store.h"

namespace marjoramloom {

/// Kind of the platform object that names the latest snapshot.
inline const auto snapshotKind = std::string("configuration_snapshot");
/// Kind of the platform objects that hold the pieces of snapshots.
inline const auto snapshotChunkKind = std::string("configuration_snapshot_chunk");
/// Name of the only object of snapshotKind.
inline const auto snapshotHeadName = std::string("head");

/// What the latest snapshot holds and where.
struct snapshot_head
{
    std::uint64_t sequence = 0; ///< Last change that the snapshot includes; 0 where there is no snapshot.
    std::uint64_t floor = 0; ///< Changes up to this one may have been deleted: the snapshot replaces them.
    std::string nonce; ///< Chosen by the writer; part of the chunks' names.
    std::uint32_t chunks = 0;
    std::uint64_t revision = 0; ///< Of the platform object; 0 where there is none.
};

/// Head from the platform object; nothing where it is malformed. Thread safe.
auto parseSnapshotHead(const stored_object &object) -> std::optional<snapshot_head>;

/// Value of the platform object for \p head. Thread safe.
auto toText(const snapshot_head &head) -> std::string;

/// Reads and writes snapshots of the configuration on the platform.
///
/// A snapshot is a set of chunks and then the head that names them, updated conditionally and only forward. Changes are
/// deleted only after a head with a floor above them was written. Thread safe where the platform is.
template<object_store Platform>
class snapshot_store
{
public:
    /// Precondition: \p platform outlives it.
    explicit snapshot_store(Platform &platform)
        : m_platform(platform)
    {
    }

    /// The head; one with sequence 0 where there is no snapshot.
    auto readHead(last_reason &why) -> boost::asio::awaitable<std::optional<snapshot_head>>;

    /// The snapshot's text, as configuration_store::offer takes it.
    auto load(snapshot_head head, last_reason &why) -> boost::asio::awaitable<std::optional<std::string>>;

    /// Writes \p snapshot and moves the floor to \p floor. False where that did not clearly succeed; nothing is lost
    /// then. Precondition: floor <= snapshot.sequence.
    auto save(relayed_change snapshot, std::uint64_t floor, last_reason &why) -> boost::asio::awaitable<bool>;

    /// Deletes changes up to the floor, and chunks of snapshots before \p head. Failures leave them for the next time.
    auto removeOld(snapshot_head head, std::string changeKind, last_reason &why) -> boost::asio::awaitable<void>;

private:
    auto chunkName(const snapshot_head &head, std::uint32_t index) const -> std::string;

    Platform &m_platform;
};

} // namespace marjoramloom

#include "marjoramloom/contract/snapshot_store.inl"
