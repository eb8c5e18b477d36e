#include <filberthub/routing/attempt_age.hpp>

namespace filberthub {
namespace {

// The deadline of first attempts may change with the configuration of callers.
constexpr milliseconds period{10'000};
// Requests with the longest deadline that make it the one of first attempts: at
// least this many, and this part of all.
constexpr unsigned min_count = 5;
constexpr unsigned min_part = 4;
// A smaller difference may come from the rounding of callers and does not tell
// a retry. A retry comes after a rejection and its Retry-After.
constexpr milliseconds min_age{10};

} // namespace

milliseconds attempt_age::on_request(milliseconds deadline, time_point now)
{
    if (now >= period_start_ + period) {
        windows_[1] =
            now >= period_start_ + period * 2 ? window{} : windows_[0];
        windows_[0] = {};
        period_start_ = now;
    }
    window& present = windows_[0];
    ++present.total;
    if (deadline > present.longest) {
        present.longest = deadline;
        present.count = 0;
    }
    if (deadline == present.longest)
        ++present.count;
    for (const window& known : windows_) {
        if (known.count < min_count || known.count * min_part < known.total)
            continue;
        const milliseconds age = known.longest - deadline;
        return age >= min_age ? age : milliseconds(0);
    }
    return milliseconds(0);
}

} // namespace filberthub
