#include "marjoramloom/contract/configuration_codec.h"

#include "contract/field_reader.h"
#include "contract/field_writer.h"

#include <boost/json.hpp>
#include <charconv>

namespace marjoramloom {

namespace json = boost::json;

namespace {

constexpr auto changeNameDigits = std::size_t(12);

auto parseObject(std::string_view text, configuration_problems &problems) -> std::optional<json::object>
{
    auto error = boost::system::error_code();
    auto value = json::parse({ text.data(), text.size() }, error);
    if (error || !value.is_object()) {
        problems.push_back({ {}, 0, {}, {}, "not a JSON object" });
        return std::nullopt;
    }
    return std::move(value.as_object());
}

auto textAt(const json::object &object, std::string_view key) -> std::string
{
    const auto *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? json::value_to<std::string>(*value) : std::string();
}

template<typename Number>
auto numberAt(const json::object &object, std::string_view key) -> std::optional<Number>
{
    const auto *value = object.if_contains(key);
    if (value == nullptr || !value->is_number()) {
        return std::nullopt;
    }
    auto error = boost::system::error_code();
    const auto number = value->to_number<Number>(error);
    return error ? std::nullopt : std::optional(number);
}

template<typename Object>
auto readObject(Object object, object_kind kind, const json::object &json, unknown_keys unknown,
                configuration_problems &problems) -> std::optional<configuration_object>
{
    const auto before = problems.size();
    object.name = textAt(json, "name");
    auto reader = field_reader(json, std::string(nameOf(kind)) + "/" + object.name, problems);
    reader.checkName(object.name);
    visitFields(reader, object);
    if (unknown == unknown_keys::refused) {
        reader.refuseUnknownKeys();
    }
    return problems.size() == before ? std::optional<configuration_object>(std::move(object)) : std::nullopt;
}

template<typename Object>
auto readObjectWithId(const json::value &element, object_kind kind, std::map<std::string, Object> &objects,
                      configuration_problems &problems) -> void
{
    if (!element.is_object()) {
        problems.push_back({ {}, 0, std::string(nameOf(kind)), {}, "not a JSON object" });
        return;
    }
    auto read = objectFromJson(kind, element.get_object(), unknown_keys::ignored, problems);
    if (read) {
        auto object = std::get<Object>(std::move(*read));
        object.id.value = numberAt<std::uint64_t>(element.get_object(), "id").value_or(0);
        const auto name = object.name;
        objects.insert_or_assign(name, std::move(object));
    }
}

auto readOperations(const json::object &json, configuration_change &change, configuration_problems &problems) -> void
{
    const auto *elements = json.if_contains("operations");
    if (elements == nullptr || !elements->is_array()) {
        problems.push_back({ {}, 0, {}, "operations", "a list is expected" });
        return;
    }
    for (const auto &element : elements->get_array()) {
        auto operation = element.is_object() ? operationFromJson(element.get_object(), unknown_keys::ignored, problems)
                                             : std::nullopt;
        if (operation) {
            change.operations.push_back(std::move(*operation));
        }
    }
    if (change.operations.size() != elements->get_array().size() && problems.empty()) {
        problems.push_back({ {}, 0, {}, "operations", "an operation is malformed" });
    }
}

} // namespace

auto configuration_problem::message() const -> std::string
{
    auto line = std::string();
    if (!file.empty()) {
        line += file + ":" + (this->line == 0 ? "" : std::to_string(this->line) + ":") + " ";
    }
    if (!object.empty()) {
        line += object + ": ";
    }
    if (!key.empty()) {
        line += key + ": ";
    }
    return line + text;
}

auto toJson(const configuration_object &object) -> json::object
{
    auto out = json::object();
    out["name"] = nameOf(object);
    auto writer = field_writer(out);
    std::visit([&](const auto &alternative) { visitFields(writer, alternative); }, object);
    return out;
}

auto objectFromJson(object_kind kind, const json::object &json, unknown_keys unknown, configuration_problems &problems)
    -> std::optional<configuration_object>
{
    return std::visit([&](auto empty) { return readObject(std::move(empty), kind, json, unknown, problems); },
                      makeObject(kind));
}

auto toJson(const configuration_operation &operation) -> json::object
{
    auto out = json::object();
    out["operation"] = nameOf(operation.operation);
    out["kind"] = nameOf(operation.kind);
    if (operation.operation == operation_kind::put) {
        out["object"] = toJson(operation.object);
    } else {
        out["name"] = operation.name;
    }
    return out;
}

auto operationFromJson(const json::object &json, unknown_keys unknown, configuration_problems &problems)
    -> std::optional<configuration_operation>
{
    const auto operation = parseEnum<operation_kind>(textAt(json, "operation"));
    const auto kind = parseEnum<object_kind>(textAt(json, "kind"));
    if (!operation || !kind) {
        const auto *key = operation ? "kind" : "operation";
        problems.push_back({ {}, 0, {}, key, "'" + textAt(json, key) + "' is not known" });
        return std::nullopt;
    }
    auto result =
        configuration_operation{ .operation = *operation, .kind = *kind, .name = textAt(json, "name"), .object = {} };
    if (*operation == operation_kind::remove) {
        return result;
    }
    const auto *body = json.if_contains("object");
    if (body == nullptr || !body->is_object()) {
        problems.push_back({ {}, 0, std::string(nameOf(*kind)), "object", "an object is expected" });
        return std::nullopt;
    }
    auto object = objectFromJson(*kind, body->get_object(), unknown, problems);
    if (!object) {
        return std::nullopt;
    }
    result.name = nameOf(*object);
    result.object = std::move(*object);
    return result;
}

auto changeToText(const configuration_change &change) -> std::string
{
    auto operations = json::array();
    for (const auto &operation : change.operations) {
        operations.push_back(toJson(operation));
    }
    auto out = json::object();
    out["sequence"] = change.sequence;
    out["id"] = change.id;
    out["author"] = change.author;
    out["unix_ms"] = change.unixMs;
    out["operations"] = std::move(operations);
    return json::serialize(out);
}

auto changeFromText(std::string_view text, configuration_problems &problems) -> std::optional<configuration_change>
{
    const auto before = problems.size();
    const auto json = parseObject(text, problems);
    if (!json) {
        return std::nullopt;
    }
    auto change = configuration_change();
    change.sequence = numberAt<std::uint64_t>(*json, "sequence").value_or(0);
    change.id = textAt(*json, "id");
    change.author = textAt(*json, "author");
    change.unixMs = numberAt<std::int64_t>(*json, "unix_ms").value_or(0);
    readOperations(*json, change, problems);
    return problems.size() == before ? std::optional(std::move(change)) : std::nullopt;
}

auto toJson(const configuration &all) -> json::object
{
    auto out = json::object();
    out["sequence"] = all.sequence;
    forEachKind(all, [&](object_kind kind, const auto &objects) {
        auto elements = json::array();
        for (const auto &[name, object] : objects) {
            auto element = toJson(configuration_object(object));
            element["id"] = object.id.value;
            elements.push_back(std::move(element));
        }
        out[nameOf(kind)] = std::move(elements);
    });
    return out;
}

auto configurationFromJson(const json::object &json, configuration_problems &problems) -> std::optional<configuration>
{
    const auto before = problems.size();
    auto all = configuration();
    const auto sequence = numberAt<std::uint64_t>(json, "sequence");
    if (!sequence) {
        problems.push_back({ {}, 0, {}, "sequence", "a number is expected" });
        return std::nullopt;
    }
    all.sequence = *sequence;
    forEachKind(all, [&](object_kind kind, auto &objects) {
        const auto *elements = json.if_contains(nameOf(kind));
        if (elements == nullptr || !elements->is_array()) {
            return;
        }
        for (const auto &element : elements->get_array()) {
            readObjectWithId(element, kind, objects, problems);
        }
    });
    return problems.size() == before ? std::optional(std::move(all)) : std::nullopt;
}

auto changeName(std::uint64_t sequence) -> std::string
{
    const auto digits = std::to_string(sequence);
    const auto padding = changeNameDigits - std::min(digits.size(), changeNameDigits);
    return std::string(padding, '0') + digits;
}

auto changeSequence(std::string_view name) -> std::optional<std::uint64_t>
{
    auto sequence = std::uint64_t(0);
    const auto parsed = std::from_chars(name.data(), name.data() + name.size(), sequence);
    const auto valid = parsed.ec == std::errc() && parsed.ptr == name.data() + name.size();
    return valid && name.size() >= changeNameDigits && sequence > 0 ? std::optional(sequence) : std::nullopt;
}

} // namespace marjoramloom
