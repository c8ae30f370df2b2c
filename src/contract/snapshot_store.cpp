#include "marjoramloom/contract/snapshot_store.h"

#include <boost/json.hpp>

namespace marjoramloom {

namespace json = boost::json;

auto parseSnapshotHead(const stored_object &object) -> std::optional<snapshot_head>
{
    auto error = boost::system::error_code();
    const auto root = json::parse(object.value, error);
    if (error || !root.is_object()) {
        return std::nullopt;
    }
    const auto &body = root.get_object();
    const auto number = [&](std::string_view key) {
        const auto *value = body.if_contains(key);
        const auto parsed = value != nullptr && value->is_number() ? value->to_number<std::uint64_t>(error) : 0;
        return error ? 0 : parsed;
    };
    const auto *nonce = body.if_contains("nonce");
    auto head =
        snapshot_head{ .sequence = number("sequence"),
                       .floor = number("floor"),
                       .nonce = nonce != nullptr && nonce->is_string() ? json::value_to<std::string>(*nonce) : "",
                       .chunks = static_cast<std::uint32_t>(number("chunks")),
                       .revision = object.revision };
    const auto valid = head.sequence > 0 && head.floor <= head.sequence && head.chunks > 0;
    return valid ? std::optional(std::move(head)) : std::nullopt;
}

auto toText(const snapshot_head &head) -> std::string
{
    auto out = json::object();
    out["sequence"] = head.sequence;
    out["floor"] = head.floor;
    out["nonce"] = head.nonce;
    out["chunks"] = head.chunks;
    return json::serialize(out);
}

} // namespace marjoramloom
