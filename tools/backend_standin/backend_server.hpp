// HTTP interface of one backend server of the stand-in.
//
//     history_file history("");
//     backend_server server(options, history);

#ifndef FILBERTHUB_TOOLS_BACKEND_STANDIN_BACKEND_SERVER_HPP
#define FILBERTHUB_TOOLS_BACKEND_STANDIN_BACKEND_SERVER_HPP

#include "tools/common/history_file.hpp"
#include "tools/common/precise_timer.hpp"
#include "tools/model/server_model.hpp"

#include <filberthub/net/http_listener.hpp>

#include <unordered_map>
#include <vector>

namespace filberthub::tools {

// Listens from its construction on. While the server is frozen it reads
// requests but answers only the calls below `/_control`.
class backend_server
{
public:
    // `history` has to outlive the server. Throws `error` if the server cannot
    // listen.
    backend_server(const server_options& options, history_file& history);

private:
    using exchange_pointer = std::shared_ptr<http_exchange>;

    void handle(const exchange_pointer& exchange);
    void handle_admin(const exchange_pointer& exchange);
    void handle_request(const exchange_pointer& exchange);
    void handle_grant(const exchange_pointer& exchange);
    void handle_control(const exchange_pointer& exchange);
    json counters() const;

    void advance();
    void finish(const request_event& event);
    http_response answer_to(const http_request& request) const;
    void record_execution(
        const http_request& request, const request_event& event);

    server_model model_;
    history_file& history_;
    std::uint64_t last_request_number_ = 0;
    // Requests by number until they are answered. A started request stays here
    // when its caller closes the connection.
    std::unordered_map<std::uint64_t, exchange_pointer> unanswered_;
    // Calls below `/_filberthub` that arrived while the server was frozen.
    std::vector<exchange_pointer> deferred_;
    precise_timer timer_;
    http_listener listener_;
};

} // namespace filberthub::tools

#endif
