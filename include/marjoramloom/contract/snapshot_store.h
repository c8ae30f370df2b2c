#pragma once

#include "marjoramloom/contract/configuration_store.h"
#include "marjoramloom/store/object_store.h"

namespace marjoramloom {

/// Kind of the platform object that refers to the latest snapshot.
inline const auto snapshotKind = std::string("configuration_snapshot");
/// Kind of the platform objects that store the chunks of snapshots.
inline const auto snapshotChunkKind = std::string("configuration_snapshot_chunk");
/// Name of the only object of snapshotKind.
inline const auto snapshotHeadName = std::string("head");

/// Describes the latest snapshot and where its chunks are stored.
struct snapshot_head
{
    std::uint64_t sequence = 0; ///< Last change that the snapshot includes; 0 if there is no snapshot.
    std::uint64_t floor = 0; ///< Changes up to this one may have been deleted, as the snapshot includes them.
    std::string nonce; ///< Chosen by the writer; part of the chunks' names.
    std::uint32_t chunks = 0;
    std::uint64_t revision = 0; ///< Of the platform object; 0 if it does not exist.
};

/// Parses the platform object of the head; returns nothing if it is malformed. Thread safe.
auto parseSnapshotHead(const stored_object &object) -> std::optional<snapshot_head>;

/// Serializes \p head as value of its platform object. Thread safe.
auto toText(const snapshot_head &head) -> std::string;

/// Reads and writes snapshots of the configuration on the platform.
///
/// A snapshot consists of chunks and a head that refers to them. The head is written last, by a conditional update to a
/// higher sequence. Changes are deleted only after a head was written whose floor includes them. Thread safe if the
/// platform is.
template<object_store Platform>
class snapshot_store
{
public:
    /// Precondition: \p platform outlives the store.
    explicit snapshot_store(Platform &platform)
        : m_platform(platform)
    {
    }

    /// Reads the head; its sequence is 0 if there is no snapshot. Returns nothing if the read failed.
    auto readHead(last_reason &why) -> boost::asio::awaitable<std::optional<snapshot_head>>;

    /// Reads the text of a snapshot for configuration_store::offer(). Returns nothing if a read failed or the snapshot
    /// was replaced meanwhile.
    auto load(snapshot_head head, last_reason &why) -> boost::asio::awaitable<std::optional<std::string>>;

    /// Writes \p snapshot and raises the floor to \p floor. Returns false if it failed or the outcome is not known; no
    /// changes are lost then. Precondition: floor <= snapshot.sequence.
    auto save(relayed_change snapshot, std::uint64_t floor, last_reason &why) -> boost::asio::awaitable<bool>;

    /// Deletes changes up to the floor and chunks of snapshots older than \p head. What cannot be deleted is left for
    /// the next call.
    auto removeObsolete(snapshot_head head, std::string changeKind, last_reason &why) -> boost::asio::awaitable<void>;

private:
    auto chunkName(const snapshot_head &head, std::uint32_t index) const -> std::string;

    Platform &m_platform;
};

} // namespace marjoramloom

#include "marjoramloom/contract/snapshot_store.inl"
