#include <filberthub/admission/gate_types.hpp>

#include <string>

namespace filberthub {

void check_gate_settings(unsigned slots, duration baseline)
{
    if (slots < 1 || slots > 1024) {
        throw error(error_kind::bad_settings, "number of slots is " +
                                                  std::to_string(slots) +
                                                  ", expected 1 to 1024");
    }
    if (baseline <= duration::zero()) {
        throw error(error_kind::bad_settings,
            "baseline is " + std::to_string(baseline.count()) +
                " ns, expected more than 0");
    }
}

} // namespace filberthub
