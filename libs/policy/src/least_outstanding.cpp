#include <policy/route_policy.h>

#include <algorithm>

namespace pollen {

std::optional<server_handle> leastOutstanding(const std::vector<server_handle>& servers, const server_table& table,
    const std::vector<server_handle>& excluded, time_point now, random_source& random)
{
    std::optional<server_handle> best;
    uint32_t ties = 0;
    for (const server_handle server : servers) {
        const server_row& row = table.row(server);
        if (!row.isAvailable(now))
            continue;
        if (std::find(excluded.begin(), excluded.end(), server) != excluded.end())
            continue;
        if (best && row.outstanding() > table.row(*best).outstanding())
            continue;
        if (!best || row.outstanding() < table.row(*best).outstanding()) {
            best = server;
            ties = 1;
            continue;
        }
        // Each of n equal servers is kept with probability 1/n.
        ++ties;
        if (std::uniform_int_distribution<uint32_t>(1, ties)(random) == 1)
            best = server;
    }
    return best;
}

} // namespace pollen
