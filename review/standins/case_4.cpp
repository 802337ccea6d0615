// A server breaks an answer off within its first event and ends the body as usual. The caller is told that the stream
// is complete.

#include "caller_channel.h"
#include "deployment.h"

#include <cstdio>
#include <cstdlib>
#include <stdexcept>

namespace pollen {

namespace {

constexpr size_t callers = 8;
constexpr size_t summaries = 600;
constexpr int eventsOfASummary = 9;
constexpr duration callerPause = std::chrono::milliseconds(20);
constexpr duration limitOfTheCase = std::chrono::seconds(60);
// One of two servers breaks off one in 50 of its answers, as `garble` does with share 0.5 and x 0.02.
constexpr size_t answersPerBreak = 50;

const char* const configurationText = R"({"version":1,"routes":[
{"name":"contract-summary","host":"desk.example","path-prefix":"/summary/","kind":"streaming","timeout-ms":6000,
"goal-ms":3000,"priority":0,"service":"drafting-model","max-attempts":3,"public":true,"resumable":true,
"gap-goal-ms":1200}],
"services":[{"name":"drafting-model","health-path":"/health","max-conns":360}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[]})";

std::string eventText(int id) { return "id: " + std::to_string(id) + "\ndata: word " + std::to_string(id) + "\n\n"; }

class broken_stream_case {
public:
    explicit broken_stream_case(const case_arguments& arguments)
        : m_hasTrouble(arguments.hasTrouble)
        , m_record(arguments.recordFile)
        , m_deployment(m_loop, arguments, m_record, { { "front-nbi-a-1", "nbi-a", "127.0.0.1" } })
        , m_sound(m_loop, { "127.0.0.1", 0 }, {},
              [this](const std::shared_ptr<server_request>& request) { run(*request, "drafting-1", false); })
        , m_faulty(m_loop, { "127.0.0.1", 0 }, {}, [this](const std::shared_ptr<server_request>& request) {
            const bool breaksOff = ++m_answersOfFaulty % answersPerBreak == 0;
            run(*request, "drafting-2", m_hasTrouble && breaksOff);
        })
    {
        constexpr unsigned slotsOfAnEngine = 64;
        m_deployment.writeConfiguration(configurationText);
        m_deployment.writeServer("drafting-1", "drafting-model", m_sound.address(), "nbi-a", slotsOfAnEngine);
        m_deployment.writeServer("drafting-2", "drafting-model", m_faulty.address(), "nbi-a", slotsOfAnEngine);
    }

    case_result run()
    {
        m_deployment.start();
        for (size_t i = 0; i < callers; ++i) {
            m_channels.push_back(std::make_unique<caller_channel>(m_loop, m_deployment.callersAddress(0)));
            m_waits.push_back(std::make_unique<timer>(m_loop, [this, i] { send(i); }));
            send(i);
        }
        if (!m_loop.runUntil([this] { return m_ended >= summaries; }, limitOfTheCase))
            throw std::runtime_error("the requests do not end in time");
        m_record.write(std::to_string(m_whole) + " streams whole, " + std::to_string(m_brokenOff)
            + " broken off within an event by a server; " + std::to_string(m_falselyComplete)
            + " ended as complete before their last event");
        std::printf("%zu of %zu streams ended as complete before their last event\n", m_falselyComplete, m_ended);
        return m_falselyComplete > 0 ? RuleBroken : RuleHeld;
    }

private:
    void send(size_t caller)
    {
        if (m_sent >= summaries)
            return;
        const std::string id = "summary-" + std::to_string(++m_sent);
        m_channels[caller]->send(
            { "GET", "/summary/1",
                { { "Host", "desk.example" }, { "Pollenroute-Request-Id", id }, { "Pollenroute-Deadline-Ms", "6000" } },
                "" },
            [this, caller, id](const told_answer& answer) {
                judge(id, answer);
                m_waits[caller]->startOnce(callerPause);
            });
    }

    void judge(const std::string& id, const told_answer& answer)
    {
        ++m_ended;
        const bool isSuccess = answer.status == 200 && answer.complete;
        const bool hasLast = answer.body.ends_with(eventText(eventsOfASummary));
        m_whole += isSuccess && hasLast ? 1 : 0;
        if (!isSuccess || hasLast)
            return;
        ++m_falselyComplete;
        m_record.write(id + " answered 200, the body ends as complete with its terminating chunk, after "
            + std::to_string(answer.body.size()) + " bytes: " + nlohmann::json(answer.body).dump());
    }

    void run(server_request& request, const std::string& server, bool breaksOff)
    {
        const std::string id(findHeader(request.request().headers, "Pollenroute-Request-Id"));
        const std::string last(findHeader(request.request().headers, "Last-Event-Id"));
        const int first = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
        m_record.write("server " + server + " runs " + id
            + (breaksOff ? " and breaks off within event " + std::to_string(first) : ""));
        request.startStream(200,
            { { "Content-Type", "text/event-stream" }, { "Pollenroute-Request-Id", id },
                { "Pollenroute-Response-Seal", "seal-" + id } });
        if (breaksOff) {
            ++m_brokenOff;
            constexpr size_t bytesSent = 14;
            request.sendPart(eventText(first).substr(0, bytesSent));
        }
        for (int event = first; event <= eventsOfASummary && !breaksOff; ++event)
            request.sendPart(eventText(event));
        request.endStream();
    }

    bool m_hasTrouble;
    event_loop m_loop;
    recorder m_record;
    deployment m_deployment;
    http_server m_sound;
    http_server m_faulty;
    std::vector<std::unique_ptr<caller_channel>> m_channels;
    std::vector<std::unique_ptr<timer>> m_waits;
    size_t m_answersOfFaulty = 0;
    size_t m_sent = 0;
    size_t m_ended = 0;
    size_t m_whole = 0;
    size_t m_brokenOff = 0;
    size_t m_falselyComplete = 0;
};

} // namespace

} // namespace pollen

int main(int count, char** values)
{
    try {
        return pollen::broken_stream_case(pollen::parseCaseArguments(count, values)).run();
    } catch (const std::exception& problem) {
        std::fprintf(stderr, "%s\n", problem.what());
        return pollen::CouldNotRun;
    }
}
