#include "membership/member_lease_impl.hpp"

namespace filberthub {

template class basic_member_lease<lease_rules>;

} // namespace filberthub
