// Callers that nobody controls, many at once, as a process of its own. Half of them send a body of legal size, stop
// just short of its end and stay connected. The others ask for an answer and read it slowly. A caller that is turned
// away or cut off comes again.
//
// crowd_process ADDRESS PORT CALLERS SECONDS

#include "sockets.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <list>
#include <poll.h>
#include <unistd.h>
#include <vector>

namespace {

// max-body-bytes of the configuration.
constexpr size_t legalBodyBytes = 4194304;
constexpr size_t bytesShortOfTheEnd = 1000;
constexpr size_t callersPerTurn = 20;
// Slow callers read this much in each interval.
constexpr size_t pieceBytes = 8192;
constexpr int64_t readMilliseconds = 200;
constexpr int pollMilliseconds = 20;

struct caller {
    int socket = -1;
    bool isReader = false;
    std::string head;
    size_t bodyLeft = 0;
    int64_t nextRead = 0;
    bool finished = false;
};

int64_t nowMilliseconds()
{
    timespec time {};
    clock_gettime(CLOCK_MONOTONIC, &time);
    return static_cast<int64_t>(time.tv_sec) * 1000 + time.tv_nsec / 1000000;
}

caller newCaller(const std::string& address, int port)
{
    static size_t number = 0;
    ++number;
    caller created;
    created.isReader = number % 2 == 0;
    created.socket = review::beginToConnect(address, port);
    created.head = std::string(created.isReader ? "GET" : "POST")
        + " /read/x HTTP/1.1\r\nHost: h.example\r\nPollenroute-Request-Id: crowd-" + std::to_string(number)
        + "\r\nPollenroute-Key: key1\r\nPollenroute-Deadline-Ms: 8000\r\n"
        + (created.isReader ? "\r\n" : "Content-Length: " + std::to_string(legalBodyBytes) + "\r\n\r\n");
    created.bodyLeft = created.isReader ? 0 : legalBodyBytes - bytesShortOfTheEnd;
    return created;
}

void writeRequest(caller& from)
{
    static const std::string piece(64U << 10, 'z');
    const bool isHead = !from.head.empty();
    const char* bytes = isHead ? from.head.data() : piece.data();
    const size_t length = isHead ? from.head.size() : std::min(piece.size(), from.bodyLeft);
    const ssize_t written = ::send(from.socket, bytes, length, MSG_NOSIGNAL);
    if (written < 0) {
        from.finished = errno != EAGAIN;
        return;
    }
    if (isHead)
        from.head.erase(0, static_cast<size_t>(written));
    else
        from.bodyLeft -= static_cast<size_t>(written);
}

void readAnswer(caller& from, int64_t now)
{
    std::array<char, pieceBytes> bytes {};
    const ssize_t length = ::recv(from.socket, bytes.data(), bytes.size(), 0);
    from.nextRead = now + readMilliseconds;
    // Whoever sends a body and is answered before its end has been turned away.
    const bool isTurnedAway = length > 0 && !from.isReader;
    from.finished = isTurnedAway || length == 0 || (length < 0 && errno != EAGAIN);
}

void serveTurn(std::list<caller>& callers)
{
    const int64_t now = nowMilliseconds();
    std::vector<pollfd> entries;
    for (const caller& open : callers) {
        const bool isWriting = !open.head.empty() || open.bodyLeft > 0;
        const bool mayRead = !open.isReader || now >= open.nextRead;
        entries.push_back({ open.socket, static_cast<short>((isWriting ? POLLOUT : 0) | (mayRead ? POLLIN : 0)), 0 });
    }
    if (::poll(entries.data(), entries.size(), pollMilliseconds) < 0)
        return;
    size_t index = 0;
    for (caller& open : callers) {
        const short events = entries[index++].revents;
        if (events & POLLIN)
            readAnswer(open, now);
        else if (events & POLLOUT)
            writeRequest(open);
        else if (events & (POLLERR | POLLHUP))
            open.finished = true;
    }
    std::erase_if(callers, [](const caller& open) {
        if (open.finished)
            ::close(open.socket);
        return open.finished;
    });
}

} // namespace

int main(int argc, char** argv)
{
    constexpr int argumentCount = 5;
    if (argc != argumentCount)
        return 2;
    const size_t count = std::strtoull(argv[3], nullptr, 10);
    const int64_t end = nowMilliseconds() + std::strtoll(argv[4], nullptr, 10) * 1000;
    std::list<caller> callers;
    size_t opened = 0;
    while (nowMilliseconds() < end) {
        for (size_t i = 0; i < callersPerTurn && callers.size() < count; ++i) {
            callers.push_back(newCaller(argv[1], std::atoi(argv[2])));
            ++opened;
        }
        serveTurn(callers);
    }
    std::printf("connections opened %zu, open at the end %zu\n", opened, callers.size());
    return 0;
}
