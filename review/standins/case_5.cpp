// The open channels to the store go silent, new ones work. A daemon that has given up a silent call makes the next one
// on another channel that was open, so that it learns of a configuration too late.

#include "caller_channel.h"
#include "deployment.h"
#include "silent_proxy.h"

#include <cstdio>
#include <map>
#include <stdexcept>

namespace pollen {

namespace {

constexpr duration timeBeforeTheRollout = std::chrono::seconds(2);
constexpr duration timeOfTheRollout = std::chrono::milliseconds(8500);
constexpr duration timeBeforeTheFault = std::chrono::milliseconds(3500);
const char* const rolloutOrder = R"({"service":"drafting-model","target":"v2","duration-s":8})";
constexpr int64_t configurationDelayMilliseconds = 1000;
constexpr duration timeAfterTheConfiguration = std::chrono::seconds(9);
constexpr unsigned slotsOfAServer = 6;
constexpr duration callerPause = std::chrono::milliseconds(50);
// Bounds of the site.
constexpr int64_t stableWindowMilliseconds = 3000;
constexpr int64_t configurationLimitMilliseconds = 2000;

const char* const configurationText = R"({"version":VERSION,"routes":[
{"name":"stock-check","host":"desk.example","path-prefix":"/stock/","kind":"idempotent","timeout-ms":600,
"goal-ms":100,"priority":2,"service":"SERVICE","max-attempts":2,"public":true}],
"services":[{"name":"order-desk","health-path":"/health","max-conns":96},
{"name":"order-desk-new","health-path":"/health","max-conns":96},
{"name":"drafting-model","health-path":"/health","max-conns":360}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[]})";

std::string configuration(const std::string& version, const std::string& service)
{
    std::string text = configurationText;
    const auto replace
        = [&](const std::string& what, const std::string& with) { text.replace(text.find(what), what.size(), with); };
    replace("VERSION", version);
    replace("SERVICE", service);
    return text;
}

class silent_store_case {
public:
    explicit silent_store_case(const case_arguments& arguments)
        : m_hasTrouble(arguments.hasTrouble)
        , m_record(arguments.recordFile)
        , m_deployment(m_loop, arguments, m_record,
              { { "front-nbi-a-1", "nbi-a", "127.0.0.1" }, { "front-nbi-b-1", "nbi-b", "127.0.0.2" },
                  { "front-nbi-c-1", "nbi-c", "127.0.0.3" }, { "front-nbi-d-1", "nbi-d", "127.0.0.4" } })
        , m_proxy(m_loop, m_deployment.store().address())
    {
        m_deployment.setStoreAddress(m_proxy.address());
        m_deployment.writeConfiguration(configuration("1", "order-desk"));
        for (const char* zone : { "nbi-a", "nbi-b", "nbi-c", "nbi-d" }) {
            addServer("order-desk", zone, "v1");
            addServer("order-desk-new", zone, "v1");
            addServer("drafting-model", zone, "v1");
            addServer("drafting-model", zone, "v2");
        }
    }

    case_result run()
    {
        m_deployment.start();
        for (size_t i = 0; i < m_deployment.size(); ++i) {
            m_channels.push_back(std::make_unique<caller_channel>(m_loop, m_deployment.callersAddress(i)));
            m_waits.push_back(std::make_unique<timer>(m_loop, [this, i] { send(i); }));
            m_waits.back()->startOnce(callerPause);
        }
        m_deployment.runFor(timeBeforeTheRollout);
        m_deployment.store().put("keyed.op", "rollout/drafting-model", rolloutOrder);
        m_record.write("the operator orders a roll-out of drafting-model to v2, to be done in 8 s");
        m_deployment.runFor(timeOfTheRollout);
        endRollout();
        m_deployment.runFor(timeBeforeTheFault);
        m_faultAt = wallMilliseconds();
        if (m_hasTrouble)
            m_record.write("the " + std::to_string(m_proxy.silenceOpenChannels())
                + " channels to the store that are open go silent; new ones work");
        m_deployment.runFor(std::chrono::milliseconds(configurationDelayMilliseconds));
        m_deployment.writeConfiguration(configuration("2", "order-desk-new"));
        m_confirmedAt = wallMilliseconds();
        m_record.write("the store confirms configuration 2: stock-check goes to order-desk-new");
        m_deployment.runFor(timeAfterTheConfiguration);
        for (const auto& [daemon, late] : m_late)
            m_record.write(m_deployment.machineAt(daemon).id + ": " + std::to_string(late.count)
                + " requests sent later than config-apply-ms after the confirmation, and in touch, ran at the old "
                  "service; the last one "
                + std::to_string(late.last) + " ms after the confirmation");
        std::printf("%zu of %zu daemons ran requests by the old configuration\n", m_late.size(), m_deployment.size());
        return m_late.empty() ? RuleHeld : RuleBroken;
    }

private:
    struct late_requests {
        size_t count = 0;
        // Milliseconds after the confirmation.
        int64_t last = 0;
    };

    // The platform stops the old servers at once when the roll-out is complete.
    void endRollout()
    {
        const auto status = m_deployment.store().newest("keyed.status", "rollout/drafting-model");
        if (!status || status->find("complete") == std::string::npos)
            throw std::runtime_error("the roll-out is not complete");
        m_record.write("status/rollout/drafting-model is complete; the servers of v1 stop");
        for (const char* zone : { "nbi-a", "nbi-b", "nbi-c", "nbi-d" })
            m_deployment.removeServer(std::string("drafting-model-v1-") + zone);
    }

    void addServer(const char* service, const char* zone, const char* version)
    {
        m_servers.push_back(std::make_unique<http_server>(m_loop, endpoint { "127.0.0.1", 0 }, http_server_limits {},
            [this, service](const std::shared_ptr<server_request>& request) { run(*request, service); }));
        const std::string id = std::string(service) + "-" + version + "-" + zone;
        m_deployment.writeServer(id, service, m_servers.back()->address(), zone, slotsOfAServer, version);
    }

    void send(size_t caller)
    {
        const std::string id = "stock-" + std::to_string(caller) + "-" + std::to_string(++m_sent);
        m_sentAt[id] = { caller, wallMilliseconds() };
        m_record.write(id + " sent to " + m_deployment.machineAt(caller).id);
        m_channels[caller]->send(
            { "GET", "/stock/7",
                { { "Host", "desk.example" }, { "Pollenroute-Request-Id", id }, { "Pollenroute-Deadline-Ms", "600" } },
                "" },
            [this, caller, id](const told_answer& answer) {
                m_record.write(id + " answered " + std::to_string(answer.status));
                m_waits[caller]->startOnce(callerPause);
            });
    }

    void run(server_request& request, const char* service)
    {
        const std::string id(findHeader(request.request().headers, "Pollenroute-Request-Id"));
        m_record.write(std::string(service) + " runs " + id);
        request.reply(
            200, { { "Pollenroute-Request-Id", id }, { "Pollenroute-Response-Seal", "seal-" + id } }, "done-" + id);
        const auto [caller, sentAt] = m_sentAt[id];
        const bool isOld = service == std::string("order-desk");
        const bool isInTouch = !m_hasTrouble || sentAt > m_faultAt + stableWindowMilliseconds;
        if (!isOld || !isInTouch || m_confirmedAt == 0 || sentAt <= m_confirmedAt + configurationLimitMilliseconds)
            return;
        ++m_late[caller].count;
        m_late[caller].last = sentAt - m_confirmedAt;
    }

    bool m_hasTrouble;
    event_loop m_loop;
    recorder m_record;
    deployment m_deployment;
    silent_proxy m_proxy;
    std::vector<std::unique_ptr<http_server>> m_servers;
    std::vector<std::unique_ptr<caller_channel>> m_channels;
    std::vector<std::unique_ptr<timer>> m_waits;
    size_t m_sent = 0;
    // Daemon and time of each request.
    std::map<std::string, std::pair<size_t, int64_t>> m_sentAt;
    int64_t m_faultAt = 0;
    int64_t m_confirmedAt = 0;
    std::map<size_t, late_requests> m_late;
};

} // namespace

} // namespace pollen

int main(int count, char** values)
{
    try {
        return pollen::silent_store_case(pollen::parseCaseArguments(count, values)).run();
    } catch (const std::exception& problem) {
        std::fprintf(stderr, "%s\n", problem.what());
        return pollen::CouldNotRun;
    }
}
