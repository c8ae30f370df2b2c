#include "marjoramloom/contract/configuration_change.h"

namespace marjoramloom {

namespace {

constexpr auto operationIndexBits = 10U; ///< Low bits of an object_id; maxOperationsPerChange must fit.

template<typename Object>
auto put(std::map<std::string, Object> &objects, Object object, object_id newId) -> void
{
    const auto existing = objects.find(object.name);
    object.id = existing == objects.end() ? newId : existing->second.id;
    const auto name = object.name;
    objects.insert_or_assign(name, std::move(object));
}

auto putObject(configuration &all, const configuration_object &object, object_id newId) -> void
{
    forEachKind(all, [&](object_kind, auto &objects) {
        using object_type = typename std::remove_reference_t<decltype(objects)>::mapped_type;
        if (const auto *alternative = std::get_if<object_type>(&object)) {
            put(objects, *alternative, newId);
        }
    });
}

auto removeObject(configuration &all, object_kind kind, const std::string &name) -> void
{
    forEachKind(all, [&](object_kind visitedKind, auto &objects) {
        if (visitedKind == kind) {
            objects.erase(name);
        }
    });
}

template<std::size_t Index = 0>
auto makeAlternative(std::size_t index) -> configuration_object
{
    if constexpr (Index + 1 < std::variant_size_v<configuration_object>) {
        if (index != Index) {
            return makeAlternative<Index + 1>(index);
        }
    }
    return configuration_object(std::in_place_index<Index>);
}

} // namespace

auto makeObject(object_kind kind) -> configuration_object
{
    return makeAlternative(static_cast<std::size_t>(kind));
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
            putObject(after, operation.object, object_id{ (change.sequence << operationIndexBits) | index });
        }
        ++index;
    }
    return after;
}

} // namespace marjoramloom
