// A server answers one request with an event that does not end, in chunks of one byte. The daemon searches all of the
// event again for each byte, and serves nobody else in the meantime.

#include "caller_channel.h"
#include "deployment.h"
#include "endless_server.h"
#include "order_server.h"

#include <cstdio>
#include <map>

namespace pollen {

namespace {

constexpr size_t callers = 16;
constexpr size_t soundServers = 3;
constexpr size_t draftsAtOnce = 16;
constexpr int draftDeadlineMilliseconds = 12000;
constexpr std::chrono::milliseconds leastWork(10);
constexpr std::chrono::milliseconds mostWork(30);
constexpr duration timeBeforeTheFault = std::chrono::seconds(4);
constexpr duration timeAfterTheFault = std::chrono::seconds(20);
constexpr duration callerPause = std::chrono::milliseconds(20);
constexpr int64_t routeTimeoutMilliseconds = 600;
// How long after the route's time-out an answer counts.
constexpr int64_t answerSlackMilliseconds = 500;
constexpr int callerDeadlineMilliseconds = 3000;
// With fewer requests beyond the time-out nothing is judged.
constexpr size_t leastJudged = 8;
// A hundredth of a daemon's link of 1000 Mbit/s.
constexpr size_t bytesPerMillisecond = 1250;

const char* const configurationText = R"({"version":1,"routes":[
{"name":"tender-draft","host":"desk.example","path-prefix":"/draft/","kind":"streaming","timeout-ms":12000,
"goal-ms":3000,"priority":1,"service":"drafting-model","max-attempts":3,"public":true,"resumable":true,
"gap-goal-ms":1200},
{"name":"order-place","host":"desk.example","path-prefix":"/order/","kind":"non_idempotent","timeout-ms":600,
"goal-ms":100,"priority":2,"service":"order-desk","max-attempts":1,"public":true}],
"services":[{"name":"drafting-model","health-path":"/health","max-conns":360},
{"name":"order-desk","health-path":"/health","max-conns":96}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[]})";

http_request makeRequest(const char* method, const std::string& target, const std::string& id, int deadline)
{
    return { method, target,
        { { "Host", "desk.example" }, { "Pollenroute-Request-Id", id },
            { "Pollenroute-Deadline-Ms", std::to_string(deadline) } },
        std::string(method) == "POST" ? "comb" : "" };
}

class endless_event_case {
public:
    explicit endless_event_case(const case_arguments& arguments)
        : m_record(arguments.recordFile)
        , m_deployment(m_loop, arguments, m_record, { { "front-nbi-a-1", "nbi-a", "127.0.0.1" } })
        , m_endless(m_loop, m_record, "drafting-1", "6\r\ndata: \r\n",
              arguments.hasTrouble ? "1\r\nx\r\n1\r\n\n\r\n" : "", bytesPerMillisecond)
    {
        constexpr unsigned slotsOfAnEngine = 64;
        m_deployment.writeConfiguration(configurationText);
        m_deployment.writeServer("drafting-1", "drafting-model", m_endless.address(), "nbi-a", slotsOfAnEngine);
        for (size_t i = 0; i < soundServers; ++i) {
            m_servers.push_back(std::make_unique<order_server>(
                m_loop, m_record, "order-" + std::to_string(i + 1), leastWork, mostWork, m_runs));
            m_deployment.writeServer(m_servers.back()->id(), "order-desk", m_servers.back()->address(), "nbi-a");
        }
    }

    case_result run()
    {
        m_deployment.start();
        for (size_t i = 0; i < callers; ++i) {
            m_channels.push_back(std::make_unique<caller_channel>(m_loop, m_deployment.callersAddress(0)));
            m_waits.push_back(std::make_unique<timer>(m_loop, [this, i] { sendOrder(i); }));
            m_deadlines.push_back(std::make_unique<timer>(m_loop, [this, i] { leave(i); }));
            m_current.emplace_back();
            sendOrder(i);
        }
        m_deployment.runFor(timeBeforeTheFault);
        std::vector<std::unique_ptr<caller_channel>> drafts;
        for (size_t i = 0; i < draftsAtOnce; ++i) {
            drafts.push_back(std::make_unique<caller_channel>(m_loop, m_deployment.callersAddress(0)));
            sendDraft(*drafts.back(), "draft-" + std::to_string(i + 1));
        }
        m_deployment.runFor(timeAfterTheFault);
        const bool isBroken = m_unanswered >= leastJudged && m_late * 2 > m_unanswered;
        m_record.write(std::to_string(m_answered) + " orders answered; " + std::to_string(m_unanswered)
            + " were unanswered at timeout-ms, and " + std::to_string(m_late) + " of these "
            + std::to_string(answerSlackMilliseconds) + " ms later (CONFIG allows half)");
        std::printf("%zu orders unanswered at timeout-ms, %zu of them 500 ms later\n", m_unanswered, m_late);
        return isBroken ? RuleBroken : RuleHeld;
    }

private:
    struct open_order {
        std::string id;
        int64_t sentAt = 0;
    };

    void sendDraft(caller_channel& channel, const std::string& id)
    {
        m_record.write("a caller sends " + id);
        channel.send(
            makeRequest("GET", "/draft/1", id, draftDeadlineMilliseconds), [this, id](const told_answer& answer) {
                m_record.write(id + " ends: status " + std::to_string(answer.status)
                    + (answer.complete ? ", complete" : ", the channel was closed"));
            });
    }

    void sendOrder(size_t caller)
    {
        const std::string id = "order-" + std::to_string(caller) + "-" + std::to_string(++m_sent);
        m_current[caller] = { id, wallMilliseconds() };
        m_deadlines[caller]->startOnce(std::chrono::milliseconds(callerDeadlineMilliseconds));
        m_channels[caller]->send(
            makeRequest("POST", "/order/1", id, callerDeadlineMilliseconds), [this, caller](const told_answer& answer) {
                const std::string end = answer.complete ? "answered " + std::to_string(answer.status) : "closed";
                finishOrder(caller, end);
            });
    }

    // The caller's deadline has passed.
    void leave(size_t caller)
    {
        m_channels[caller]->close();
        finishOrder(caller, "given up, with no answer");
    }

    void finishOrder(size_t caller, const std::string& end)
    {
        const open_order& order = m_current[caller];
        const int64_t lasted = wallMilliseconds() - order.sentAt;
        m_answered += lasted <= routeTimeoutMilliseconds ? 1 : 0;
        m_unanswered += lasted > routeTimeoutMilliseconds ? 1 : 0;
        m_late += lasted > routeTimeoutMilliseconds + answerSlackMilliseconds ? 1 : 0;
        m_record.write(order.id + " " + end + " after " + std::to_string(lasted) + " ms");
        m_deadlines[caller]->stop();
        m_waits[caller]->startOnce(callerPause);
    }

    event_loop m_loop;
    recorder m_record;
    deployment m_deployment;
    endless_server m_endless;
    std::map<std::string, std::string> m_runs;
    std::vector<std::unique_ptr<order_server>> m_servers;
    std::vector<std::unique_ptr<caller_channel>> m_channels;
    std::vector<std::unique_ptr<timer>> m_waits;
    std::vector<std::unique_ptr<timer>> m_deadlines;
    std::vector<open_order> m_current;
    size_t m_sent = 0;
    size_t m_answered = 0;
    size_t m_unanswered = 0;
    size_t m_late = 0;
};

} // namespace

} // namespace pollen

int main(int count, char** values)
{
    try {
        return pollen::endless_event_case(pollen::parseCaseArguments(count, values)).run();
    } catch (const std::exception& problem) {
        std::fprintf(stderr, "%s\n", problem.what());
        return pollen::CouldNotRun;
    }
}
