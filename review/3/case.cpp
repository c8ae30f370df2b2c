// A client sends a request whose X-Prompt-Prefix has many parts, within the manifest's max_header_bytes. The requests
// of other clients must not be cut by it.

#include "../standins/prompt_play.h"

namespace {

constexpr auto headerLimit = 131'072;
constexpr auto troubleBytes = 72'000;
constexpr auto calmBytes = 60'000; ///< Without the disruption.

/// A list of prompt parts of about \p bytes.
auto partList(int bytes) -> std::string
{
    auto list = std::string();
    for (auto number = 1; static_cast<int>(list.size()) < bytes; ++number) {
        char part[32];
        std::snprintf(part, sizeof part, "%s%08x:16", list.empty() ? "" : ",", 0x5c1e0000 + number);
        list += part;
    }
    return list;
}

} // namespace

int main(int argc, char **argv)
{
    const auto bytes = review::isTroubleWanted() ? troubleBytes : calmBytes;
    return review::playPrompt(argc, argv,
                              { .headerLimit = headerLimit, .prefix = partList(bytes), .tokens = "96000,80" });
}
