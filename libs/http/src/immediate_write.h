#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>

namespace pollen {

// Writes the output buffer now, which saves a loop iteration that would first wait for the socket to be writable.
// Bytes that the socket does not accept stay in the buffer, and errors are reported when the event loop writes.
inline void writeImmediately(bufferevent* connection)
{
    evbuffer* output = bufferevent_get_output(connection);
    const evutil_socket_t socket = bufferevent_getfd(connection);
    if (socket < 0 || evbuffer_get_length(output) == 0)
        return;
    evbuffer_unfreeze(output, 1);
    evbuffer_write(output, socket);
    evbuffer_freeze(output, 1);
}

} // namespace pollen
