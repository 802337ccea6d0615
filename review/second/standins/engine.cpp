#include "engine.h"

#include <array>
#include <fcntl.h>
#include <stdexcept>
#include <unistd.h>

namespace review {

namespace {

constexpr unsigned firstHost = 100;
constexpr size_t failureDomains = 4;

} // namespace

engine::engine(fleet& fleet, engine_options options, size_t index)
    : m_fleet(fleet)
    , m_options(std::move(options))
    , m_id("i-" + std::to_string(index))
    , m_failureDomain(1, static_cast<char>('a' + index % failureDomains))
    , m_address(loopbackAddress(firstHost + static_cast<unsigned>(index)))
    , m_port(freePort(m_address))
{
    start();
}

engine::~engine() { ::close(m_output); }

void engine::start(int64_t coldLeftMilliseconds)
{
    std::array<int, 2> ends {};
    if (::pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK) != 0)
        throw std::runtime_error("no pipe");
    if (m_output >= 0)
        ::close(m_output);
    m_output = ends[0];
    m_process = std::make_unique<child_process>(
        std::vector<std::string> { m_options.program, m_id, m_address, std::to_string(m_port), m_options.framing,
            m_options.crashes ? "1" : "0", std::to_string(m_options.eventsPerAnswer) },
        std::vector<std::string> {}, ends[1]);
    ::close(ends[1]);
    m_born = pollen::os_clock().wallMilliseconds();
    beat(coldLeftMilliseconds);
}

void engine::beat(int64_t coldLeftMilliseconds)
{
    m_fleet.store().put("keyed.servers", m_id,
        nlohmann::json { { "service", "engine" }, { "address", m_address + ":" + std::to_string(m_port) },
            { "zone", m_failureDomain }, { "version", "v1" }, { "slots", 64 }, { "state", "ready" },
            { "cold-left-ms", coldLeftMilliseconds },
            { "models", nlohmann::json::array({ { { "name", "m" }, { "version", 1 } } }) }, { "born", m_born },
            { "seq", ++m_beats } }
            .dump());
}

void engine::readLines(const std::function<void(const std::string&)>& onLine)
{
    std::array<char, 4096> bytes {};
    ssize_t length = 0;
    while ((length = ::read(m_output, bytes.data(), bytes.size())) > 0)
        m_unread.append(bytes.data(), static_cast<size_t>(length));
    size_t end = 0;
    while ((end = m_unread.find('\n')) != std::string::npos) {
        onLine(m_unread.substr(0, end));
        m_unread.erase(0, end + 1);
    }
}

} // namespace review
