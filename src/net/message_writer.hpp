// Writes one message at a time to a socket. Internal to the library.
//
//     writer_.start(encode_head(request), body);
//     // On `bytesWritten`:
//     writer_.write_more();

#ifndef FILBERTHUB_NET_MESSAGE_WRITER_HPP
#define FILBERTHUB_NET_MESSAGE_WRITER_HPP

#include <QtNetwork/QTcpSocket>

#include <memory>
#include <string>

namespace filberthub::detail {

// A body of up to this size is written at once with its head. Above the largest
// upload of the deployments (360 kB), which is thus sent in one step.
inline constexpr std::size_t max_whole_body_bytes = std::size_t{512} * 1024;
inline constexpr std::size_t piece_bytes = std::size_t{256} * 1024;

// Guarantees that at most two pieces of a large body are in the buffer of the
// socket. The body is shared with its owner and not copied as a whole.
class message_writer
{
public:
    explicit message_writer(QTcpSocket& socket) : socket_(socket) {}

    // Call only if the message before is done.
    void start(std::string head, std::shared_ptr<const std::string> body)
    {
        if (!body || body->size() <= max_whole_body_bytes) {
            if (body)
                head += *body;
            write(head);
            return;
        }
        write(head);
        body_ = std::move(body);
        written_ = 0;
        write_more();
    }

    void write_more()
    {
        while (body_ &&
               socket_.bytesToWrite() < static_cast<qint64>(piece_bytes)) {
            const std::size_t size =
                std::min(piece_bytes, body_->size() - written_);
            const char* piece = body_->data() + written_;
            written_ += size;
            const bool last = written_ == body_->size();
            const std::shared_ptr<const std::string> kept = body_;
            if (last)
                body_.reset();
            socket_.write(piece, static_cast<qint64>(size));
        }
    }

    // Gives up what was not passed to the socket. The message is incomplete.
    void clear()
    {
        body_.reset();
    }

    // Whether the message was passed to the socket as a whole.
    bool done() const
    {
        return !body_;
    }

    // Returns the size of the body that is being written, or 0.
    std::size_t held() const
    {
        return body_ ? body_->size() : 0;
    }

private:
    void write(const std::string& bytes)
    {
        socket_.write(bytes.data(), static_cast<qint64>(bytes.size()));
    }

    QTcpSocket& socket_;
    std::shared_ptr<const std::string> body_;
    std::size_t written_ = 0;
};

} // namespace filberthub::detail

#endif
