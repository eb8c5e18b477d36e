// Parts of the polls and replies of the change feed, as JSON. Internal to
// `router`. The functions that decode throw an exception if a field is missing
// or has another type.

#ifndef FILBERTHUB_ROUTER_FEED_MESSAGES_HPP
#define FILBERTHUB_ROUTER_FEED_MESSAGES_HPP

#include "router/fleet_feed.hpp"

#include <filberthub/base/json_reader.hpp>

namespace filberthub {

// A changed object, and an upper bound of the age of the change.
struct received_change
{
    versioned_object object;
    milliseconds age{0};
};

json encode_counts(const load_counts& counts);
load_counts decode_counts(const json& document);

// Decodes the rows of changed objects of a reply.
std::vector<received_change> decode_changes(const json& rows);

json encode_complete(const complete_versions& versions);
// Decodes the field "complete" of a poll or a reply.
complete_versions decode_complete(const json& document);

// Decodes the field "standbys" of a reply, in the order in which they take
// over.
std::vector<instance_id> decode_standbys(const json& document);

// Value of `Content-Encoding` of a compressed reply, and of `Accept-Encoding`
// of a poll whose sender reads one.
inline constexpr const char* reply_encoding = "x-filberthub-zlib";

std::string compress_reply(const std::string& text);
// Returns the text of a reply, which may be compressed.
std::string reply_text(const http_response& response);

// Adds shares of quotas behind the text of a reply, which many instances share
// and which may be compressed.
void append_quota(
    http_response& response, const std::optional<quota_reply>& quota);
// Removes the shares from a reply and returns them, if it has any.
std::optional<quota_reply> take_quota(http_response& response);

// Gives the polls of instances that have followed other coordinators one of a
// few versions instead of their own, none of which is higher. Each different
// version costs the coordinator an encoded reply, and after a time without a
// coordinator nearly each instance has another one.
void share_versions(std::vector<complete_versions*> versions);

} // namespace filberthub

#endif
