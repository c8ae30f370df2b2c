#include <cstdio>

auto main() -> int
{
    std::puts("marjoramloom 0.1.0");
    return 0;
}
