#include <policy/detail/read_endpoint.hpp>

#include <arpa/inet.h>

namespace filberthub::detail {

endpoint read_endpoint(json_reader& reader, const std::string& field)
{
    const std::string text = reader.string(field);
    const std::string expected = json(text).dump() +
                                 " is not of the form IP:PORT with an IPv4 "
                                 "address and a port from 1 to 65535";
    endpoint result;
    try {
        result = endpoint_from_string(text);
    } catch (const error&) {
        reader.fail(field, expected);
    }
    in_addr parsed = {};
    if (result.port == 0 ||
        inet_pton(AF_INET, result.address.c_str(), &parsed) != 1)
        reader.fail(field, expected);
    return result;
}

} // namespace filberthub::detail
