#include "cli/commands.h"
#include "cli/router_client.h"

#include <array>
#include <boost/json.hpp>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace marjoramloom {

namespace json = boost::json;

namespace {

/// Exit code if a router was not reached.
constexpr int notReached = 3;

constexpr std::array textOptions{ "route", "service", "host", "path", "account", "prompt" };
constexpr std::array numberOptions{ "prompt-tokens", "output-tokens", "deadline" };
constexpr std::array numberKeys{ "prompt_tokens", "output_tokens", "deadline_ms" };

auto usageError(const std::string &problem) -> int
{
    std::fprintf(stderr, "marjoramloom explain: %s\n", problem.c_str());
    return static_cast<int>(exit_code::usage);
}

/// Reads the whole file \p path; nothing if it cannot be read.
auto readFile(const std::string &path) -> std::optional<std::string>
{
    const auto in = std::ifstream(path);
    auto text = std::ostringstream();
    text << in.rdbuf();
    return in ? std::optional(text.str()) : std::nullopt;
}

/// The question for the routers; sets \p problem if an option is not valid.
auto makeQuestion(const command_arguments &arguments, std::string &problem) -> json::object
{
    auto question = json::object();
    for (const auto *name : textOptions) {
        if (arguments.has(name)) {
            question[name] = arguments.value(name);
        }
    }
    for (auto index = std::size_t(0); index < numberOptions.size(); ++index) {
        if (!arguments.has(numberOptions[index])) {
            continue;
        }
        const auto text = arguments.value(numberOptions[index]);
        auto number = std::uint32_t(0);
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc() || end != text.data() + text.size()) {
            problem = std::string("--") + numberOptions[index] + ": a whole number is expected, not '" + text + "'";
        }
        question[numberKeys[index]] = number;
    }
    if (arguments.has("head")) {
        const auto head = readFile(arguments.value("head"));
        if (!head) {
            problem = "cannot read " + arguments.value("head");
        }
        question["head"] = head.value_or("");
    }
    if (question.empty()) {
        problem = "expects --head, --route, --service, or --host and --path";
    }
    return question;
}

auto split(const std::string &list) -> std::vector<std::string>
{
    auto entries = std::vector<std::string>();
    auto in = std::istringstream(list);
    for (auto entry = std::string(); std::getline(in, entry, ',');) {
        entries.push_back(entry);
    }
    return entries;
}

auto textOf(const json::object &object, std::string_view key) -> std::string
{
    const auto *value = object.if_contains(key);
    if (value == nullptr) {
        return {};
    }
    return value->is_string() ? json::value_to<std::string>(*value) : json::serialize(*value);
}

auto printCandidate(const json::object &candidate) -> void
{
    auto reasons = std::string();
    for (const auto &reason : candidate.at("reasons_against").as_array()) {
        reasons += reasons.empty() ? "against: " : ", ";
        reasons += json::value_to<std::string>(reason);
    }
    std::printf("  %s", textOf(candidate, "server").c_str());
    for (const auto *key :
         { "running", "slots", "pending_prefill_tokens", "cached_tokens", "wait_ms", "first_event_ms" }) {
        if (candidate.contains(key)) {
            std::printf(" %s=%s", key, textOf(candidate, key).c_str());
        }
    }
    std::printf(" %s\n", reasons.c_str());
}

auto printExplanation(const json::object &explanation) -> void
{
    for (const auto &step : explanation.at("steps").as_array()) {
        std::printf("%s: %s\n", textOf(step.as_object(), "step").c_str(), textOf(step.as_object(), "finding").c_str());
    }
    std::printf("candidates as this router knows them:\n");
    for (const auto &candidate : explanation.at("candidates").as_array()) {
        printCandidate(candidate.as_object());
    }
    for (const auto *key : { "outcome", "choice", "wait_ms", "first_event_ms", "tokens_to_prefill", "if_it_fails" }) {
        if (explanation.contains(key)) {
            std::printf("%s: %s\n", key, textOf(explanation, key).c_str());
        }
    }
}

/// Asks the router at \p address. Returns nothing, with the exit code in \p code, if it gave no explanation.
auto ask(const command_arguments &arguments, const std::string &address, const json::object &question, int &code)
    -> std::optional<json::object>
{
    auto why = last_reason();
    auto client = router_client(arguments, address);
    auto answer = client.post("/v1/explain", question, why);
    if (!answer) {
        std::fprintf(stderr, "marjoramloom explain: %s\n", why.text().c_str());
        code = notReached;
        return std::nullopt;
    }
    if (answer->status == 200) {
        return std::move(answer->body);
    }
    why = reasonOf(*answer);
    std::fprintf(stderr, "marjoramloom explain: %s\n", why.text().c_str());
    code = static_cast<int>(why.kind == failure_kind::invalidInput ? exit_code::usage : exitCodeOf(why.kind));
    return std::nullopt;
}

auto runExplain(const command_arguments &arguments) -> int
{
    auto problem = std::string();
    const auto question = makeQuestion(arguments, problem);
    const auto *environment = std::getenv("MARJORAMLOOM_ROUTER");
    auto routers = split(arguments.value("fleet"));
    if (routers.empty()) {
        routers.push_back(arguments.value("router", environment == nullptr ? "" : environment));
    }
    if (problem.empty() && routers.front().empty()) {
        problem = "set a router's operators' listener with --router, --fleet or MARJORAMLOOM_ROUTER";
    }
    if (!problem.empty()) {
        return usageError(problem);
    }
    auto code = static_cast<int>(exit_code::success);
    auto all = json::array();
    auto firstResult = std::string();
    for (const auto &address : routers) {
        auto explanation = ask(arguments, address, question, code);
        if (!explanation) {
            continue;
        }
        const auto result = textOf(*explanation, "outcome") + " " + textOf(*explanation, "choice");
        firstResult = all.empty() ? result : firstResult;
        (*explanation)["router"] = address;
        (*explanation)["differs"] = result != firstResult;
        if (!arguments.has("json")) {
            if (routers.size() > 1) {
                std::printf("%srouter %s%s\n", all.empty() ? "" : "\n", address.c_str(),
                            result != firstResult ? " (differs from the first)" : "");
            }
            printExplanation(*explanation);
        }
        all.push_back(std::move(*explanation));
    }
    if (arguments.has("json") && !all.empty()) {
        std::printf("%s\n", json::serialize(routers.size() > 1 ? json::value(all) : all.front()).c_str());
    }
    return code;
}

auto explainOptions() -> std::vector<command_option>
{
    auto options = routerOptions();
    const auto own = std::vector<command_option>{
        { "fleet", "IP:PORT,...", "Ask these routers, and mark where they differ" },
        { "head", "FILE", "Head of a request, as it was sent or logged" },
        { "route", "NAME", "Name of the route" },
        { "service", "NAME", "Name of the service" },
        { "host", "HOST", "Host of the request, with --path" },
        { "path", "PATH", "Path of the request" },
        { "account", "NAME", "Name of the client account" },
        { "prompt", "ID:TOKENS,...", "Parts of the prompt, with ids in hexadecimal" },
        { "prompt-tokens", "NUMBER", "Tokens of the prompt, if not the sum of its parts" },
        { "output-tokens", "NUMBER", "Most tokens that are generated" },
        { "deadline", "MS", "How long the caller waits, in milliseconds" },
    };
    options.insert(options.end(), own.begin(), own.end());
    return options;
}

} // namespace

auto makeExplainCommand() -> command
{
    return { .usage = { .name = "explain",
                        .arguments = "",
                        .summary = "Explains where a request would go now, and why, without sending it.",
                        .examples =
                            "  marjoramloom explain --route chat --account north --prompt 5c1e:800,91bd:410\n"
                            "  marjoramloom explain --head request.txt --fleet 10.0.0.5:8001,10.0.0.6:8001\n"
                            "\nExit codes: 0 explained, also a refusal; 2 the question is not valid; 3 a router "
                            "was not reached.\n",
                        .options = explainOptions() },
             .run = runExplain };
}

} // namespace marjoramloom
