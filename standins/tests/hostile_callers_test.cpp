#include "daemon_process.h"
#include "relay_fixture.h"

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>

namespace pollen {

namespace {

// Limits in the settings of the daemons under test, and those of a daemon with its own interface by default.
constexpr size_t platformMemoryMegabytes = 88;
constexpr size_t ownMemoryMegabytes = 256;
constexpr size_t maximumDescriptors = 4100;
constexpr size_t fewDescriptors = 600;
constexpr size_t descriptorsForFiles = 200;
constexpr size_t legalBodyBytes = 1000000;
constexpr size_t largeAnswerBytes = 3500000;
// Time without progress of any caller after which the crowd stays as it is, and the longest wait for that.
constexpr duration quietTime = std::chrono::milliseconds(700);
constexpr duration crowdPatience = std::chrono::seconds(25);

std::string repeated(const std::string& unit, size_t count)
{
    std::string text;
    text.reserve(unit.size() * count);
    for (size_t i = 0; i < count; ++i)
        text += unit;
    return text;
}

std::string post(const std::string& framing)
{
    return "POST /r/x HTTP/1.1\r\nHost: h.example\r\nPollenroute-Request-Id: id\r\nPollenroute-Key: key\r\n" + framing
        + "\r\n\r\n";
}

std::string get(const std::string& target)
{
    return "GET " + target
        + " HTTP/1.1\r\nHost: h.example\r\nPollenroute-Request-Id: id\r\nPollenroute-Deadline-Ms: 2000\r\n"
          "Pollenroute-Key: key\r\n\r\n";
}

// Callers that all send the same bytes, never read and stay connected.
struct crowd_case {
    const char* name;
    size_t callers;
    std::string begin;
    // Follows, this many times.
    std::string unit;
    size_t units;
    // Sent at once by a caller before the next one has its turn.
    size_t pieceBytes = 256U << 10;
    // The callers connect to the readiness or the operators' address.
    bool toOperators = false;
    size_t descriptors = maximumDescriptors;
};

void PrintTo(const crowd_case& item, std::ostream* out) { *out << item.name; }

const std::string length = "Content-Length: " + std::to_string(legalBodyBytes);
const std::string chunked = "Transfer-Encoding: chunked";
const std::string tenBytes = "xxxxxxxxxx";
constexpr size_t shortOfEnd = legalBodyBytes / 10 - 1;

const std::vector<crowd_case> crowds {
    { "LargeChunksStopShort", 320, post(chunked) + "f4240\r\n", tenBytes, shortOfEnd },
    { "OneByteChunksStopShort", 100, post(chunked), "1\r\nx\r\n", 100000 },
    { "ManySmallChunksStopShort", 320, post(chunked), "64\r\n" + repeated(tenBytes, 10) + "\r\n", 9999 },
    { "AnnouncedOverTheLimit", 100, post("Content-Length: 1000000000"), tenBytes, 800000 },
    { "SentOverTheLimit", 100, post(chunked) + "40000000\r\n", tenBytes, 800000 },
    { "LengthStopsShort", 320, post(length), tenBytes, shortOfEnd },
    { "LengthStopsShortPieceByPiece", 320, post(length), tenBytes, shortOfEnd, 4000 },
    { "WholeBodies", 320, post(length), tenBytes, legalBodyBytes / 10 },
    { "UnfinishedHeads", 1500, "GET /r/x HTTP/1.1\r\nHost: h.example\r\n", "Name: " + repeated("y", 90) + "\r\n", 150 },
    { "ManyFieldsWithoutTheirBody", 800,
        "POST /r/x HTTP/1.1\r\nHost: h\r\n" + repeated("a:\r\n", 3900) + length + "\r\n\r\n", tenBytes, 1 },
    { "PipelinedRequests", 300, "", get("/r/x"), 2000 },
    { "PipelinedMetricsNobodyReads", 4, "", get("/metrics"), 20000, 64000, true },
    { "AnswersNobodyReads", 100, get("/r/large"), "", 0 },
    { "IdleConnections", 1000, "", "", 0, 1, false, fewDescriptors },
    { "IdleConnectionsOfOperators", 1000, "", "", 0, 1, true, fewDescriptors },
};

// Sends the bytes of a case over many connections, without reading.
class hostile_crowd {
public:
    hostile_crowd(const crowd_case& item, const endpoint& daemon)
        : m_case(item)
        , m_block(repeated(item.unit, item.unit.empty() ? 0 : 1 + (64U << 10) / item.unit.size()))
        , m_total(item.begin.size() + item.unit.size() * item.units)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(daemon.port);
        inet_pton(AF_INET, daemon.address.c_str(), &address.sin_addr);
        constexpr int smallReceiveBuffer = 4096;
        for (size_t i = 0; i < item.callers; ++i) {
            const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &smallReceiveBuffer, sizeof smallReceiveBuffer);
            const int connected = ::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address);
            EXPECT_TRUE(connected == 0 || errno == EINPROGRESS) << errno;
            m_sockets.push_back({ socket, POLLOUT, 0 });
            m_sent.push_back(0);
        }
    }
    ~hostile_crowd()
    {
        for (const pollfd& socket : m_sockets)
            ::close(socket.fd);
    }
    hostile_crowd(const hostile_crowd&) = delete;
    hostile_crowd& operator=(const hostile_crowd&) = delete;

    // Sends what the daemon takes now; returns whether any caller got further.
    bool step()
    {
        bool progress = false;
        ::poll(m_sockets.data(), m_sockets.size(), 0);
        for (size_t i = 0; i < m_sockets.size(); ++i) {
            if (m_sockets[i].revents == 0)
                continue;
            progress = true;
            const ssize_t sent = m_sent[i] < m_total ? sendPiece(m_sockets[i].fd, m_sent[i]) : 0;
            if (sent > 0)
                m_sent[i] += static_cast<size_t>(sent);
            const bool failed = sent < 0 && errno != EAGAIN;
            if (failed || m_sent[i] >= m_total || (m_sockets[i].revents & (POLLERR | POLLHUP)))
                m_sockets[i].events = 0;
            // poll() reports a failed connection again and again.
            if (failed || (m_sockets[i].revents & (POLLERR | POLLHUP)))
                ::close(std::exchange(m_sockets[i].fd, -1));
        }
        return progress;
    }

private:
    ssize_t sendPiece(int socket, size_t sent) const
    {
        const bool inBegin = sent < m_case.begin.size();
        const std::string& source = inBegin ? m_case.begin : m_block;
        const size_t offset = inBegin ? sent : (sent - m_case.begin.size()) % m_case.unit.size();
        const size_t bytes = std::min({ source.size() - offset, m_total - sent, m_case.pieceBytes });
        return ::send(socket, source.data() + offset, bytes, MSG_NOSIGNAL);
    }

    const crowd_case& m_case;
    std::string m_block;
    size_t m_total;
    std::vector<pollfd> m_sockets;
    std::vector<size_t> m_sent;
};

// The soft limit of descriptors for the processes that are started meanwhile.
class descriptor_limit {
public:
    explicit descriptor_limit(size_t limit)
    {
        getrlimit(RLIMIT_NOFILE, &m_former);
        const rlimit lowered { limit, m_former.rlim_max };
        setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~descriptor_limit() { setrlimit(RLIMIT_NOFILE, &m_former); }
    descriptor_limit(const descriptor_limit&) = delete;
    descriptor_limit& operator=(const descriptor_limit&) = delete;

private:
    rlimit m_former {};
};

enum class run_mode { Platform, OwnInterface };

class HostileCallersTest : public testing::TestWithParam<std::tuple<run_mode, crowd_case>> {
protected:
    HostileCallersTest()
        : m_directory(std::filesystem::temp_directory_path() / ("pollen-hostile-callers-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(m_directory);
        m_store.put("keyed.op", "config", configuration(1));
        m_store.put("keyed.servers", "d-1", serverEntry("desk", m_server.address()));
        const crowd_case& item = std::get<crowd_case>(GetParam());
        const std::string address = loopbackAddress(61);
        m_daemon = std::make_unique<daemon_process>("a1", "a", address, m_store.address(), m_directory.string());
        m_operators = m_daemon->readiness();
        std::vector<std::string> arguments;
        if (isOwn()) {
            const std::string file = m_directory.string() + "/own.toml";
            std::ofstream(file) << "fleet_file = \"" EXAMPLES "/single/fleet.toml\"\n[daemon]\nid = \"single-1\"\n"
                                << "failure_domain = \"local\"\nsession_secret = \"a-secret-for-the-tests\"\n[listen]\n"
                                << "callers = \"" << m_daemon->callers().text() << "\"\noperators = \""
                                << m_operators.text() << "\"\n";
            arguments = { "--config", file };
        } else {
            std::ofstream(m_daemon->settingsFile())
                << replaced(replaced(m_daemon->settings(m_store.address()), "memory-mb = 260",
                                "memory-mb = " + std::to_string(platformMemoryMegabytes)),
                       "max-fds = 4100", "max-fds = " + std::to_string(item.descriptors));
        }
        const descriptor_limit limit(item.descriptors);
        m_daemon->start(arguments);
    }
    void TearDown() override
    {
        m_daemon.reset();
        std::filesystem::remove_all(m_directory);
    }

    bool isOwn() const { return std::get<run_mode>(GetParam()) == run_mode::OwnInterface; }

    // Sends one ordinary request and, while it is refused, the next one; returns whether one was answered 200.
    bool isServed(duration timeout)
    {
        http_request message { "GET", "/v1/models", { { "Authorization", "Bearer try-me" } }, "" };
        if (!isOwn())
            message = { "GET", "/r/ordinary",
                { { "Host", "h.example" }, { "Pollenroute-Deadline-Ms", "2000" }, { "Pollenroute-Key", "key" } }, "" };
        const time_point end = m_time.now() + timeout;
        int status = 0;
        for (int turn = 0; status != 200 && m_time.now() < end; ++turn) {
            bool ended = false;
            http_request sent = message;
            sent.headers.emplace_back("Pollenroute-Request-Id", "ordinary-" + std::to_string(turn));
            m_client.fetch(m_daemon->callers(), sent, { std::chrono::seconds(3) },
                [&](const exchange_result&, const http_response& reply) {
                    ended = true;
                    status = reply.status;
                });
            m_loop.runUntil([&] { return ended; }, std::chrono::seconds(5));
            if (status != 200)
                runFor(std::chrono::milliseconds(100));
        }
        return status == 200;
    }

    void runFor(duration span)
    {
        m_loop.runUntil([] { return false; }, span);
    }

    // Runs the crowd until none of its callers gets any further and the process does not grow.
    void run(hostile_crowd& crowd)
    {
        const time_point end = m_time.now() + crowdPatience;
        time_point lastProgress = m_time.now();
        size_t peak = 0;
        while (m_time.now() < end && m_time.now() - lastProgress < quietTime) {
            const size_t formerPeak = std::exchange(peak, peakMemory());
            if (crowd.step() || peak > formerPeak)
                lastProgress = m_time.now();
            runFor(std::chrono::milliseconds(1));
        }
    }

    // Largest resident memory so far, in kB.
    size_t peakMemory() const
    {
        std::ifstream status("/proc/" + std::to_string(m_daemon->process()) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmHWM:"))
                return std::stoul(line.substr(6));
        }
        return SIZE_MAX;
    }

    size_t openDescriptors() const
    {
        const std::filesystem::directory_iterator files("/proc/" + std::to_string(m_daemon->process()) + "/fd");
        return static_cast<size_t>(std::distance(begin(files), end(files)));
    }

    event_loop m_loop;
    os_clock m_time;
    store_standin m_store { m_loop, { "127.0.0.1", 0 } };
    std::vector<std::shared_ptr<server_request>> m_held;
    backend_standin m_server { m_loop, { [this](const std::shared_ptr<server_request>& request) {
                                  if (request->request().target == "/r/held") {
                                      m_held.push_back(request);
                                      return;
                                  }
                                  const bool large = request->request().target == "/r/large";
                                  request->reply(
                                      200, answerHeaders(*request), large ? std::string(largeAnswerBytes, 'a') : "ok");
                              } } };
    http_client m_client { m_loop };
    std::filesystem::path m_directory;
    std::unique_ptr<daemon_process> m_daemon;
    endpoint m_operators;
};

} // namespace

// Guards against a process that grows beyond its memory, runs out of descriptors or stops serving because of callers
// that send much, stop short of the end, do not read, or only connect.
TEST_P(HostileCallersTest, TheProcessLivesWithinItsLimitsAndServes)
{
    ASSERT_TRUE(isServed(patience));
    const crowd_case& item = std::get<crowd_case>(GetParam());
    hostile_crowd crowd(item, item.toOperators ? m_operators : m_daemon->callers());
    run(crowd);
    EXPECT_LE(openDescriptors(), item.descriptors - descriptorsForFiles);
    EXPECT_TRUE(isServed(patience)) << "while the crowd is connected";
    ASSERT_TRUE(m_daemon->isRunning());
    EXPECT_LE(peakMemory() / 1024, isOwn() ? ownMemoryMegabytes : platformMemoryMegabytes);
}

INSTANTIATE_TEST_SUITE_P(Crowds, HostileCallersTest,
    testing::Combine(testing::Values(run_mode::Platform, run_mode::OwnInterface), testing::ValuesIn(crowds)),
    [](const auto& info) {
        const bool own = std::get<run_mode>(info.param) == run_mode::OwnInterface;
        return std::string(own ? "Own" : "Platform") + std::get<crowd_case>(info.param).name;
    });

class ReadinessUnderLoadTest : public HostileCallersTest { };

// Guards against a readiness check that is refused because requests of callers run on every connection: the balancer
// would take the daemon out.
TEST_P(ReadinessUnderLoadTest, CallersCannotUseTheConnectionsForReadiness)
{
    ASSERT_TRUE(isServed(patience));
    hostile_crowd crowd(std::get<crowd_case>(GetParam()), m_daemon->callers());
    run(crowd);
    std::optional<http_response> reply;
    m_client.fetch(m_operators, { "GET", "/api/ready", {}, "" }, { std::chrono::seconds(3) },
        [&](const exchange_result&, const http_response& response) { reply = response; });
    m_loop.runUntil([&] { return reply.has_value(); }, std::chrono::seconds(5));
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->status, 200) << reply->body;
}

INSTANTIATE_TEST_SUITE_P(Platform, ReadinessUnderLoadTest,
    testing::Values(std::make_tuple(run_mode::Platform,
        crowd_case { "RequestsThatRun", 100, replaced(get("/r/held"), "Deadline-Ms: 2000", "Deadline-Ms: 20000"), "", 0,
            1, false, fewDescriptors })));

} // namespace pollen
