// JSON encoding of ownership tables and of the difference between two tables.
//
//     json body = encode(table);
//     ownership_table same = decode_table(body);
//     json delta = encode_delta(old_table, new_table);
//     ownership_table changed = apply_delta(old_table, delta);
//
// Servers, tokens and isolated keys are plain JSON. The assignments are bit
// fields in Base64: with 131,072 groups and 1,334 servers, plain numbers would
// exceed the limit of 1 MB for a value in the store.

#ifndef FILBERTHUB_OWNERSHIP_TABLE_CODEC_HPP
#define FILBERTHUB_OWNERSHIP_TABLE_CODEC_HPP

#include <filberthub/ownership/ownership_table.hpp>

#include <nlohmann/json.hpp>

namespace filberthub {

using json = nlohmann::json;

// Returns the whole table. Throws `error` of kind `internal` for version 0,
// which has no owners.
json encode(const ownership_table& table);

// Returns the encoded table. Throws `error` of kind `internal` with the path,
// the value and what was expected.
ownership_table decode_table(const json& object);

// Returns the difference from `from` to `to`. After the loss of a third of the
// servers it is about as large as the table, which may be sent instead. Throws
// `error` of kind `internal` unless both tables have the same service and the
// same group count.
json encode_delta(const ownership_table& from, const ownership_table& to);

// Returns `from` with the difference applied. Throws `error` of kind
// `revision_conflict` if the delta was made from another table than `from`, and
// of kind `internal` if the delta is malformed.
ownership_table apply_delta(const ownership_table& from, const json& delta);

} // namespace filberthub

#endif
