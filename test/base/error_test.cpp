#include <filberthub/base/error.hpp>

#include <gtest/gtest.h>

#include <set>

namespace filberthub {
namespace {

// A row at the wrong position would give callers the status of another kind.
TEST(AnswerTable, HasEachKindAtItsOwnNumber)
{
    std::set<std::string_view> names;
    for (std::size_t number = 0; number < error_kind_count; ++number) {
        const auto kind = static_cast<error_kind>(number);
        EXPECT_EQ(answer_for(kind).kind, kind);
        names.insert(answer_for(kind).name);
    }
    EXPECT_EQ(names.size(), error_kind_count);
}

// An error that can occur after the first byte was sent to a backend server
// must not be reported as "not run": a caller that repeats the request could
// have it executed twice.
TEST(AnswerTable, ReportsUnknownForErrorsAfterTheFirstByte)
{
    for (const error_kind kind : {error_kind::outcome_unknown,
             error_kind::bad_backend_answer, error_kind::cancelled,
             error_kind::internal, error_kind::bad_peer_message})
        EXPECT_EQ(answer_for(kind).result, outcome::unknown);
}

// A number that is not in the list must not index beyond the table.
TEST(ErrorKind, IsInternalForAnUnknownNumber)
{
    EXPECT_EQ(error_kind_from_number(200), error_kind::internal);
}

} // namespace
} // namespace filberthub
