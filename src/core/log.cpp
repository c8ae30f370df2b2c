#include "marjoramloom/core/log.h"

#include "marjoramloom/core/log_sink.h"

#include <cstdio>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <unistd.h>

namespace marjoramloom {

namespace {

auto processLogger() -> const log4cxx::LoggerPtr &
{
    static const auto logger = log4cxx::Logger::getLogger("marjoramloom");
    return logger;
}

auto processSink() -> log_sink &
{
    static auto sink = log_sink(STDOUT_FILENO, log_sink_limits());
    return sink;
}

// log4cxx's macros expect this name in scope.
namespace helpers = log4cxx::helpers;

/// A log4cxx appender that formats events and writes them to processSink().
class sink_appender : public log4cxx::AppenderSkeleton
{
public:
    BEGIN_LOG4CXX_CAST_MAP()
    LOG4CXX_CAST_ENTRY(log4cxx::Appender)
    LOG4CXX_CAST_ENTRY(log4cxx::spi::OptionHandler)
    END_LOG4CXX_CAST_MAP()

    /// The appender is never created by its class name, so it shares the base's class object.
    [[nodiscard]] auto getClass() const -> const helpers::Class & override
    {
        return log4cxx::AppenderSkeleton::getStaticClass();
    }

    auto append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool) -> void override
    {
        auto line = log4cxx::LogString();
        getLayout()->format(line, event, pool);
        const auto isUrgent = event->getLevel()->isGreaterOrEqual(log4cxx::Level::getWarn());
        processSink().write(line, isUrgent, log_sink::clock::now());
    }

    auto close() -> void override {}

    [[nodiscard]] auto requiresLayout() const -> bool override
    {
        return true;
    }
};

auto toLevel(log_level level) -> log4cxx::LevelPtr
{
    switch (level) {
    case log_level::debug:
        return log4cxx::Level::getDebug();
    case log_level::info:
        return log4cxx::Level::getInfo();
    case log_level::warning:
        return log4cxx::Level::getWarn();
    case log_level::error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

auto needsQuotes(std::string_view value) -> bool
{
    return value.empty() || value.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

auto quoted(std::string_view value) -> std::string
{
    auto text = std::string("\"");
    for (const auto letter : value) {
        if (letter == '"' || letter == '\\') {
            text += '\\';
        }
        text += letter == '\n' || letter == '\r' ? ' ' : letter;
    }
    return text + '"';
}

} // namespace

auto configureLog(log_level level) -> void
{
    auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("time=%d{yyyy-MM-ddTHH:mm:ss.SSS} level=%p %m"));
    auto appender = std::make_shared<sink_appender>();
    appender->setLayout(layout);
    log4cxx::BasicConfigurator::configure(appender);
    processLogger()->setLevel(toLevel(level));
}

auto flushLog() -> void
{
    processSink().flush(log_sink::clock::now());
}

auto droppedLogLines() -> std::uint64_t
{
    return processSink().dropped();
}

log_line::log_line(log_level level, std::string_view event)
    : m_level(level)
    , m_enabled(processLogger()->isEnabledFor(toLevel(level)))
{
    if (m_enabled) {
        m_text = "event=" + std::string(event);
    }
}

log_line::~log_line()
{
    if (m_enabled) {
        processLogger()->log(toLevel(m_level), m_text, LOG4CXX_LOCATION);
    }
}

auto log_line::with(std::string_view key, std::string_view value) -> log_line &
{
    if (!m_enabled) {
        return *this;
    }
    return needsQuotes(value) ? withRaw(key, quoted(value)) : withRaw(key, value);
}

auto log_line::with(std::string_view key, double value) -> log_line &
{
    if (!m_enabled) {
        return *this;
    }
    auto text = std::array<char, 32>{};
    std::snprintf(text.data(), text.size(), "%.6g", value);
    return withRaw(key, text.data());
}

auto log_line::withRaw(std::string_view key, std::string_view text) -> log_line &
{
    if (m_enabled) {
        m_text.append(" ").append(key).append("=").append(text);
    }
    return *this;
}

} // namespace marjoramloom
