#include "membership/lapse_evidence_impl.hpp"

namespace filberthub {

template class basic_lapse_evidence<lease_rules>;

} // namespace filberthub
