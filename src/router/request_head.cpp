#include "marjoramloom/router/request_head.h"

#include "marjoramloom/core/text.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <cassert>
#include <string>

namespace marjoramloom {

namespace {

constexpr std::string_view tokenSymbols = "!#$%&'*+-.^_`|~";

auto isTokenCharacter(char letter) -> bool
{
    const auto isDigit = letter >= '0' && letter <= '9';
    const auto isLetter = (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z');
    return isDigit || isLetter || tokenSymbols.find(letter) != std::string_view::npos;
}

auto isToken(std::string_view text) -> bool
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

auto isNumber(std::string_view text) -> bool
{
    return !text.empty()
        && std::all_of(text.begin(), text.end(), [](char letter) { return letter >= '0' && letter <= '9'; });
}

/// Whether \p line is a method, a target and a version, separated by single spaces. The target must be a path.
auto isRequestLine(std::string_view line) -> bool
{
    const auto first = line.find(' ');
    const auto last = line.rfind(' ');
    if (first == std::string_view::npos || first == last || line.find(' ', first + 1) != last) {
        return false;
    }
    return isToken(line.substr(0, first)) && line[first + 1] == '/' && line.substr(last + 1).starts_with("HTTP/1.");
}

/// Counts the fields that may occur only once in a request.
struct unique_fields
{
    int hosts = 0;
    int lengths = 0;
    int encodings = 0;

    /// Counts the field. Returns false if its value is invalid.
    auto add(std::string_view name, std::string_view value) -> bool
    {
        if (equalsIgnoringCase(name, "Host")) {
            ++hosts;
        } else if (equalsIgnoringCase(name, "Content-Length")) {
            ++lengths;
            return isNumber(value);
        } else if (equalsIgnoringCase(name, "Transfer-Encoding")) {
            ++encodings;
            return equalsIgnoringCase(value, "chunked");
        }
        return true;
    }

    [[nodiscard]] auto areValid() const -> bool
    {
        return hosts == 1 && lengths + encodings <= 1;
    }
};

auto isValidField(std::string_view line, unique_fields &fields) -> bool
{
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || !isToken(line.substr(0, colon))) {
        return false;
    }
    return fields.add(line.substr(0, colon), trimmed(line.substr(colon + 1)));
}

/// Longest name, and longest value, that boost::beast::http::fields holds; it throws an exception for longer ones.
constexpr std::size_t maxContainerText = 65'533;

auto isTooLong(const header_field &field) -> bool
{
    return field.name.size() > maxContainerText || field.value.size() > maxContainerText;
}

} // namespace

auto checkRequestHead(std::string_view bytes) -> head_state
{
    auto fields = unique_fields();
    auto isFirst = true;
    while (true) {
        const auto end = bytes.find('\n');
        if (end == std::string_view::npos) {
            const auto carriageReturn = bytes.find('\r');
            return carriageReturn == std::string_view::npos || carriageReturn + 1 == bytes.size()
                ? head_state::incomplete
                : head_state::malformed;
        }
        if (end == 0 || bytes[end - 1] != '\r') {
            return head_state::malformed;
        }
        const auto line = bytes.substr(0, end - 1);
        bytes.remove_prefix(end + 1);
        if (line.empty() && !isFirst) {
            return fields.areValid() ? head_state::valid : head_state::malformed;
        }
        const auto hasControl =
            std::any_of(line.begin(), line.end(), [](char letter) { return letter == '\r' || letter == '\0'; });
        if (hasControl || !(isFirst ? isRequestLine(line) : isValidField(line, fields))) {
            return head_state::malformed;
        }
        isFirst = false;
    }
}

auto takeLongFields(boost::beast::flat_buffer &buffer) -> long_fields
{
    auto taken = long_fields();
    if (buffer.size() <= maxContainerText) {
        return taken;
    }
    auto bytes = std::string_view(static_cast<const char *>(buffer.data().data()), buffer.size());
    auto rest = std::string();
    while (true) {
        const auto lineSize = bytes.find("\r\n") + 2;
        assert(lineSize >= 2 && lineSize <= bytes.size());
        const auto line = bytes.substr(0, lineSize - 2);
        if (line.empty()) {
            break;
        }
        const auto colon = std::min(line.find(':'), line.size());
        auto field = header_field{ .name = std::string(line.substr(0, colon)),
                                   .value = std::string(trimmed(line.substr(std::min(colon + 1, line.size())))) };
        const auto isField = !rest.empty(); // The first line is the request line.
        if (isField && isTooLong(field)) {
            taken.push_back(std::move(field));
        } else {
            rest += bytes.substr(0, lineSize);
        }
        bytes.remove_prefix(lineSize);
    }
    if (!taken.empty()) {
        rest += bytes;
        buffer.clear();
        buffer.commit(boost::asio::buffer_copy(buffer.prepare(rest.size()), boost::asio::buffer(rest)));
    }
    return taken;
}

} // namespace marjoramloom
