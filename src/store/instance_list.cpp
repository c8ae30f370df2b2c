#include "marjoramloom/store/instance_list.h"

#include <boost/json.hpp>

namespace marjoramloom {

namespace json = boost::json;

namespace {

auto textAt(const json::object &object, std::string_view key) -> std::string
{
    const auto *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

} // namespace

auto parseInstance(const stored_object &object, last_reason &why) -> std::optional<listed_instance>
{
    auto error = boost::system::error_code();
    const auto parsed = json::parse(object.value, error);
    if (error || !parsed.is_object()) {
        return why.fail(failure_kind::protocolViolation, "parse instance", object.name, "not a JSON object");
    }
    const auto &fields = parsed.get_object();
    const auto role = parseEnum<instance_role>(textAt(fields, "role"));
    const auto state = parseEnum<instance_state>(textAt(fields, "state"));
    if (!role || !state) {
        return why.fail(failure_kind::protocolViolation, "parse instance", object.name, "unknown role or state");
    }
    return listed_instance{ .name = object.name,
                            .dataCentre = textAt(fields, "data_centre"),
                            .role = *role,
                            .state = *state,
                            .address = textAt(fields, "address") };
}

} // namespace marjoramloom
