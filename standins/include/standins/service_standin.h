#pragma once

#include <map>
#include <standins/standin.h>

namespace pollen {

// A plain service that remembers every call it ran, so that double runs are seen. Settings: delay_ms, lose_answers
// (coming POST calls that run and whose connection is closed without an answer), refuse (coming calls answered 503 with
// X-Run: not_run), cross (coming answers that carry the id of another request).
class service_standin final : public standin {
public:
    service_standin(event_loop& loop, const endpoint& listenAddress, std::string id);

    void set(const std::string& name, int64_t value) override;

protected:
    void handle(const std::shared_ptr<server_request>& request) override;
    nlohmann::json records() const override { return m_calls; }

private:
    void answer(server_request& request, size_t number);

    std::string m_id;
    nlohmann::json m_calls = nlohmann::json::array();
    std::map<std::string, int64_t> m_settings;
};

} // namespace pollen
