#pragma once

// Small stand-ins of the platform's store, of engines and of clients for the cases of the review, and the code that
// starts routers as separate processes. Everything listens on loopback and uses blocking sockets, one thread for each
// connection.

#include <boost/json.hpp>

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

namespace json = boost::json;
using steady = std::chrono::steady_clock;

inline auto sleepMs(int milliseconds) -> void
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

inline auto unixMs() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// Whether the disruption of the case is wanted.
inline auto isTroubleWanted() -> bool
{
    const auto *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// The record of a run: one line for each thing that was sent, answered or run. Thread safe.
class run_record
{
public:
    explicit run_record(const std::string &path)
        : m_file(path)
    {
    }
    auto add(const std::string &line) -> void
    {
        const auto lock = std::lock_guard(m_mutex);
        const auto elapsed = std::chrono::duration<double>(steady::now() - m_start).count();
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", elapsed);
        m_file << time << line << "\n" << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    steady::time_point m_start = steady::now();
};

/// A blocking TCP connection with a buffer.
class channel
{
public:
    explicit channel(int descriptor)
        : m_descriptor(descriptor)
    {
        const auto on = 1;
        ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~channel()
    {
        close();
    }
    channel(const channel &) = delete;
    auto operator=(const channel &) -> channel & = delete;

    static auto connect(std::uint16_t port) -> std::unique_ptr<channel>
    {
        const auto descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = sockaddr_in{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
            ::close(descriptor);
            return nullptr;
        }
        return std::make_unique<channel>(descriptor);
    }
    auto setReadTimeout(int milliseconds) -> void
    {
        const auto limit = timeval{ milliseconds / 1000, (milliseconds % 1000) * 1000 };
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }
    auto write(const std::string &text) -> bool
    {
        auto sent = std::size_t(0);
        while (sent < text.size()) {
            const auto count = ::send(m_descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }
    /// Reads up to and with \p end; nothing if the peer closes or resets before, or is silent for too long.
    auto readUntil(const std::string &end) -> std::optional<std::string>
    {
        while (true) {
            const auto found = m_buffer.find(end);
            if (found != std::string::npos) {
                return take(found + end.size());
            }
            if (!fill()) {
                return std::nullopt;
            }
        }
    }
    auto readBytes(std::size_t count) -> std::optional<std::string>
    {
        while (m_buffer.size() < count) {
            if (!fill()) {
                return std::nullopt;
            }
        }
        return take(count);
    }
    auto close() -> void
    {
        if (m_descriptor >= 0) {
            ::close(m_descriptor);
            m_descriptor = -1;
        }
    }
    auto descriptor() const -> int
    {
        return m_descriptor;
    }

private:
    auto fill() -> bool
    {
        char bytes[16384];
        const auto count = ::recv(m_descriptor, bytes, sizeof bytes, 0);
        if (count <= 0) {
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }
    auto take(std::size_t count) -> std::string
    {
        auto taken = m_buffer.substr(0, count);
        m_buffer.erase(0, count);
        return taken;
    }
    int m_descriptor;
    std::string m_buffer;
};

/// Head and body of an HTTP/1.1 message. Field names are in lower case.
struct message
{
    std::string first; ///< Request line or status line.
    std::map<std::string, std::string> fields;
    std::string body;

    auto field(const std::string &name) const -> std::string
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
    auto word(int index) const -> std::string
    {
        auto words = std::istringstream(first);
        auto text = std::string();
        for (auto at = 0; at <= index; ++at) {
            text.clear();
            words >> text;
        }
        return text;
    }
    auto status() const -> int
    {
        return std::atoi(word(1).c_str());
    }
};

inline auto parseHead(const std::string &text) -> message
{
    auto head = message();
    auto lines = std::istringstream(text);
    auto line = std::string();
    std::getline(lines, head.first);
    while (std::getline(lines, line)) {
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        auto name = line.substr(0, colon);
        for (auto &letter : name) {
            letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
        }
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(" \t"));
        value.erase(value.find_last_not_of(" \t\r\n") + 1);
        head.fields[name] = value;
    }
    return head;
}

/// Reads a message with a length, in chunks, or without a body. Nothing if it is not complete.
inline auto readMessage(channel &from) -> std::optional<message>
{
    const auto head = from.readUntil("\r\n\r\n");
    if (!head) {
        return std::nullopt;
    }
    auto read = parseHead(*head);
    if (read.field("transfer-encoding") == "chunked") {
        while (true) {
            const auto size = from.readUntil("\r\n");
            const auto count = size ? std::strtoul(size->c_str(), nullptr, 16) : 0;
            const auto part = size ? from.readBytes(count + 2) : std::nullopt;
            if (!part) {
                return std::nullopt;
            }
            if (count == 0) {
                return read;
            }
            read.body += part->substr(0, count);
        }
    }
    if (!read.field("content-length").empty()) {
        auto body = from.readBytes(std::strtoul(read.field("content-length").c_str(), nullptr, 10));
        if (!body) {
            return std::nullopt;
        }
        read.body = std::move(*body);
    }
    return read;
}

/// Accepts connections on a free loopback port and serves each one in a thread of its own.
class listener
{
public:
    using serve_function = std::function<void(channel &)>;

    explicit listener(serve_function serve)
        : m_serve(std::move(serve))
    {
        m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = sockaddr_in{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto length = socklen_t(sizeof address);
        if (::bind(m_descriptor, reinterpret_cast<const sockaddr *>(&address), length) != 0
            || ::listen(m_descriptor, 128) != 0) {
            std::perror("listen");
            std::exit(2);
        }
        ::getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&address), &length);
        m_port = ntohs(address.sin_port);
        std::thread([this] { accept(); }).detach();
    }
    auto port() const -> std::uint16_t
    {
        return m_port;
    }
    auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }

private:
    auto accept() -> void
    {
        while (true) {
            const auto descriptor = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) {
                continue;
            }
            std::thread([this, descriptor] {
                auto accepted = channel(descriptor);
                m_serve(accepted);
            }).detach();
        }
    }
    serve_function m_serve;
    int m_descriptor = -1;
    std::uint16_t m_port = 0;
};

/// A loopback port that is free now.
inline auto freePort() -> std::uint16_t
{
    const auto descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto length = socklen_t(sizeof address);
    ::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), length);
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length);
    ::close(descriptor);
    return ntohs(address.sin_port);
}

/// The platform's store: objects by kind and name, one revision counter, lists, watches and conditional writes.
class store
{
public:
    store()
        : m_listener([this](channel &client) { serve(client); })
    {
    }
    auto address() const -> std::string
    {
        return m_listener.address();
    }
    /// Creates or replaces an object, as the operator, an engine or another writer does.
    auto put(const std::string &kind, const std::string &name, json::value spec) -> void
    {
        const auto lock = std::lock_guard(m_mutex);
        write(kind, name, std::move(spec), false);
    }
    auto remove(const std::string &kind, const std::string &name) -> void
    {
        const auto lock = std::lock_guard(m_mutex);
        write(kind, name, nullptr, true);
    }

private:
    struct change
    {
        std::uint64_t revision;
        std::string kind;
        json::value object;
        bool deleted;
    };
    struct answer
    {
        int status;
        json::value body;
    };

    auto write(const std::string &kind, const std::string &name, json::value spec, bool deleted) -> json::value
    {
        ++m_revision;
        auto object = json::object{ { "metadata",
                                      json::object{ { "name", name },
                                                    { "revision", m_revision },
                                                    { "created", 1 },
                                                    { "finalizers", json::array() },
                                                    { "deletion_pending", false } } },
                                    { "spec", std::move(spec) },
                                    { "status", nullptr } };
        if (deleted) {
            m_objects[kind].erase(name);
        } else {
            m_objects[kind][name] = object;
        }
        m_changes.push_back({ m_revision, kind, object, deleted });
        m_changed.notify_all();
        return object;
    }
    auto serve(channel &client) -> void
    {
        while (const auto request = readMessage(client)) {
            const auto [status, body] = handle(*request);
            const auto text = json::serialize(body);
            if (!client.write("HTTP/1.1 " + std::to_string(status)
                              + " Answer\r\nContent-Type: application/json\r\nContent-Length: "
                              + std::to_string(text.size()) + "\r\n\r\n" + text)) {
                return;
            }
        }
    }
    static auto query(const std::string &target, const std::string &name) -> std::optional<std::string>
    {
        auto at = target.find('?');
        while (at != std::string::npos) {
            const auto end = target.find('&', at + 1);
            const auto entry = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            if (entry.rfind(name + "=", 0) == 0) {
                return entry.substr(name.size() + 1);
            }
            at = end;
        }
        return std::nullopt;
    }
    auto handle(const message &request) -> answer
    {
        const auto method = request.word(0);
        const auto target = request.word(1);
        const auto path = target.substr(0, target.find('?'));
        const auto prefix = std::string("/v1/objects/");
        if (path.rfind(prefix, 0) != 0) {
            return { 404, json::object() };
        }
        auto kind = path.substr(prefix.size());
        auto name = std::string();
        if (const auto slash = kind.find('/'); slash != std::string::npos) {
            name = kind.substr(slash + 1);
            kind.resize(slash);
        }
        auto lock = std::unique_lock(m_mutex);
        if (method == "GET" && query(target, "subscription")) {
            const auto since = std::stoull(*query(target, "subscription"));
            const auto wait = std::chrono::milliseconds(std::stoll(query(target, "wait_ms").value_or("0")));
            auto events = json::array();
            m_changed.wait_for(lock, wait, [&] {
                for (const auto &entry : m_changes) {
                    if (entry.revision > since && entry.kind == kind) {
                        events.push_back(json::object{ { "object", entry.object }, { "deleted", entry.deleted } });
                    }
                }
                return !events.empty();
            });
            return { 200, json::object{ { "events", std::move(events) }, { "at", m_revision } } };
        }
        auto &objects = m_objects[kind];
        const auto found = objects.find(name);
        if (method == "GET" && name.empty()) {
            auto entries = json::array();
            for (const auto &[entryName, object] : objects) {
                if (entryName > query(target, "after").value_or("")) {
                    entries.push_back(object);
                }
            }
            return { 200,
                     json::object{ { "entries", std::move(entries) }, { "truncated", false }, { "at", m_revision } } };
        }
        if (method == "GET") {
            return found == objects.end() ? answer{ 404, json::object() } : answer{ 200, found->second };
        }
        auto expected = query(target, "revision");
        auto spec = json::value();
        if (!request.body.empty()) {
            const auto body = json::parse(request.body);
            const auto &metadata = body.at("metadata").as_object();
            name = name.empty() ? std::string(metadata.at("name").as_string()) : name;
            if (const auto *revision = metadata.if_contains("revision")) {
                expected = std::to_string(revision->to_number<std::uint64_t>());
            }
            spec = body.at("spec");
        }
        const auto known = objects.find(name);
        if (method == "POST") {
            return known != objects.end() ? answer{ 409, known->second }
                                          : answer{ 200, write(kind, name, spec, false) };
        }
        if (known == objects.end()) {
            return { 404, json::object() };
        }
        const auto revision = known->second.at("metadata").at("revision").to_number<std::uint64_t>();
        if (expected && *expected != std::to_string(revision)) {
            return { 409, known->second };
        }
        return { 200, write(kind, name, spec, method == "DELETE") };
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 1;
    std::map<std::string, std::map<std::string, json::value>> m_objects;
    std::vector<change> m_changes;
    listener m_listener;
};

/// A sound engine: checks which instance and which version of the weights a request expects, runs it, and answers with
/// its seal. Requests with a prompt get a stream of events.
class engine
{
public:
    engine(std::string id, run_record &record, int workMs)
        : m_id(std::move(id))
        , m_record(record)
        , m_workMs(workMs)
        , m_born(unixMs())
        , m_listener([this](channel &client) { serve(client); })
    {
    }
    auto id() const -> const std::string &
    {
        return m_id;
    }
    auto port() const -> std::uint16_t
    {
        return m_listener.port();
    }
    /// The engine's entry in the store.
    auto entry(const std::string &service, const std::string &zone, int slots, const std::string &state = "ready")
        -> json::object
    {
        return json::object{ { "service", service },   { "address", m_listener.address() },
                             { "zone", zone },         { "version", "v1" },
                             { "slots", slots },       { "state", state },
                             { "cold_left_ms", 0 },    { "sequence", ++m_sequence },
                             { "born", m_born.load() } };
    }
    /// Ends this boot and starts another one at once, under the same id and at the same address.
    auto startAgain() -> void
    {
        const auto lock = std::lock_guard(m_mutex);
        m_born = unixMs();
        m_sequence = 0;
        for (const auto descriptor : m_open) {
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }
    /// From now on the engine says in all its answers that it leaves.
    auto leave() -> void
    {
        m_leaving = true;
    }
    /// How often the request \p id was run here.
    auto runs(const std::string &id) -> int
    {
        const auto lock = std::lock_guard(m_mutex);
        const auto found = m_runs.find(id);
        return found == m_runs.end() ? 0 : found->second;
    }
    auto allRuns() -> int
    {
        const auto lock = std::lock_guard(m_mutex);
        auto count = 0;
        for (const auto &[id, runs] : m_runs) {
            count += runs;
        }
        return count;
    }

    static constexpr int weightVersion = 1;
    static constexpr int eventsInStream = 6;

private:
    auto serve(channel &client) -> void
    {
        {
            const auto lock = std::lock_guard(m_mutex);
            m_open.insert(client.descriptor());
        }
        auto isOpen = true;
        while (isOpen) {
            const auto request = readMessage(client);
            isOpen = request && answer(client, *request);
        }
        const auto lock = std::lock_guard(m_mutex);
        m_open.erase(client.descriptor());
        client.close();
    }
    auto answer(channel &client, const message &request) -> bool
    {
        const auto id = request.field("x-attempt-id");
        const auto version = request.field("x-expect-version");
        const auto isOther = !request.field("x-expect-instance").empty() && request.field("x-expect-instance") != m_id;
        if (isOther || (!version.empty() && version != std::to_string(weightVersion))) {
            m_record.add(m_id + " answers 421 to " + id + (isOther ? " (another instance)" : " (another version)"));
            return client.write("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + m_id + "\r\nX-Attempt-Id: " + id
                                + "\r\nX-Not-Executed: 1\r\n" + (m_leaving ? "Server-Leaving: 1\r\n" : "")
                                + "Content-Length: 0\r\n\r\n");
        }
        {
            const auto lock = std::lock_guard(m_mutex);
            ++m_runs[id];
        }
        m_record.add(m_id + " runs " + id + (m_leaving ? " (leaving)" : ""));
        sleepMs(m_workMs);
        const auto common = "X-Attempt-Id: " + id + "\r\nX-Response-Seal: seal." + m_id
            + "\r\nX-Weight-Versions: " + std::to_string(weightVersion) + "\r\nKeep-Alive: timeout=10\r\n"
            + (m_leaving ? "Server-Leaving: 1\r\n" : "");
        if (request.field("x-prompt-prefix").empty()) {
            const auto body = bodyFor(id);
            return client.write("HTTP/1.1 200 OK\r\n" + common + "Content-Length: " + std::to_string(body.size())
                                + "\r\n\r\n" + body);
        }
        auto isOpen = client.write("HTTP/1.1 200 OK\r\n" + common
                                   + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        const auto after = std::atoi(request.field("last-event-id").c_str());
        for (auto number = after + 1; isOpen && number <= eventsInStream; ++number) {
            const auto event = "id: " + std::to_string(number) + "\ndata: piece of " + id + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            isOpen = client.write(size + event + "\r\n");
            sleepMs(5);
        }
        return isOpen && client.write("0\r\n\r\n");
    }

public:
    static auto bodyFor(const std::string &id) -> std::string
    {
        return "{\"booked\":\"" + id + "\"}";
    }

private:
    std::string m_id;
    run_record &m_record;
    int m_workMs;
    std::atomic<std::int64_t> m_born;
    std::atomic<bool> m_leaving = false;
    std::set<int> m_open; ///< Descriptors of the open channels.
    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    std::atomic<int> m_sequence = 0;
    listener m_listener;
};

/// A router as a separate process, started with the command and the settings of the deploy file.
class router
{
public:
    router(std::string program, std::string folder, std::string name, std::string zone, const std::string &storeAddress)
        : m_program(std::move(program))
        , m_folder(std::move(folder))
        , m_name(std::move(name))
        , m_callers(freePort())
        , m_ready(freePort())
    {
        const auto peers = freePort();
        auto file = std::ofstream(settingsPath());
        file << "[instance]\nname = \"" << m_name << "\"\ndata_centre = \"" << zone
             << "\"\nregion = \"addis\"\nthreads = 1\n\n[listen]\ncallers = \"127.0.0.1:" << m_callers
             << "\"\noperators = \"127.0.0.1:" << m_ready << "\"\npeers = \"127.0.0.1:" << peers
             << "\"\n\n[operators]\nkey_hash = \"" << std::string(64, '0') << "\"\n\n[platform]\naddresses = [\""
             << storeAddress
             << "\"]\ntimeout_ms = 1000\n\n[gateway]\ncores = 0.25\ndescriptors = 4100\nkey_revocation_ms = 5000\n"
                "grace_seconds = 8\nrepeat_ratio = 0.2\nrepeat_window_seconds = 10\n";
        file.close();
        start();
    }
    ~router()
    {
        if (m_process > 0) {
            ::kill(m_process, SIGKILL);
            ::waitpid(m_process, nullptr, 0);
        }
    }
    router(const router &) = delete;
    auto operator=(const router &) -> router & = delete;

    auto start() -> void
    {
        const auto log = m_folder + "/" + m_name + ".log";
        const auto settings = settingsPath();
        m_process = ::fork();
        if (m_process == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // No router outlives the case.
            const auto descriptor = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(descriptor, 1);
            ::dup2(descriptor, 2);
            ::execl(m_program.c_str(), m_program.c_str(), "serve", "--settings", settings.c_str(), nullptr);
            ::_exit(127);
        }
    }
    auto signal(int number) -> void
    {
        ::kill(m_process, number);
    }
    auto isRunning() -> bool
    {
        return m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) == 0;
    }
    auto isReady() const -> bool
    {
        const auto connection = channel::connect(m_ready);
        if (!connection) {
            return false;
        }
        connection->setReadTimeout(1'000);
        connection->write("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
        const auto answer = readMessage(*connection);
        return answer && answer->status() == 200;
    }
    auto waitUntilReady(int limitMs) const -> bool
    {
        for (auto waited = 0; waited < limitMs; waited += 50) {
            if (isReady()) {
                return true;
            }
            sleepMs(50);
        }
        return false;
    }
    auto port() const -> std::uint16_t
    {
        return m_callers;
    }
    auto name() const -> const std::string &
    {
        return m_name;
    }

private:
    auto settingsPath() const -> std::string
    {
        return m_folder + "/" + m_name + ".toml";
    }
    std::string m_program;
    std::string m_folder;
    std::string m_name;
    std::uint16_t m_callers;
    std::uint16_t m_ready;
    pid_t m_process = -1;
};

constexpr auto hostName = "ficu95.example";

/// Sends a request on \p connection and reads the whole answer; nothing if none or only a part of one comes.
inline auto exchange(channel &connection, const std::string &method, const std::string &target,
                     const std::map<std::string, std::string> &fields, const std::string &body)
    -> std::optional<message>
{
    auto text = method + " " + target + " HTTP/1.1\r\nHost: " + hostName + "\r\n";
    for (const auto &[name, value] : fields) {
        text += name + ": " + value + "\r\n";
    }
    if (!body.empty()) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    if (!connection.write(text + "\r\n" + body)) {
        return std::nullopt;
    }
    return readMessage(connection);
}

/// The same on a new channel.
inline auto call(std::uint16_t port, const std::string &method, const std::string &target,
                 const std::map<std::string, std::string> &fields, const std::string &body = {})
    -> std::optional<message>
{
    const auto connection = channel::connect(port);
    if (!connection) {
        return std::nullopt;
    }
    connection->setReadTimeout(8'000);
    return exchange(*connection, method, target, fields, body);
}

inline auto attemptId(int number) -> std::string
{
    char text[32];
    std::snprintf(text, sizeof text, "9c41d07b%08x", number);
    return text;
}

inline auto route(const std::string &prefix, const std::string &kind, const std::string &service, int attempts,
                  bool anonymous, bool prompt, int timeoutMs) -> json::object
{
    return json::object{ { "name", "route" + prefix },     { "host", hostName },
                         { "path_prefix", prefix },        { "route_kind", kind },
                         { "service", service },           { "timeout_ms", timeoutMs },
                         { "slo_ms", prompt ? 400 : 150 }, { "itl_target_ms", 200 },
                         { "max_attempts", attempts },     { "priority", 1 },
                         { "anonymous", anonymous },       { "sticky", prompt },
                         { "resumable", prompt } };
}

/// A small manifest: prompts of three tenants at the engines of loom-pool, orders at order-desk without a key.
inline auto manifest(int version) -> json::object
{
    const auto tenant = [](const std::string &name) {
        return json::object{ { "name", name }, { "api_keys", json::array{ "key-of-" + name } } };
    };
    return json::object{
        { "version", version },
        { "routes",
          json::array{ route("/drafts/", "streaming", "loom-pool", 2, false, true, 4'000),
                       route("/orders/", "non_idempotent", "order-desk", 1, true, false, 1'500),
                       route("/lookups/", "idempotent", "order-desk", 2, true, false, 1'500) } },
        { "services",
          json::array{
              json::object{ { "name", "loom-pool" },
                            { "max_conns", 370 },
                            { "backend", json::object{ { "slots", 64 }, { "kv_capacity", 304'154 } } } },
              json::object{ { "name", "order-desk" }, { "max_conns", 110 }, { "health_path", "/healthz" } } } },
        { "limits",
          json::object{ { "max_header_bytes", 16'384 },
                        { "max_body_bytes", 4'194'304 },
                        { "header_timeout_ms", 5'000 },
                        { "idle_timeout_ms", 10'000 },
                        { "tokens_per_s", 400'000 } } },
        { "tenants", json::array{ tenant("alpha"), tenant("beta"), tenant("gamma") } },
    };
}

/// A temporary folder that is removed at the end.
class work_folder
{
public:
    work_folder()
    {
        auto name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        m_path = ::mkdtemp(name.data());
    }
    ~work_folder()
    {
        auto ignored = std::error_code();
        if (std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(m_path, ignored);
        }
    }
    auto path() const -> const std::string &
    {
        return m_path;
    }

private:
    std::string m_path;
};

} // namespace review
