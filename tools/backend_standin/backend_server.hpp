// The HTTP side of one backend server of the stand-in.
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

// Listens from its construction on. A frozen server reads requests and answers
// none; only the calls below `/_control` are answered at any time.
class backend_server
{
public:
    // `history` has to outlive the server.
    backend_server(const server_options& options, history_file& history);

private:
    using exchange_pointer = std::shared_ptr<http_exchange>;

    void handle(const exchange_pointer& exchange);
    void handle_admin(const exchange_pointer& exchange);
    void handle_work(const exchange_pointer& exchange);
    void grant(const exchange_pointer& exchange);
    void control(const exchange_pointer& exchange);
    json counters() const;

    void advance();
    void finish(const work_event& event);
    http_response answer_to(const http_request& request) const;
    void record(const http_request& request, const work_event& event);

    server_model model_;
    history_file& history_;
    std::uint64_t last_number_ = 0;
    // Requests that are not answered, also those whose caller has gone.
    std::unordered_map<std::uint64_t, exchange_pointer> open_;
    // Calls below `/_filberthub` that arrived while the server is frozen.
    std::vector<exchange_pointer> held_;
    precise_timer timer_;
    http_listener listener_;
};

} // namespace filberthub::tools

#endif
