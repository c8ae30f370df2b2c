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

/// Writes the digests of one pool for one peer as changes since the last one. Not thread safe.
class digest_encoder
{
public:
    /// Accounts whose service moved by less than \p serviceStep (weighted tokens) and whose tickets moved by less than
    /// a quarter are left out.
    explicit digest_encoder(double serviceStep);

    /// Fills \p out with what changed since the last call; everything at first.
    auto encodeChanges(const pool_digest &current, wire::PoolDigest &out) -> void;

private:
    using waiting_account = pool_digest::waiting_account;

    [[nodiscard]] auto isNews(const waiting_account &current) const -> bool;

    double m_serviceStep;
    std::uint64_t m_serial = 0;
    std::map<object_id, waiting_account> m_sent;
};

/// Puts the digests of one pool together again. Not thread safe.
class digest_decoder
{
public:
    /// The whole digest after the changes \p in. Nothing where they do not follow what was read before (\p wantsWhole
    /// is set then) or make no sense.
    auto decodeChanges(const wire::PoolDigest &in, const std::string &peer, bool &wantsWhole, last_reason &why)
        -> std::optional<pool_digest>;

private:
    std::uint64_t m_serial = 0;
    std::map<object_id, pool_digest::waiting_account> m_known;
};

} // namespace marjoramloom
