#include <fleet/server_statements.h>

#include <utility>

namespace pollen {

namespace {

// Bounds the memory; the ids of servers that have gone do not come back.
constexpr size_t maximumStatements = 4096;

} // namespace

bool server_statements::recordLeaving(const instance_id& server, int64_t processStart)
{
    return !std::exchange(at(server, processStart).leaving, true);
}

bool server_statements::recordNotBefore(const instance_id& server, int64_t processStart, time_point notBefore)
{
    statement& known = at(server, processStart);
    if (notBefore <= known.notBefore)
        return false;
    known.notBefore = notBefore;
    return true;
}

bool server_statements::isLeaving(const instance_id& server, int64_t processStart) const
{
    const statement* known = find(server, processStart);
    return known && known->leaving;
}

time_point server_statements::notBefore(const instance_id& server, int64_t processStart) const
{
    const statement* known = find(server, processStart);
    return known ? known->notBefore : time_point {};
}

const server_statements::statement* server_statements::find(const instance_id& server, int64_t processStart) const
{
    const auto found = m_statements.find(server);
    const bool isKnown = found != m_statements.end() && processStart <= found->second.processStart;
    return isKnown ? &found->second : nullptr;
}

server_statements::statement& server_statements::at(const instance_id& server, int64_t processStart)
{
    if (m_statements.size() >= maximumStatements && !m_statements.contains(server))
        m_statements.clear();
    statement& known = m_statements[server];
    if (processStart > known.processStart)
        known = { processStart, false, {} };
    return known;
}

} // namespace pollen
