#pragma once

#include <event2/keyvalq_struct.h>
#include <http/http_message.h>

namespace pollen {

// Copies evhttp's header list in wire order.
inline http_headers copyHeaders(const evkeyvalq& list)
{
    http_headers headers;
    for (const evkeyval* item = list.tqh_first; item; item = item->next.tqe_next)
        headers.emplace_back(item->key, item->value);
    return headers;
}

} // namespace pollen
