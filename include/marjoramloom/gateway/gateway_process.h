#pragma once

#include "marjoramloom/core/last_reason.h"
#include "marjoramloom/router/settings.h"

#include <memory>

namespace marjoramloom {

/// A router that takes its routes, keys and backend servers from the platform. One thread does all of its work.
class gateway_process
{
public:
    /// Precondition: \p config has the settings of a gateway.
    explicit gateway_process(settings config);
    ~gateway_process();
    gateway_process(const gateway_process &) = delete;
    auto operator=(const gateway_process &) -> gateway_process & = delete;

    /// Opens the listeners; false where an address cannot be had. Call once, before run().
    auto start(last_reason &why) -> bool;

    /// Serves until the process is told to stop and has finished its requests.
    auto run() -> void;

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace marjoramloom
