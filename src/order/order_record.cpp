#include "marjoramloom/order/order_record.h"

#include "marjoramloom/core/hash.h"

#include <boost/json.hpp>
#include <openssl/evp.h>

namespace marjoramloom {

namespace json = boost::json;

namespace {

constexpr auto base64InputBytes = std::size_t(3);
constexpr auto base64OutputBytes = std::size_t(4);

auto toBase64(const std::string &bytes) -> std::string
{
    auto text = std::string((bytes.size() + base64InputBytes - 1) / base64InputBytes * base64OutputBytes + 1, '\0');
    const auto *from = reinterpret_cast<const unsigned char *>(bytes.data());
    auto *to = reinterpret_cast<unsigned char *>(text.data());
    const auto length = EVP_EncodeBlock(to, from, static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

auto fromBase64(const std::string &text) -> std::optional<std::string>
{
    auto bytes = std::string(text.size() / base64OutputBytes * base64InputBytes, '\0');
    if (text.empty()) {
        return bytes;
    }
    const auto *from = reinterpret_cast<const unsigned char *>(text.data());
    auto *to = reinterpret_cast<unsigned char *>(bytes.data());
    if (text.size() % base64OutputBytes != 0 || EVP_DecodeBlock(to, from, static_cast<int>(text.size())) < 0) {
        return std::nullopt;
    }
    const auto padding = text.ends_with("==") ? std::size_t(2) : std::size_t(text.ends_with('=') ? 1 : 0);
    bytes.resize(bytes.size() - padding);
    return bytes;
}

auto textAt(const json::object &object, std::string_view key) -> std::string
{
    const auto *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? json::value_to<std::string>(*value) : std::string();
}

template<typename Number>
auto numberAt(const json::object &object, std::string_view key) -> Number
{
    const auto *value = object.if_contains(key);
    auto error = boost::system::error_code();
    const auto number = value != nullptr && value->is_number() ? value->to_number<Number>(error) : Number(0);
    return error ? Number(0) : number;
}

} // namespace

auto orderName(const order_request &request) -> std::string
{
    // An account's name cannot contain a zero byte, so no two pairs of account and key give the same text.
    return sha256Hex(request.accountName + std::string(1, '\0') + request.idempotencyKey);
}

auto toText(const order_record &record) -> std::string
{
    auto out = json::object();
    out["account"] = record.request.accountName;
    out["key_hash"] = sha256Hex(record.request.idempotencyKey);
    out["service"] = record.request.service;
    out["body_hash"] = record.request.bodyHash;
    out["state"] = nameOf(record.state);
    out["incarnation"] = record.claim.incarnation;
    out["router"] = record.claim.router;
    out["nonce"] = record.claim.nonce;
    out["unix_ms"] = record.claim.unixMs;
    if (record.state == order_state::finished) {
        out["status"] = record.answer.status;
        out["content_type"] = record.answer.contentType;
        out["answer_base64"] = toBase64(record.answer.body);
        out["answer_pieces"] = record.answerPieces;
    }
    return json::serialize(out);
}

auto parseOrderRecord(std::string_view text, last_reason &why) -> std::optional<order_record>
{
    auto error = boost::system::error_code();
    const auto root = json::parse({ text.data(), text.size() }, error);
    if (error || !root.is_object()) {
        return why.fail(failure_kind::protocolViolation, "parse order record", "platform", "not a JSON object");
    }
    const auto &body = root.get_object();
    const auto state = parseEnum<order_state>(textAt(body, "state"));
    const auto answer = fromBase64(textAt(body, "answer_base64"));
    if (!state || !answer || textAt(body, "nonce").empty()) {
        return why.fail(failure_kind::protocolViolation, "parse order record", "platform", "a field is malformed");
    }
    return order_record{ .request = { .accountName = textAt(body, "account"),
                                      .idempotencyKey = {},
                                      .service = textAt(body, "service"),
                                      .bodyHash = textAt(body, "body_hash") },
                         .state = *state,
                         .claim = { .incarnation = numberAt<incarnation_id>(body, "incarnation"),
                                    .router = textAt(body, "router"),
                                    .nonce = textAt(body, "nonce"),
                                    .unixMs = numberAt<std::int64_t>(body, "unix_ms") },
                         .answer = { .status = numberAt<std::uint32_t>(body, "status"),
                                     .contentType = textAt(body, "content_type"),
                                     .body = *answer },
                         .answerPieces = numberAt<std::uint32_t>(body, "answer_pieces") };
}

} // namespace marjoramloom
