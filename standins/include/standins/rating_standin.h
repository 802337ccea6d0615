#pragma once

#include <standins/standin.h>

namespace pollen {

// The service that rates answers. Settings: delay_ms.
class rating_standin final : public standin {
public:
    rating_standin(event_loop& loop, const endpoint& listenAddress);

    void set(const std::string& name, int64_t value) override;

protected:
    void handle(const std::shared_ptr<server_request>& request) override;
    nlohmann::json records() const override { return m_ratings; }

private:
    nlohmann::json m_ratings = nlohmann::json::array();
    int64_t m_delayMilliseconds = 0;
};

} // namespace pollen
