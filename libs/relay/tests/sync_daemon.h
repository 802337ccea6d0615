#pragma once

#include "fake_fleet_store.h"
#include "fake_network.h"

#include <relay/fleet_sync.h>

namespace pollen {

class recording_listener final : public topic_listener {
public:
    bool onKey(const std::string& key, const std::optional<std::string>& value) override
    {
        if (value && values.contains(key) && values[key] == *value)
            return false;
        if (value)
            values[key] = *value;
        else
            values.erase(key);
        ++changes;
        return true;
    }
    void onSynced(time_point) override { }

    std::map<std::string, std::string> values;
    int changes = 0;
};

// A store with one topic.
class single_topic_store final : public fake_fleet_store {
public:
    single_topic_store() { shared = { &topic }; }

    recording_listener listener;
    shared_topic topic { listener };
};

struct sync_daemon {
    sync_daemon(fake_network& network, const clock& time, const std::string& id, const char* domain, uint16_t port,
        const fleet_sync::limits& limits, uint64_t incarnation = 1)
        : listed { instance_id(id), failure_domain_name(domain), { "127.0.0.1", port } }
        , random(port + incarnation * 100000)
        , rollouts(table, store, listed.id, incarnation, { 0.15, 30 }, log)
        , crashTable(listed.id)
        , crashes(crashTable, store, time, log)
        , exchange(network, listed.address)
        , sharing({ listed.id, listed.failureDomain }, limits, store, servers, rollouts, crashTable, crashes,
              rateLimits, exchange, random, time, log)
    {
    }

    null_logger log;
    listed_peer listed;
    random_source random;
    single_topic_store store;
    rollout_table table;
    server_table servers;
    rollout_system rollouts;
    crash_table crashTable;
    crash_publisher crashes;
    server_rate_limits rateLimits { random };
    fake_exchange exchange;
    fleet_sync sharing;
    bool storeReachable = true;
};

} // namespace pollen
