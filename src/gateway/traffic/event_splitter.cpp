#include "marjoramloom/gateway/traffic/event_splitter.h"

#include <charconv>

namespace marjoramloom {

namespace {

constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view idPrefix = "id:";

/// The number in the first "id:" field of \p event; nothing if there is none or it is no number.
auto idOf(std::string_view event) -> std::optional<std::int64_t>
{
    while (!event.empty()) {
        const auto line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(line.size() + 1, event.size()));
        if (!line.starts_with(idPrefix)) {
            continue;
        }
        auto value = line.substr(idPrefix.size());
        value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
        auto id = std::int64_t();
        const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), id);
        const auto isNumber = error == std::errc() && end == value.data() + value.size();
        return isNumber ? std::optional(id) : std::nullopt;
    }
    return std::nullopt;
}

} // namespace

auto event_splitter::feed(std::string_view bytes) -> std::vector<stream_event>
{
    auto events = std::vector<stream_event>();
    // The first byte of the separator may have come with the previous bytes.
    auto searchFrom = m_pending.empty() ? 0 : m_pending.size() - 1;
    m_pending += bytes;
    auto start = std::size_t(0);
    while (true) {
        const auto end = m_pending.find(eventEnd, searchFrom);
        if (end == std::string::npos) {
            break;
        }
        const auto next = end + eventEnd.size();
        auto event = stream_event{ m_pending.substr(start, next - start), std::nullopt };
        event.id = idOf(event.bytes);
        events.push_back(std::move(event));
        start = searchFrom = next;
    }
    m_pending.erase(0, start);
    return events;
}

auto event_splitter::isEventTooLong() const -> bool
{
    return m_pending.size() > MAX_EVENT_BYTES;
}

auto event_splitter::hasPartialEvent() const -> bool
{
    return !m_pending.empty();
}

} // namespace marjoramloom
