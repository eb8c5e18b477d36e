#include "membership/takeover_tracker_impl.hpp"

namespace filberthub {

template class basic_takeover_tracker<lease_rules>;

} // namespace filberthub
