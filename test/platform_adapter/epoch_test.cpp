#include "platform/store_api.hpp"

#include <filberthub/base/error.hpp>

#include <gtest/gtest.h>

namespace filberthub::platform_api {
namespace {

http_headers headers_with(const std::string& epoch)
{
    http_headers headers;
    headers.set("Store-Era", epoch);
    return headers;
}

// Guards against an epoch that is guessed from a malformed header.
TEST(decode_epoch_test, ReadsNumbersOnly)
{
    EXPECT_EQ(decode_epoch({}), std::nullopt);
    EXPECT_EQ(decode_epoch(headers_with("7")), store_epoch(7));
    for (const char* text :
        {"", "-1", "1x", "0x2", "1.5", "99999999999999999999", "262144"})
        EXPECT_THROW(decode_epoch(headers_with(text)), error) << text;
}

// Guards against revisions that repeat after a restore: each later epoch is
// above all revisions of the one before.
TEST(decode_list_test, OrdersVersionsByEpochFirst)
{
    const auto version_in = [](std::uint64_t epoch, const std::string& number) {
        return decode_list(object_kind::server,
            R"({"items":[{"Metadata":{"Name":"a","Revision":)" + number +
                R"(},"Spec":{}}],"HasMore":false,"StoreRevision":9})",
            store_epoch(epoch))
            .objects.at(0)
            .version;
    };
    EXPECT_EQ(version_in(0, "5"), object_version(10));
    EXPECT_LT(version_in(0, "900"), version_in(1, "2"));
    EXPECT_LT(version_in(1, "1099511627775"), version_in(2, "0"));
    EXPECT_LT(version_in(max_epoch, "7"), version_in(max_epoch, "8"));
    // It would reach into the epoch.
    EXPECT_THROW(version_in(1, "1099511627776"), error);
}

TEST(epoch_tracker_test, OnlyRises)
{
    epoch_tracker epochs;
    EXPECT_EQ(epochs.observe(store_epoch(4)), epoch_change::none);
    EXPECT_EQ(epochs.observe(std::nullopt), epoch_change::none);
    EXPECT_EQ(epochs.observe(store_epoch(3)), epoch_change::outdated);
    EXPECT_EQ(epochs.current(), store_epoch(4));
    EXPECT_EQ(epochs.observe(store_epoch(6)), epoch_change::risen);
    EXPECT_TRUE(epochs.is_current(combined_revision(store_epoch(6), 0)));
    EXPECT_FALSE(epochs.is_current(combined_revision(store_epoch(4), 9)));
}

// Guards against publications that instances ignore, because they have seen
// later terms in the lost seconds.
TEST(published_version_test, IncreasesWithEpochTermAndCount)
{
    const std::uint64_t first = next_term(900, store_epoch(1));
    EXPECT_EQ(published_version(3, 2).value(), (3ULL << 32U) + 2);
    EXPECT_LT(published_version(16'383, 9), published_version(first, 0));
    EXPECT_LT(published_version(first, 9), published_version(first + 1, 0));
    EXPECT_LT(published_version(first + 1, 9),
        published_version(next_term(first + 1, store_epoch(2)), 0));
}

} // namespace
} // namespace filberthub::platform_api
