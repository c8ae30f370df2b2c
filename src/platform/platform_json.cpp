#include "platform/platform_json.h"

namespace marjoramloom {

namespace json = boost::json;

namespace {

auto parseObject(std::string_view text, last_reason &why) -> std::optional<json::object>
{
    auto error = boost::system::error_code();
    auto value = json::parse({ text.data(), text.size() }, error);
    if (error || !value.is_object()) {
        return why.fail(failure_kind::protocolViolation, "parse answer", "platform", "not a JSON object");
    }
    return value.as_object();
}

auto textAt(const json::object &object, std::string_view key) -> std::string
{
    const auto *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? json::value_to<std::string>(*value) : std::string();
}

auto numberAt(const json::object &object, std::string_view key) -> std::uint64_t
{
    const auto *value = object.if_contains(key);
    auto error = boost::system::error_code();
    const auto number = value != nullptr && value->is_number() ? value->to_number<std::uint64_t>(error) : 0;
    return error ? 0 : number;
}

auto toStoredObject(const json::object &object) -> stored_object
{
    return { .kind = textAt(object, "kind"),
             .name = textAt(object, "name"),
             .revision = numberAt(object, "revision"),
             .value = textAt(object, "value") };
}

auto arrayAt(const json::object &object, std::string_view key, last_reason &why) -> const json::array *
{
    const auto *value = object.if_contains(key);
    if (value == nullptr || !value->is_array()) {
        why.fail(failure_kind::protocolViolation, "parse answer", "platform", "no list of " + std::string(key));
        return nullptr;
    }
    return &value->get_array();
}

auto toInstance(const json::object &row) -> std::optional<listed_instance>
{
    const auto role = parseEnum<instance_role>(textAt(row, "role"));
    const auto state = parseEnum<instance_state>(textAt(row, "state"));
    if (!role || !state) {
        return std::nullopt;
    }
    return listed_instance{ .name = textAt(row, "name"),
                            .dataCentre = textAt(row, "data_centre"),
                            .role = *role,
                            .state = *state,
                            .address = textAt(row, "address") };
}

} // namespace

auto parseStoredObject(std::string_view text, last_reason &why) -> std::optional<stored_object>
{
    const auto object = parseObject(text, why);
    if (!object) {
        return std::nullopt;
    }
    return toStoredObject(*object);
}

auto parseWatchLine(std::string_view line, last_reason &why) -> std::optional<watch_event>
{
    const auto object = parseObject(line, why);
    if (!object) {
        return std::nullopt;
    }
    const auto kind = parseEnum<watch_event_kind>(textAt(*object, "type"));
    if (!kind) {
        return why.fail(failure_kind::protocolViolation, "parse watch line", "platform", "unknown type");
    }
    if (*kind == watch_event_kind::bookmark) {
        return watch_event{ .kind = *kind, .revision = numberAt(*object, "revision"), .object = {} };
    }
    const auto *stored = object->if_contains("object");
    if (stored == nullptr || !stored->is_object()) {
        return why.fail(failure_kind::protocolViolation, "parse watch line", "platform", "no object");
    }
    auto changed = toStoredObject(stored->get_object());
    const auto revision = changed.revision;
    return watch_event{ .kind = *kind, .revision = revision, .object = std::move(changed) };
}

auto parseObjectList(std::string_view text, last_reason &why) -> std::optional<object_list>
{
    const auto object = parseObject(text, why);
    const auto *rows = object ? arrayAt(*object, "objects", why) : nullptr;
    if (rows == nullptr) {
        return std::nullopt;
    }
    auto listed = object_list{ .revision = numberAt(*object, "revision"), .objects = {} };
    for (const auto &row : *rows) {
        if (!row.is_object()) {
            return why.fail(failure_kind::protocolViolation, "parse list", "platform", "a row is not an object");
        }
        listed.objects.push_back(toStoredObject(row.get_object()));
    }
    return listed;
}

auto parseInstances(std::string_view text, last_reason &why) -> std::optional<instance_snapshot>
{
    const auto object = parseObject(text, why);
    const auto *rows = object ? arrayAt(*object, "instances", why) : nullptr;
    if (rows == nullptr) {
        return std::nullopt;
    }
    auto snapshot = instance_snapshot{ .revision = numberAt(*object, "revision"), .instances = {} };
    for (const auto &row : *rows) {
        auto instance = row.is_object() ? toInstance(row.get_object()) : std::nullopt;
        if (instance) {
            snapshot.instances.push_back(std::move(*instance));
        }
    }
    return snapshot;
}

} // namespace marjoramloom
