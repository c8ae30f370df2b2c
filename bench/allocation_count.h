#pragma once

#include <cstddef>

namespace marjoramloom {

/// Bytes that operator new gave out and did not get back, allocator overhead included. Only slopes_bench counts them.
auto allocatedBytes() -> std::size_t;

} // namespace marjoramloom
