#pragma once

#include "marjoramloom/core/last_reason.h"
#include "marjoramloom/router/http_exchange.h"
#include "marjoramloom/router/router_view.h"

#include <memory>
#include <optional>
#include <string>

namespace marjoramloom {

/// A request whose account, service and profile are known. Holds the view that its pointers point into.
struct admitted_request
{
    std::shared_ptr<const router_view> view;
    const client_account *account = nullptr;
    const service *target = nullptr;
    const profile *treatment = nullptr;
};

/// Checks the caller's key. Nothing (why: unauthorized) where no account has it. Thread safe.
auto authenticate(const std::shared_ptr<const router_view> &view, const http_exchange &exchange, last_reason &why)
    -> const client_account *;

/// Checks the caller's key and finds the service \p serviceName of \p kind with its profile. Thread safe.
auto admit(std::shared_ptr<const router_view> view, const http_exchange &exchange, const std::string &serviceName,
           service_kind kind, last_reason &why) -> std::optional<admitted_request>;

} // namespace marjoramloom
