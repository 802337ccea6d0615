#include <standins/instance_list_standin.h>

namespace pollen {

instance_list_standin::instance_list_standin(event_loop& loop, const endpoint& listenAddress, nlohmann::json instances)
    : standin(loop, listenAddress)
    , m_instances(std::move(instances))
{
}

void instance_list_standin::set(const std::string& name, int64_t value)
{
    if (name == "outage")
        m_outage = value;
    ++m_edition;
    const size_t dot = name.find('.');
    if (dot == std::string::npos)
        return;
    const std::string id = name.substr(dot + 1);
    for (auto& instance : m_instances) {
        if (instance["id"] != id)
            continue;
        if (name.starts_with("leaving."))
            instance["state"] = value != 0 ? "leaving" : "live";
        if (name.starts_with("gone."))
            instance["gone"] = value != 0;
    }
}

void instance_list_standin::handle(const std::shared_ptr<server_request>& request)
{
    if (m_outage != 0) {
        replyJson(*request, 503, { { "error", "unavailable" } });
        return;
    }
    const std::string tag = "\"" + std::to_string(m_edition) + "\"";
    if (findHeader(request->request().headers, "If-None-Match") == tag) {
        request->reply(304, { { "ETag", tag } }, "");
        return;
    }
    auto list = nlohmann::json::array();
    for (const auto& instance : m_instances) {
        if (!instance.value("gone", false))
            list.push_back(instance);
    }
    replyJson(*request, 200, { { "instances", list } }, { { "ETag", tag } });
}

} // namespace pollen
