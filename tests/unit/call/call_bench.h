#pragma once

#include "fake_engine.h"
#include "marjoramloom/call/connection_pool.h"
#include "marjoramloom/call/hedge_policy.h"
#include "marjoramloom/call/model_call.h"
#include "marjoramloom/call/retry_budget.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace marjoramloom::test {

/// Grants the first engine that is not excluded, at once; keeps count of what was granted and settled.
class fake_grants
{
public:
    auto nextTicket() -> ticket_id
    {
        return { 1, ++m_serial };
    }

    auto acquire(const ticket &waiting, std::shared_ptr<call_control> control, last_reason &why)
        -> boost::asio::awaitable<std::optional<grant>>;

    auto progress(ticket_id id, double cost) -> void;
    auto settle(ticket_id id, double cost) -> void;

    std::vector<object_id> servers;
    std::vector<ticket> tickets; ///< As submitted.
    std::map<ticket_id, object_id> running;
    std::map<ticket_id, double> settled;
    bool settledTwice = false;
    bool refuse = false;
    std::function<void(const ticket &)> onAcquire;

private:
    std::uint64_t m_serial = 0;
};

/// Collects an answer; may leave after some pieces, or be slow.
class fake_sink
{
public:
    auto deliver(const answer_piece &piece) -> boost::asio::awaitable<bool>;

    std::string text;
    std::string finishReason;
    std::uint64_t pieces = 0;
    bool ordered = true;
    bool whole = false;
    std::uint64_t leaveAfter = 0; ///< 0: stays.
    std::function<void(const answer_piece &)> onPiece;
};

/// Engines, grants and an environment for calls in the test's own process, on one thread.
class call_bench
{
public:
    explicit call_bench(std::size_t engineCount);

    [[nodiscard]] auto engine(std::size_t index) -> fake_engine &;

    /// A request for \p question with the bench's profile.
    auto ask(const std::string &question, std::uint64_t maxTokens = 0) -> model_request;

    /// Runs one call to its end, then lets its clean-up finish.
    auto run(model_request request) -> call_result;

    /// Runs what is left for at most \p limit.
    auto settle(duration limit = std::chrono::milliseconds(300)) -> void;

    boost::asio::io_context context;
    connection_pool connections;
    retry_budget retries{ 0.1, 1 };
    hedge_policy hedges{ 0.05 };
    call_environment environment;
    fake_grants grants;
    fake_sink sink;
    profile treatment;
    std::shared_ptr<call_control> control;
    std::vector<pace_sample> samples;
    std::vector<object_id> leaving;

private:
    std::vector<std::unique_ptr<fake_engine>> m_engines;
    std::uint64_t m_requests = 0;
};

} // namespace marjoramloom::test
