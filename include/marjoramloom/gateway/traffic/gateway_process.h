#pragma once

#include "marjoramloom/core/last_reason.h"
#include "marjoramloom/router/settings.h"

#include <memory>

namespace marjoramloom {

/// A router process that reads its routes, keys and backend servers from the platform. All work runs on one thread.
class gateway_process
{
public:
    /// Precondition: \p config has the settings of a gateway.
    explicit gateway_process(settings config);
    ~gateway_process();
    gateway_process(const gateway_process &) = delete;
    auto operator=(const gateway_process &) -> gateway_process & = delete;

    /// Opens the listening sockets. Returns false, with the reason in \p why, if one cannot be opened. Call once,
    /// before run().
    auto start(last_reason &why) -> bool;

    /// Serves until SIGTERM or SIGINT, and until the running requests end or the grace period is over.
    auto run() -> void;

private:
    struct components;
    std::unique_ptr<components> m_components;
};

} // namespace marjoramloom
