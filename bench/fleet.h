#pragma once

#include "engine_fake.h"
#include "results.h"
#include "scenario.h"

#include <functional>
#include <memory>
#include <set>
#include <unordered_map>

namespace marjoramloom::bench {

using request_key = std::uint64_t;

/// A request on its way through the fleet. Its router knows it; engines and dispatchers see parts of it.
struct live_request
{
    request_key key = 0;
    std::size_t account = 0;
    std::uint32_t router = 0;
    drawn_request drawn;
    std::size_t outcome = 0; ///< Its place in the results.
    time_point arrived;
    time_point waitsSince;
    double generated = 0; ///< Tokens of earlier places.
    double charged = 0; ///< Prompt tokens, weighted; charged once.
    bool promptCharged = false;
    bool complete = false; ///< Some engine generated the whole answer.
    std::uint32_t suspensions = 0;
};

/// One place of a request on an engine: its only one, or one of a hedged pair.
struct engine_place
{
    request_key request = 0;
    std::size_t engine = 0;
    bool started = false;
    bool firstToken = false;
    double promptTokens = 0;
    time_point placed;
};

using place_key = std::uint64_t;

/// What the fleet tells its policy about places; by then the news has reached the request's router.
struct place_listener
{
    std::function<void(request_key, place_key)> firstToken;
    std::function<void(request_key, place_key)> finished;
};

/// Engines, requests and what is measured of them, for any policy of choosing engines. Not thread safe.
class fleet
{
public:
    explicit fleet(const deployment &where);

    [[nodiscard]] auto queue() -> event_queue &
    {
        return m_queue;
    }

    [[nodiscard]] auto where() const -> const deployment &
    {
        return m_where;
    }

    auto setListener(place_listener listener) -> void;

    /// Engines of the model first, then plain servers.
    [[nodiscard]] auto engineCount(service_index service) const -> std::size_t;
    [[nodiscard]] auto engineNumber(service_index service, std::size_t index) const -> std::size_t;
    [[nodiscard]] auto engine(std::size_t number) -> engine_fake &;
    [[nodiscard]] auto engine(std::size_t number) const -> const engine_fake &;
    [[nodiscard]] auto dataCentreOfEngine(std::size_t number) const -> std::uint32_t;
    [[nodiscard]] auto dataCentreOfRouter(std::uint32_t router) const -> std::uint32_t;
    [[nodiscard]] auto routerCount() const -> std::uint32_t;

    /// One way between two data centres, with the local network's part.
    [[nodiscard]] auto latency(std::uint32_t from, std::uint32_t to) const -> duration;

    /// A new request at its router; it counts as waiting from now on.
    auto makeRequest(std::size_t account, std::uint32_t router, const drawn_request &drawn) -> live_request &;
    [[nodiscard]] auto request(request_key key) -> live_request *;
    [[nodiscard]] auto classOf(const live_request &asked) const -> const request_class &;

    /// Sends a request to an engine.
    auto place(live_request &placed, std::size_t engine) -> place_key;
    [[nodiscard]] auto find(place_key key) -> engine_place *;

    /// Takes a request off an engine; what it generated there counts. It waits again where \p waitsAgain.
    auto removePlace(place_key key, bool waitsAgain) -> void;

    /// Weighted tokens that the request used so far, at all its places.
    [[nodiscard]] auto costOf(const live_request &asked) -> double;

    /// The request got its whole answer, or was refused.
    auto finish(live_request &done, bool refused) -> void;

    /// Places that run now.
    [[nodiscard]] auto runningPlaces() const -> const std::map<place_key, engine_place> &;

    auto recordSamples() -> void;
    auto startMeasuring() -> void;
    [[nodiscard]] auto results() -> run_results &;
    [[nodiscard]] auto secondsSinceStart() const -> double;

private:
    auto addEngines(service_index service, std::size_t count, const engine_settings &settings) -> void;
    auto onStarted(place_key key) -> void;
    auto onFirstToken(place_key key, double cachedTokens) -> void;
    auto onFinished(place_key key) -> void;
    auto noteTokens(const live_request &of, double tokens) -> void;
    auto noteWaiting(live_request &waiting) -> void;

    const deployment &m_where;
    event_queue m_queue;
    std::vector<std::unique_ptr<engine_fake>> m_engines;
    std::map<request_key, live_request> m_requests;
    std::map<place_key, engine_place> m_places;
    std::multimap<request_key, place_key> m_placesOf;
    std::set<std::pair<time_point, request_key>> m_waiting; ///< For an engine of the model.
    std::vector<double> m_settled; ///< Weighted tokens of requests that are gone, by account.
    place_listener m_listener;
    run_results m_results;
    request_key m_lastRequest = 0;
    place_key m_lastPlace = 0;
    bool m_measuring = false;
    time_point m_measuredSince;
};

} // namespace marjoramloom::bench
