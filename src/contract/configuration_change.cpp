#include "marjoramloom/contract/configuration_change.h"

namespace marjoramloom {

namespace {

constexpr auto indexBits = 10U;

template<typename Object>
auto put(std::map<std::string, Object> &objects, Object object, object_id fresh) -> void
{
    const auto found = objects.find(object.name);
    object.id = found == objects.end() ? fresh : found->second.id;
    const auto name = object.name;
    objects.insert_or_assign(name, std::move(object));
}

auto putObject(configuration &all, const configuration_object &object, object_id fresh) -> void
{
    forEachKind(all, [&](object_kind, auto &objects) {
        using object_type = typename std::remove_reference_t<decltype(objects)>::mapped_type;
        if (const auto *held = std::get_if<object_type>(&object)) {
            put(objects, *held, fresh);
        }
    });
}

auto removeObject(configuration &all, object_kind kind, const std::string &name) -> void
{
    forEachKind(all, [&](object_kind at, auto &objects) {
        if (at == kind) {
            objects.erase(name);
        }
    });
}

template<std::size_t Index = 0>
auto makeAt(std::size_t index) -> configuration_object
{
    if constexpr (Index + 1 < std::variant_size_v<configuration_object>) {
        if (index != Index) {
            return makeAt<Index + 1>(index);
        }
    }
    return configuration_object(std::in_place_index<Index>);
}

} // namespace

auto makeObject(object_kind kind) -> configuration_object
{
    return makeAt(static_cast<std::size_t>(kind));
}

auto applyOperations(const configuration &before, const configuration_change &change) -> configuration
{
    auto after = before;
    after.sequence = change.sequence;
    auto index = std::uint64_t(0);
    for (const auto &operation : change.operations) {
        if (operation.operation == operation_kind::remove) {
            removeObject(after, operation.kind, operation.name);
        } else {
            putObject(after, operation.object, object_id{ (change.sequence << indexBits) | index });
        }
        ++index;
    }
    return after;
}

} // namespace marjoramloom
