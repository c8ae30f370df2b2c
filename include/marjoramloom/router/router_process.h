#pragma once

#include "marjoramloom/router/settings.h"

#include <memory>

namespace marjoramloom {

/// One router: listeners, links to peers and platform, and the decisions between them.
class router_process
{
public:
    explicit router_process(settings config);
    ~router_process();
    router_process(const router_process &) = delete;
    auto operator=(const router_process &) -> router_process & = delete;

    /// Opens the listeners. False with the reason where an address cannot be had. Call once, before run().
    auto start(last_reason &why) -> bool;

    /// Serves until SIGTERM or SIGINT, then finishes every waiting and running request. Blocks.
    auto run() -> void;

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace marjoramloom
