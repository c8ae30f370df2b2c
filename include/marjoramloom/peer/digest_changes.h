#pragma once

#include "marjoramloom/core/last_reason.h"
#include "marjoramloom/share/dispatcher.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace marjoramloom::wire {
class PoolDigest;
}

namespace marjoramloom {

/// Encodes the digests of one pool for one peer as changes since the previous digest. Not thread safe.
class digest_encoder
{
public:
    /// Accounts are left out whose service changed by less than \p minServiceChange (weighted tokens) and whose number
    /// of tickets changed by at most a quarter.
    explicit digest_encoder(double minServiceChange);

    /// Writes what changed since the previous call to \p out; the first call writes the full digest.
    auto encodeChanges(const pool_digest &current, wire::PoolDigest &out) -> void;

private:
    using waiting_account = pool_digest::waiting_account;

    [[nodiscard]] auto hasChanged(const waiting_account &current) const -> bool;

    double m_minServiceChange;
    std::uint64_t m_serial = 0;
    std::map<object_id, waiting_account> m_sent;
};

/// Restores the full digests of one pool of one peer from encoded changes. Not thread safe.
class digest_decoder
{
public:
    /// Returns the full digest after applying the changes \p in. Returns nothing where \p in is invalid, or where its
    /// base is not the last decoded digest; in the latter case \p needsFullDigest is set.
    auto decodeChanges(const wire::PoolDigest &in, const std::string &peer, bool &needsFullDigest, last_reason &why)
        -> std::optional<pool_digest>;

private:
    std::uint64_t m_serial = 0;
    std::map<object_id, pool_digest::waiting_account> m_known;
};

} // namespace marjoramloom
