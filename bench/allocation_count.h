#pragma once

#include <cstddef>

namespace marjoramloom {

/// Bytes currently allocated through operator new, including allocator overhead. Defined by slopes_bench only, which
/// replaces operator new.
auto allocatedBytes() -> std::size_t;

} // namespace marjoramloom
