#include <filberthub/admission/retry_budget.hpp>

#include <algorithm>

namespace filberthub {

retry_budget::retry_budget(std::uint32_t percent, std::uint32_t burst)
    : percent_(percent), capacity_(units_per_token * burst), units_(capacity_)
{}

void retry_budget::on_request()
{
    units_ = std::min(capacity_, units_ + percent_);
}

bool retry_budget::available() const
{
    return units_ >= units_per_token;
}

bool retry_budget::try_take()
{
    if (!available())
        return false;
    units_ -= units_per_token;
    return true;
}

} // namespace filberthub
