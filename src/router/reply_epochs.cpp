// How `reply_epochs` follows the epoch of the store.

#include "router/store_session.hpp"

#include <filberthub/telemetry/log.hpp>

#include <utility>

namespace filberthub {

bool reply_epochs::accept(const http_response& response)
{
    std::optional<store_epoch> seen;
    try {
        seen = platform_api::decode_epoch(response.headers);
    } catch (const error& failure) {
        if (std::exchange(logged_header_, failure.what()) != failure.what()) {
            log_event(log_level::error, "epoch of the store cannot be read",
                {{log_key::error, failure.what()}});
        }
    }
    const store_epoch earlier = current();
    switch (known_.observe(seen)) {
    case epoch_change::none:
        if (current() != earlier)
            log_event(log_level::info, "epoch of the store known",
                {{"epoch", current().value()}});
        metric_.set(static_cast<double>(current().value()));
        return true;
    case epoch_change::outdated:
        log_event(log_level::error,
            "reply of an earlier epoch of the store ignored",
            {{"epoch", seen->value()}, {"expected", earlier.value()}});
        return false;
    case epoch_change::risen:
        break;
    }
    metric_.set(static_cast<double>(current().value()));
    log_event(log_level::warn, "store was restored from an older copy",
        {{"epoch", seen->value()}, {"earlier_epoch", earlier.value()}});
    if (on_risen_)
        on_risen_(*seen);
    return true;
}

} // namespace filberthub
