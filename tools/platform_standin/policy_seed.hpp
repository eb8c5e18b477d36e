// Writes an initial policy to the store of the platform stand-in.
//
//     seed_policy(store, "examples/golvkarta/sections");

#ifndef FILBERTHUB_TOOLS_PLATFORM_STANDIN_POLICY_SEED_HPP
#define FILBERTHUB_TOOLS_PLATFORM_STANDIN_POLICY_SEED_HPP

#include "tools/model/object_store.hpp"

#include <string>

namespace filberthub::tools {

// Proposes each file NAME.json of `folder` as the section NAME. Throws `error`
// of kind `bad_settings` if a file cannot be read, and of kind `bad_policy` if
// a section is not accepted.
void seed_policy(object_store& store, const std::string& folder);

} // namespace filberthub::tools

#endif
