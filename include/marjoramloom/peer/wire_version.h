#pragma once

#include <cstddef>
#include <cstdint>

namespace marjoramloom {

/// Version of the messages between routers. Routers ignore envelopes of another version; within a version, fields are
/// only added.
constexpr auto wireVersion = std::uint32_t(1);

/// Largest message that a router accepts on its peer port, in bytes.
constexpr auto wireMessageLimit = std::size_t(2) << 20U;

} // namespace marjoramloom
