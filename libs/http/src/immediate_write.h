#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>

namespace pollen {

// Writes what is waiting without another turn of the loop, which would first ask the operating system whether it may.
// What the socket does not take stays where it is, and errors show when the loop writes.
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
