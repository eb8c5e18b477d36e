// Helpers for request targets, JSON answers, numbers and files that the test
// programs share.
//
//     const request_target target(exchange->request().target);
//     exchange->respond(json_response(200, {{"state", "warm"}}));

#ifndef FILBERTHUB_TOOLS_COMMON_HTTP_TOOLS_HPP
#define FILBERTHUB_TOOLS_COMMON_HTTP_TOOLS_HPP

#include <filberthub/base/json_reader.hpp>
#include <filberthub/base/types.hpp>
#include <filberthub/http/message.hpp>

#include <QtCore/QByteArray>
#include <QtCore/QString>
#include <QtCore/QUrlQuery>

#include <charconv>
#include <fstream>
#include <sstream>

namespace filberthub::tools {

inline time_point steady_now()
{
    return std::chrono::steady_clock::now();
}

// A request target, split into its percent-decoded path and its query.
struct request_target
{
    explicit request_target(const std::string& target)
    {
        const std::size_t query_mark = target.find('?');
        const std::string raw = target.substr(0, query_mark);
        path = QByteArray::fromPercentEncoding(QByteArray::fromStdString(raw))
                   .toStdString();
        if (query_mark != std::string::npos)
            query.setQuery(
                QString::fromStdString(target.substr(query_mark + 1)));
    }

    // Returns the decoded value of a query field, or an empty string if the
    // field is missing.
    std::string value(const char* field) const
    {
        return query
            .queryItemValue(QString::fromLatin1(field), QUrl::FullyDecoded)
            .toStdString();
    }

    std::string path;
    QUrlQuery query;
};

// Parses an unsigned 64-bit decimal number. Throws `error` of kind
// `bad_request`, with `name` in the message, if `text` is not one.
inline std::uint64_t parse_number(std::string_view name, std::string_view text)
{
    std::uint64_t value = 0;
    const auto parsed =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        throw error(error_kind::bad_request,
            std::string(name) + " is \"" + std::string(text) +
                "\", expected an unsigned 64-bit number");
    }
    return value;
}

// Returns an answer with a JSON body. Invalid UTF-8 in `body` is replaced.
inline http_response json_response(int status, const json& body)
{
    http_response response;
    response.status = status;
    response.headers.add("Content-Type", "application/json");
    response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return response;
}

// Returns an answer with the JSON body {"message": ...}.
inline http_response message_response(int status, std::string_view message)
{
    return json_response(status, json{{"message", message}});
}

// Returns the content of a file. Throws `error` of kind `bad_settings` if it
// cannot be read.
inline std::string read_file(const std::string& path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        throw error(
            error_kind::bad_settings, "cannot read the file \"" + path + "\"");
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

} // namespace filberthub::tools

#endif
