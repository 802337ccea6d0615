// A model replica as a process of its own, as the users' pages describe one: it answers with a stream of events and
// echoes the id of the request. Its answers have chunks or, as the pages also allow, neither a length nor chunks and
// end with their connection. If told to, it crashes when it begins to write an answer on the prompt part "dead".
//
// engine_process ID ADDRESS PORT FRAMING CRASHES EVENTS, where FRAMING is chunks or none, CRASHES 0 or 1 and EVENTS the
// number of events in an answer. Writes a line for each request: microseconds on the boot clock, "reached", its id, and
// "dead" or "sound".

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <list>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace {

constexpr int64_t microsecondsPerEvent = 40000;
constexpr int listenBacklog = 128;

struct engine_settings {
    std::string id;
    bool hasChunks = false;
    bool crashes = false;
    int eventsPerAnswer = 0;
};

struct connection {
    int socket = -1;
    std::string input;
    // Of the answer that is being written; 0 if there is none.
    int nextEvent = 0;
    int64_t nextEventAt = 0;
    bool finished = false;
};

int64_t nowMicroseconds()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return static_cast<int64_t>(time.tv_sec) * 1000000 + time.tv_nsec / 1000;
}

std::string headerOf(const std::string& head, const std::string& name)
{
    size_t at = 0;
    while ((at = head.find("\r\n", at)) != std::string::npos) {
        at += 2;
        if (strncasecmp(head.c_str() + at, (name + ":").c_str(), name.size() + 1) != 0)
            continue;
        const size_t begin = head.find_first_not_of(' ', at + name.size() + 1);
        return head.substr(begin, head.find("\r\n", begin) - begin);
    }
    return {};
}

void writeAll(connection& to, const std::string& bytes)
{
    // Answers are small, so that the socket takes them at once.
    if (::send(to.socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(bytes.size()))
        to.finished = true;
}

std::string chunk(const std::string& bytes)
{
    std::array<char, 20> size {};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + bytes + "\r\n";
}

// One of the parts before the last one.
bool hasDeadPart(const std::string& parts)
{
    const size_t last = parts.rfind(',');
    return last != std::string::npos && parts.substr(0, last).find("dead:") != std::string::npos;
}

void answer(const engine_settings& settings, connection& from, const std::string& head)
{
    const std::string id = headerOf(head, "Pollenroute-Request-Id");
    const std::string expected = headerOf(head, "Pollenroute-Expect-Instance");
    if (!expected.empty() && expected != settings.id) {
        writeAll(from,
            "HTTP/1.1 421 Misdirected Request\r\nPollenroute-Request-Id: " + id
                + "\r\nPollenroute-Instance-Id: " + settings.id + "\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    const bool isDead = hasDeadPart(headerOf(head, "Pollenroute-Prompt-Prefix"));
    std::printf(
        "%lld reached %s %s\n", static_cast<long long>(nowMicroseconds()), id.c_str(), isDead ? "dead" : "sound");
    std::fflush(stdout);
    const std::string last = headerOf(head, "Last-Event-Id");
    from.nextEvent = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
    from.nextEventAt = nowMicroseconds() + microsecondsPerEvent;
    writeAll(from,
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nPollenroute-Request-Id: " + id
            + "\r\nPollenroute-Response-Seal: seal." + id + "\r\n"
            + (settings.hasChunks ? "Transfer-Encoding: chunked\r\n\r\n" : "Connection: close\r\n\r\n"));
    if (!isDead || !settings.crashes)
        return;
    const std::string part = "id: " + std::to_string(from.nextEvent) + "\nda";
    writeAll(from, settings.hasChunks ? chunk(part) : part);
    std::printf("%lld crashed %s\n", static_cast<long long>(nowMicroseconds()), id.c_str());
    std::fflush(stdout);
    // The process is gone; the operating system closes its connections.
    ::_exit(1);
}

void readRequests(const engine_settings& settings, connection& from)
{
    std::array<char, 16384> bytes {};
    const ssize_t length = ::recv(from.socket, bytes.data(), bytes.size(), 0);
    if (length <= 0) {
        from.finished = true;
        return;
    }
    from.input.append(bytes.data(), static_cast<size_t>(length));
    const size_t headEnd = from.input.find("\r\n\r\n");
    if (headEnd == std::string::npos || from.nextEvent > 0)
        return;
    const std::string head = from.input.substr(0, headEnd + 2);
    const size_t total = headEnd + 4 + static_cast<size_t>(std::atoi(headerOf(head, "Content-Length").c_str()));
    if (from.input.size() < total)
        return;
    from.input.erase(0, total);
    answer(settings, from, head);
}

void writeEvent(const engine_settings& settings, connection& to)
{
    if (to.nextEvent == 0 || nowMicroseconds() < to.nextEventAt)
        return;
    if (to.nextEvent > settings.eventsPerAnswer) {
        to.nextEvent = 0;
        if (settings.hasChunks)
            writeAll(to, "0\r\n\r\n");
        else
            to.finished = true;
        return;
    }
    const std::string number = std::to_string(to.nextEvent++);
    const std::string event = "id: " + number + "\ndata: " + number + "\n\n";
    to.nextEventAt = nowMicroseconds() + microsecondsPerEvent;
    writeAll(to, settings.hasChunks ? chunk(event) : event);
}

int listenOn(const std::string& address, int port)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    const int enabled = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    sockaddr_in own {};
    own.sin_family = AF_INET;
    own.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, address.c_str(), &own.sin_addr);
    if (::bind(listener, reinterpret_cast<sockaddr*>(&own), sizeof own) != 0 || ::listen(listener, listenBacklog) != 0)
        return -1;
    return listener;
}

int serve(const engine_settings& settings, int listener)
{
    std::list<connection> connections;
    for (;;) {
        std::vector<pollfd> entries { { listener, POLLIN, 0 } };
        for (const connection& open : connections)
            entries.push_back({ open.socket, POLLIN, 0 });
        constexpr int pollMilliseconds = 10;
        if (::poll(entries.data(), entries.size(), pollMilliseconds) < 0 && errno != EINTR)
            return 1;
        size_t index = 1;
        for (connection& open : connections) {
            if (entries[index++].revents != 0)
                readRequests(settings, open);
            writeEvent(settings, open);
        }
        std::erase_if(connections, [](const connection& open) {
            if (open.finished)
                ::close(open.socket);
            return open.finished;
        });
        if (entries[0].revents == 0)
            continue;
        const int socket = ::accept(listener, nullptr, nullptr);
        if (socket >= 0)
            connections.push_back({ socket, {}, 0, 0, false });
    }
}

} // namespace

int main(int argc, char** argv)
{
    constexpr int argumentCount = 7;
    if (argc != argumentCount)
        return 2;
    const engine_settings settings { argv[1], std::string(argv[4]) == "chunks", std::string(argv[5]) == "1",
        std::atoi(argv[6]) };
    const int listener = listenOn(argv[2], std::atoi(argv[3]));
    return listener < 0 ? 2 : serve(settings, listener);
}
