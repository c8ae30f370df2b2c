#include "marjoramloom/router/admission.h"

namespace marjoramloom {

auto authenticate(const std::shared_ptr<const router_view> &view, const http_exchange &exchange, last_reason &why)
    -> const client_account *
{
    const auto *account = view->findAccountByKey(exchange.bearerToken());
    if (!account) {
        why.fail(failure_kind::unauthorized, "authenticate", exchange.peer(), "no client account has this key");
    }
    return account;
}

auto admit(std::shared_ptr<const router_view> view, const http_exchange &exchange, const std::string &serviceName,
           service_kind kind, last_reason &why) -> std::optional<admitted_request>
{
    auto admitted = admitted_request();
    admitted.account = authenticate(view, exchange, why);
    if (!admitted.account) {
        return std::nullopt;
    }
    admitted.target = view->findService(serviceName);
    if (!admitted.target || admitted.target->kind != kind) {
        return why.fail(failure_kind::notFound, "find service", exchange.peer(),
                        "there is no " + std::string(nameOf(kind)) + " service '" + serviceName + "'");
    }
    admitted.treatment = view->findProfile(admitted.target->profile);
    if (!admitted.treatment) {
        return why.fail(failure_kind::notFound, "find profile", exchange.peer(),
                        "service '" + serviceName + "' names no known profile");
    }
    admitted.view = std::move(view);
    return admitted;
}

} // namespace marjoramloom
