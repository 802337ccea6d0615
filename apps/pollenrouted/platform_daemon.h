#pragma once

#include <adapter/platform_settings.h>
#include <base/logger.h>
#include <memory>

namespace pollen {

// One entry instance on the users' platform: the relay, fed by the platform's store.
class platform_daemon {
public:
    // Binds all addresses and starts to read the store; throws system_error.
    platform_daemon(const node_settings& settings, const std::string& settingsFile, logger& log, const clock& time);
    ~platform_daemon();
    platform_daemon(const platform_daemon&) = delete;
    platform_daemon& operator=(const platform_daemon&) = delete;

    // Serves until a graceful shutdown has ended. Returns false when requests in flight had to be cut because the
    // shutdown took longer than the platform allows.
    bool run();

private:
    struct parts;

    void tick();
    void reload();
    void beginShutdown();
    void continueShutdown();

    std::unique_ptr<parts> m_parts;
};

} // namespace pollen
