#pragma once

#include <base/json_logger.h>
#include <config/daemon_settings.h>
#include <memory>

namespace pollen {

// One entry instance: everything it is made of, wired together on one loop.
class daemon {
public:
    // Binds all addresses and starts to read the platform; throws system_error or settings_error.
    daemon(const daemon_settings& settings, logger& log, const clock& time);
    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    // Serves until a graceful shutdown has ended. Returns false when requests in flight had to be cut because the
    // shutdown took longer than its limit.
    bool run();

private:
    struct parts;

    void tick();
    void beginShutdown();
    void continueShutdown();

    std::unique_ptr<parts> m_parts;
};

} // namespace pollen
