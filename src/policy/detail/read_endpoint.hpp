// Reads an address of the form IP:PORT.
//
//     endpoint callers = detail::read_endpoint(listen, "callers");

#ifndef FILBERTHUB_POLICY_DETAIL_READ_ENDPOINT_HPP
#define FILBERTHUB_POLICY_DETAIL_READ_ENDPOINT_HPP

#include <filberthub/base/json_reader.hpp>
#include <filberthub/base/types.hpp>

namespace filberthub::detail {

// Returns the address in `field`. Fails the reader if it is not valid. Only
// IPv4 is accepted, because `endpoint` does not support the brackets of an IPv6
// address.
endpoint read_endpoint(json_reader& reader, const std::string& field);

} // namespace filberthub::detail

#endif
