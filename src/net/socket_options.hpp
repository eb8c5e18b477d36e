// Options of TCP sockets that Qt does not offer. Internal to the library.

#ifndef FILBERTHUB_NET_SOCKET_OPTIONS_HPP
#define FILBERTHUB_NET_SOCKET_OPTIONS_HPP

#include <filberthub/base/types.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cstddef>

namespace filberthub::detail {

// Makes the end of the connection a reset. After an orderly close the kernel
// goes on to send what the peer has not acknowledged, which may arrive long
// after it was given up, once a broken link works again.
inline void reset_at_close(int socket)
{
    const linger no_linger{1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &no_linger, sizeof(no_linger));
}

// Drops what the peer has not acknowledged after `limit`.
inline void limit_delivery(int socket, milliseconds limit)
{
    reset_at_close(socket);
    const auto value = static_cast<unsigned>(limit.count());
    ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof(value));
}

// Bounds the bytes that the kernel receives ahead. Sockets that a listening
// socket accepts inherit the bound.
inline void limit_receive_buffer(int socket, std::size_t bytes)
{
    const int value = static_cast<int>(bytes);
    ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &value, sizeof(value));
}

// Returns the number of received bytes that were not read.
inline std::size_t bytes_in_kernel(int socket)
{
    int value = 0;
    return ::ioctl(socket, FIONREAD, &value) == 0 && value > 0
               ? static_cast<std::size_t>(value)
               : 0;
}

} // namespace filberthub::detail

#endif
