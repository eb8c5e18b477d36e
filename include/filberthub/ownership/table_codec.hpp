// JSON form of ownership tables and of the changes between two of them.
//
//     json body = encode(table);
//     ownership_table same = decode_table(body);
//     json delta = encode_delta(old_table, new_table);
//     ownership_table changed = apply_delta(old_table, delta);
//
// Servers, tokens and isolated keys are plain JSON. The assignments are packed
// into bits, written as Base64: at 131,072 groups and 1,334 servers plain
// numbers would exceed the 1 MB that a value of the store may have.

#ifndef FILBERTHUB_OWNERSHIP_TABLE_CODEC_HPP
#define FILBERTHUB_OWNERSHIP_TABLE_CODEC_HPP

#include <filberthub/ownership/ownership_table.hpp>

#include <nlohmann/json.hpp>

namespace filberthub {

using json = nlohmann::json;

json encode(const ownership_table& table);

// Throws `error` of kind `internal` with the path, the value seen and what was
// expected.
ownership_table decode_table(const json& object);

// Returns what changed from `from` to `to`. After the loss of a third of the
// servers it is about as large as the table, which then may be sent instead.
// Both are tables of one service with
// the same group count; otherwise it throws `error` of kind `internal`.
json encode_delta(const ownership_table& from, const ownership_table& to);

// Returns the table after the change. Throws `error` of kind
// `revision_conflict` if `from` is not the state which the delta starts from,
// and of kind `internal` if the delta is malformed.
ownership_table apply_delta(const ownership_table& from, const json& delta);

} // namespace filberthub

#endif
