#include "order_server.h"

#include <utility>

namespace pollen {

order_server::order_server(event_loop& loop, recorder& record, std::string id, std::chrono::milliseconds leastWork,
    std::chrono::milliseconds mostWork, std::map<std::string, std::string>& runs)
    : m_loop(loop)
    , m_record(record)
    , m_id(std::move(id))
    , m_workMilliseconds(leastWork.count(), mostWork.count())
    , m_runs(runs)
    , m_server(loop, { "127.0.0.1", 0 }, {}, [this](const std::shared_ptr<server_request>& request) { run(request); })
{
}

void order_server::run(const std::shared_ptr<server_request>& request)
{
    const std::string id(findHeader(request->request().headers, "Pollenroute-Request-Id"));
    m_runs[id] = m_id;
    m_record.write("server " + m_id + " runs " + id);
    const auto done = std::make_shared<std::unique_ptr<timer>>();
    *done = std::make_unique<timer>(m_loop, [this, request, id, done] {
        request->reply(
            200, { { "Pollenroute-Request-Id", id }, { "Pollenroute-Response-Seal", "seal-" + id } }, "done-" + id);
        m_loop.post([done] { done->reset(); });
    });
    (*done)->startOnce(std::chrono::milliseconds(m_workMilliseconds(m_random)));
}

} // namespace pollen
