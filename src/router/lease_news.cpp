#include "router/lease_news.hpp"

namespace filberthub {
namespace {

constexpr milliseconds question_interval{300};
constexpr milliseconds question_timeout{300};

} // namespace

json encode(const lease_news& news)
{
    return {{"lease", news.record.text()}, {"revision", news.store_revision}};
}

lease_news decode_lease_news(const json& document)
{
    return {lease_record::from_text(document.at("lease").get<std::string>()),
        document.at("revision").get<std::uint64_t>()};
}

std::optional<lease_news> read_lease_news(const std::string& text)
{
    try {
        return decode_lease_news(
            parse_json(text, error_kind::bad_peer_message));
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

lease_inquiry::lease_inquiry(std::function<void(const lease_news&)> on_news)
    : on_news_(std::move(on_news))
{}

void lease_inquiry::ask(const std::vector<endpoint>& peers, time_point now)
{
    if (open_ || peers.empty() || now < next_)
        return;
    open_ = true;
    next_ = now + question_interval;
    http_client_options options;
    options.max_connections = 1;
    options.connect_timeout = question_timeout;
    client_ =
        std::make_unique<http_client>(peers[asked_++ % peers.size()], options);
    http_request request;
    request.method = "GET";
    request.target = lease_path;
    client_->send(std::move(request), question_timeout,
        [this](const http_result& result) {
            open_ = false;
            if (!result.response || result.response->status != 200)
                return;
            if (const auto news = read_lease_news(result.response->body))
                on_news_(*news);
        });
}

} // namespace filberthub
