// Appends events as JSON lines to a file.
//
//     history_file history("/tmp/history.jsonl");
//     history.append(event);

#ifndef FILBERTHUB_TOOLS_COMMON_HISTORY_FILE_HPP
#define FILBERTHUB_TOOLS_COMMON_HISTORY_FILE_HPP

#include <filberthub/history/event.hpp>

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

    void append(const history_event& event)
    {
        if (enabled())
            stream_ << encode_line(event) << std::endl;
    }

private:
    std::ofstream stream_;
};

} // namespace filberthub::tools

#endif
