#include "membership/witness_ledger_impl.hpp"

namespace filberthub {

template class basic_witness_ledger<lease_rules>;

} // namespace filberthub
