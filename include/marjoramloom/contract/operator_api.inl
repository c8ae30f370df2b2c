#include <boost/json.hpp>

namespace marjoramloom {

template<watched_store Platform>
auto operator_api<Platform>::handle(std::string method, std::string target, std::string body)
    -> boost::asio::awaitable<operator_response>
{
    const auto path = target.substr(0, target.find('?'));
    if (method == "POST" && path == "/v1/changes") {
        co_return co_await postChange(std::move(body));
    }
    auto why = last_reason();
    if (method != "GET") {
        why.fail(failure_kind::invalidInput, "read request", "operator", "method " + method + " is not allowed here");
        co_return errorResponse(405, why);
    }
    if (path == "/v1/configuration") {
        co_return operator_response{ 200, toJson(*m_store.read()) };
    }
    if (path == "/v1/changes") {
        auto list = boost::json::object();
        list["sequence"] = m_store.sequence();
        list["changes"] = toJson(m_store.summariesAfter(0));
        co_return operator_response{ 200, std::move(list) };
    }
    const auto getHandler = m_getHandlers.find(path);
    if (getHandler != m_getHandlers.end()) {
        auto answer = co_await getHandler->second();
        co_return operator_response{ 200, std::move(answer) };
    }
    why.fail(failure_kind::notFound, "read request", "operator", "there is no " + path);
    co_return errorResponse(404, why);
}

template<watched_store Platform>
auto operator_api<Platform>::postChange(std::string body) -> boost::asio::awaitable<operator_response>
{
    auto problems = configuration_problems();
    auto proposal = parseProposal(body, problems);
    if (!proposal) {
        co_return toResponse(problems);
    }
    auto why = last_reason();
    const auto id = proposal->id;
    const auto author = proposal->author;
    const auto outcome = co_await m_changes.commit(std::move(*proposal), why);
    log_line(log_level::info, "change_proposed")
        .with("id", id)
        .with("author", author)
        .with("accepted", outcome.result == commit_result::accepted ? 1 : 0)
        .with("sequence", outcome.sequence)
        .with("reason", why.text());
    co_return toResponse(outcome, why);
}

} // namespace marjoramloom
