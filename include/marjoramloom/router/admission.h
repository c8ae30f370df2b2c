#pragma once

#include "marjoramloom/core/last_reason.h"
#include "marjoramloom/router/http_exchange.h"
#include "marjoramloom/router/router_view.h"

#include <memory>
#include <optional>
#include <string>

namespace marjoramloom {

/// Client account, service and profile of a request that passed authentication.
///
/// The pointers point into \p view, which this struct keeps alive.
struct admitted_request
{
    std::shared_ptr<const router_view> view;
    const client_account *account = nullptr;
    const service *target = nullptr;
    const profile *treatment = nullptr;
};

/// Finds the client account that owns the request's bearer key. Returns null, with \p why set to unauthorized, if there
/// is none. Thread safe.
auto authenticate(const std::shared_ptr<const router_view> &view, const http_exchange &exchange, last_reason &why)
    -> const client_account *;

/// Authenticates the request and looks up the service \p serviceName of \p kind and its profile. Returns nothing, with
/// the reason in \p why, if one of these steps fails. Thread safe.
auto admit(std::shared_ptr<const router_view> view, const http_exchange &exchange, const std::string &serviceName,
           service_kind kind, last_reason &why) -> std::optional<admitted_request>;

} // namespace marjoramloom
