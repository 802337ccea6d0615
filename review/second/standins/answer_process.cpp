// A plain server as a process of its own: answers every request with a body of a fixed size, as fast as it is read.
//
// answer_process ADDRESS PORT BYTES

#include "sockets.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <list>
#include <poll.h>
#include <strings.h>
#include <unistd.h>
#include <vector>

namespace {

constexpr int listenBacklog = 1024;

struct connection {
    int socket = -1;
    std::string input;
    std::string head;
    size_t bodyLeft = 0;
    bool finished = false;

    bool isWriting() const { return !head.empty() || bodyLeft > 0; }
};

// The requests have no body.
void readRequest(connection& from, size_t bodyBytes)
{
    std::array<char, 8192> bytes {};
    const ssize_t length = ::recv(from.socket, bytes.data(), bytes.size(), 0);
    if (length <= 0) {
        from.finished = length == 0 || errno != EAGAIN;
        return;
    }
    from.input.append(bytes.data(), static_cast<size_t>(length));
    const size_t end = from.input.find("\r\n\r\n");
    if (end == std::string::npos)
        return;
    constexpr const char* name = "Pollenroute-Request-Id: ";
    size_t begin = from.input.find(name);
    begin = begin == std::string::npos ? end : begin + std::string(name).size();
    const std::string id = from.input.substr(begin, from.input.find("\r\n", begin) - begin);
    from.input.erase(0, end + 4);
    from.head = "HTTP/1.1 200 OK\r\nPollenroute-Request-Id: " + id + "\r\nPollenroute-Response-Seal: seal." + id
        + "\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
    from.bodyLeft = bodyBytes;
}

void writeAnswer(connection& to)
{
    static const std::string piece(64U << 10, 'x');
    const bool isHead = !to.head.empty();
    const char* bytes = isHead ? to.head.data() : piece.data();
    const size_t length = isHead ? to.head.size() : std::min(piece.size(), to.bodyLeft);
    const ssize_t written = ::send(to.socket, bytes, length, MSG_NOSIGNAL);
    if (written < 0) {
        to.finished = errno != EAGAIN;
        return;
    }
    if (isHead)
        to.head.erase(0, static_cast<size_t>(written));
    else
        to.bodyLeft -= static_cast<size_t>(written);
}

} // namespace

int main(int argc, char** argv)
{
    constexpr int argumentCount = 4;
    if (argc != argumentCount)
        return 2;
    const int listener = review::listenOn(argv[1], std::atoi(argv[2]), listenBacklog);
    if (listener < 0)
        return 2;
    const size_t bodyBytes = std::strtoull(argv[3], nullptr, 10);
    std::list<connection> connections;
    for (;;) {
        std::vector<pollfd> entries { { listener, POLLIN, 0 } };
        for (const connection& open : connections)
            entries.push_back({ open.socket, static_cast<short>(open.isWriting() ? POLLOUT : POLLIN), 0 });
        if (::poll(entries.data(), entries.size(), -1) < 0 && errno != EINTR)
            return 1;
        size_t index = 1;
        for (connection& open : connections) {
            if (entries[index++].revents == 0)
                continue;
            if (open.isWriting())
                writeAnswer(open);
            else
                readRequest(open, bodyBytes);
        }
        std::erase_if(connections, [](const connection& open) {
            if (open.finished)
                ::close(open.socket);
            return open.finished;
        });
        if (entries[0].revents == 0)
            continue;
        const int socket = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket >= 0)
            connections.push_back({ socket, {}, {}, 0, false });
    }
}
