#pragma once

#include "marjoramloom/gateway/knowledge/gateway_state.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

/// Asks a router for the software version that began a stream.
struct stream_question
{
    std::uint64_t stream = 0; ///< From stream_versions::streamId().
    std::uint64_t service = 0; ///< From stream_lookup::serviceId(); 0 if it is not stated.
};

/// Finds the software version that began a stream, for a caller that takes it up at any router.
///
/// While a service has a single version by a list of servers that is not outdated, no message is needed. Otherwise the
/// router that begins a stream tells a few routers, its keepers, which every router derives from the stream's id; a
/// router that gets a take-up asks them. A keeper whose own list is current also knows the streams of a service with a
/// single version. A version that nobody knows is never guessed. Not thread safe: belongs to the router's only thread.
class stream_lookup
{
public:
    using send_question = std::function<void(std::uint64_t router, const stream_question &question)>;
    using send_versions = std::function<void(std::uint64_t router, const std::vector<stream_version> &streams)>;

    /// Routers that are told of a stream. The death of all of them at once leaves a stream unknown.
    static constexpr std::size_t KEEPERS = 3;
    /// Routers that are asked: the order of the routers may differ a little between two of them.
    static constexpr std::size_t ASKED_ROUTERS = 5;
    /// Allows for several round trips between data centres.
    static constexpr duration ANSWER_TIMEOUT = std::chrono::milliseconds(40);

    /// Preconditions: \p state outlives this object; \p ask and \p tell deliver a message to another router, or lose it
    /// silently.
    stream_lookup(boost::asio::any_io_executor executor, gateway_state &state, send_question ask, send_versions tell);

    /// Records that an event of a stream of \p service is about to be sent to the caller.
    auto noteBegun(const std::string &service, const stream_version &begun) -> void;

    /// The version that began \p stream of \p service; nothing if it is not known. Without an id (0) only a service
    /// with a single version is known.
    auto find(const std::string &service, std::uint64_t stream) -> boost::asio::awaitable<std::optional<std::uint64_t>>;

    /// Id of \p service in questions: a hash, equal on every router.
    [[nodiscard]] static auto serviceId(const std::string &service) -> std::uint64_t;

    /// Answers the question of another router.
    auto handleQuestion(std::uint64_t router, const stream_question &question) -> void;

    /// Takes over what another router knows; answers to questions may say that a stream is unknown.
    auto handleVersions(const std::vector<stream_version> &streams) -> void;

    /// Tells the keepers of the streams that were begun before a second version of a service appeared, or before the
    /// store was lost. Call several times a second.
    auto tick(time_point now) -> void;

private:
    struct pending_question
    {
        explicit pending_question(const boost::asio::any_io_executor &executor)
            : timer(executor)
        {
        }
        boost::asio::steady_timer timer;
        std::size_t missing = 0; ///< Routers that have not answered yet.
        std::optional<std::uint64_t> version;
    };

    /// The first routers of the order of \p stream, up to \p limit, without this one.
    auto keepersOf(std::uint64_t stream, std::size_t limit) -> std::vector<std::uint64_t>;
    auto tellKeepers(const std::vector<stream_version> &streams) -> void;
    auto soleVersionOf(std::uint64_t serviceId, time_point now) const -> std::optional<std::uint64_t>;
    auto isAnyUncertain(time_point now) const -> bool;

    boost::asio::any_io_executor m_executor;
    gateway_state &m_state;
    send_question m_ask;
    send_versions m_tell;
    std::unordered_map<std::uint64_t, std::vector<std::shared_ptr<pending_question>>> m_pending; ///< By stream.
    bool m_wasUncertain = false;
    counter &m_unknownStreams;
};

} // namespace marjoramloom
