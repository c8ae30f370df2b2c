#pragma once

#include "marjoramloom/router/settings.h"

#include <memory>

namespace marjoramloom {

/// One router: its listeners, its connections to other routers and the platform, and the components that admit,
/// dispatch and run requests.
class router_process
{
public:
    explicit router_process(settings config);
    ~router_process();
    router_process(const router_process &) = delete;
    auto operator=(const router_process &) -> router_process & = delete;

    /// Opens the listeners. Returns false and sets \p why if one cannot listen on its address. Call once, before run().
    auto start(last_reason &why) -> bool;

    /// Serves until SIGTERM or SIGINT, then finishes the waiting and running requests, at most for
    /// settings::drainLimit. Blocks.
    auto run() -> void;

private:
    struct components;
    std::unique_ptr<components> m_components;
};

} // namespace marjoramloom
