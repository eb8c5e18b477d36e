// Appends the events of a history to a file, one JSON object per line.
//
//     history_file history("/tmp/history.jsonl");
//     history.append(event);

#ifndef FILBERTHUB_TOOLS_COMMON_HISTORY_FILE_HPP
#define FILBERTHUB_TOOLS_COMMON_HISTORY_FILE_HPP

#include <filberthub/history/event.hpp>

#include <fstream>

namespace filberthub::tools {

// Discards all events if the path is empty. Each line is flushed when it is
// appended, so that no event is lost when the process is killed.
class history_file
{
public:
    // Opens the file. Throws `error` of kind `bad_settings` if that fails.
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

    // Returns whether events are written. Lets a program skip the work of
    // building an event.
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
