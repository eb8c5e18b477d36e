// Appends events as JSON lines to a file.
//
//     history_file history("/tmp/history.jsonl");
//     history.append({{"who", "kartlas-1"}, {"what", "run"}});

#ifndef FILBERTHUB_TOOLS_COMMON_HISTORY_FILE_HPP
#define FILBERTHUB_TOOLS_COMMON_HISTORY_FILE_HPP

#include <filberthub/base/json_reader.hpp>

#include <fstream>

namespace filberthub::tools {

// Without a path it drops the events. Each line is written at once, so that a
// killed process loses none.
class history_file
{
public:
    explicit history_file(const std::string& path)
    {
        if (path.empty())
            return;
        stream_.open(path, std::ios::app);
        if (!stream_) {
            throw error(error_kind::bad_settings,
                "cannot write the file \"" + path + "\"");
        }
    }

    bool enabled() const
    {
        return stream_.is_open();
    }

    void append(const json& event)
    {
        if (!enabled())
            return;
        stream_ << event.dump(-1, ' ', false, json::error_handler_t::replace)
                << std::endl;
    }

private:
    std::ofstream stream_;
};

} // namespace filberthub::tools

#endif
