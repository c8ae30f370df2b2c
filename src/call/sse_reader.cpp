#include "marjoramloom/call/sse_reader.h"

namespace marjoramloom {

auto sse_reader::feed(std::string_view bytes) -> std::vector<sse_event>
{
    auto complete = std::vector<sse_event>();
    while (!bytes.empty() && !m_overflowed) {
        const auto end = bytes.find('\n');
        m_partialLine += bytes.substr(0, end);
        m_overflowed = m_partialLine.size() + m_event.data.size() > EVENT_LIMIT_BYTES;
        if (end == std::string_view::npos) {
            break;
        }
        bytes.remove_prefix(end + 1);
        if (m_partialLine.ends_with('\r')) {
            m_partialLine.pop_back();
        }
        takeLine(m_partialLine, complete);
        m_partialLine.clear();
    }
    return complete;
}

auto sse_reader::overflowed() const -> bool
{
    return m_overflowed;
}

auto sse_reader::takeLine(std::string_view line, std::vector<sse_event> &complete) -> void
{
    if (line.empty()) {
        if (m_hasData) {
            complete.push_back(std::move(m_event));
        }
        m_event = {};
        m_hasData = false;
        return;
    }
    const auto colon = line.find(':');
    const auto field = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    if (field == "id") {
        m_event.id = value;
    } else if (field == "data") {
        m_event.data += m_hasData ? "\n" : "";
        m_event.data += value;
        m_hasData = true;
    }
}

} // namespace marjoramloom
