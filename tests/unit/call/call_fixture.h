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

/// Grant source that immediately grants the first engine that is not excluded, and records grants and settlements.
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
    std::vector<ticket> tickets; ///< In order of submission.
    std::map<ticket_id, object_id> running; ///< Granted and not settled.
    std::map<ticket_id, double> settled;
    bool settledTwice = false;
    bool refuse = false; ///< Refuses all tickets.
    std::function<void(const ticket &)> onAcquire;

private:
    std::uint64_t m_serial = 0;
};

/// Collects an answer, and can disconnect after some pieces.
class fake_sink
{
public:
    auto deliver(const answer_piece &piece) -> boost::asio::awaitable<bool>;

    std::string text;
    std::string finishReason;
    std::uint64_t pieces = 0;
    bool ordered = true;
    bool lastReceived = false;
    std::uint64_t disconnectAfter = 0; ///< Number of pieces; 0 for never.
    std::function<void(const answer_piece &)> onPiece;
};

/// Runs calls against fake engines and grants in the test process, on one thread.
class call_fixture
{
public:
    explicit call_fixture(std::size_t engineCount);

    [[nodiscard]] auto engine(std::size_t index) -> fake_engine &;

    /// Creates a request for \p question with the fixture's profile.
    auto makeRequest(const std::string &question, std::uint64_t maxTokens = 0) -> model_request;

    /// Runs one call to its end and then waits for its clean-up with settle().
    auto run(model_request request) -> call_result;

    /// Runs the executor until all grants are settled, for at most \p limit.
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
