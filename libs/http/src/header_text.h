#pragma once

#include <event2/buffer.h>
#include <http/http_message.h>

namespace pollen {

// Appends "Name: value" lines. Skips values with a line break, which would allow header injection.
inline void addHeaderLines(evbuffer* output, const http_headers& headers)
{
    for (const auto& [name, value] : headers) {
        if (value.find_first_of("\r\n") != std::string::npos)
            continue;
        evbuffer_add(output, name.data(), name.size());
        evbuffer_add(output, ": ", 2);
        evbuffer_add(output, value.data(), value.size());
        evbuffer_add(output, "\r\n", 2);
    }
}

} // namespace pollen
