#include "slow_reader.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int segmentBytes = 1400;
constexpr int receiveBufferBytes = 64 << 10;

} // namespace

slow_reader::slow_reader(
    const pollen::endpoint& server, const std::string& request, size_t piece, pollen::duration interval)
    : m_piece(piece)
    , m_interval(interval)
{
    m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(m_socket, IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof segmentBytes);
    setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port);
    inet_pton(AF_INET, server.address.c_str(), &address.sin_addr);
    const bool sent = ::connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0
        && ::send(m_socket, request.data(), request.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(request.size());
    if (sent)
        return;
    ::close(m_socket);
    m_socket = -1;
}

slow_reader::~slow_reader()
{
    if (m_socket >= 0)
        ::close(m_socket);
}

void slow_reader::tick(pollen::time_point now)
{
    if (m_hasEnded || now < m_nextRead)
        return;
    m_nextRead = now + m_interval;
    std::string bytes(m_piece, '\0');
    const ssize_t length = ::recv(m_socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (length > 0)
        m_response.append(bytes, 0, static_cast<size_t>(length));
    else if (length == 0)
        m_ending = "closed by the daemon";
    else if (errno != EAGAIN)
        m_ending = std::string("reset: ") + std::strerror(errno);
    if (isComplete())
        m_ending = "complete";
    m_hasEnded = m_ending != "open";
}

int slow_reader::status() const
{
    constexpr size_t statusOffset = sizeof "HTTP/1.1 " - 1;
    return m_response.size() > statusOffset ? std::atoi(m_response.c_str() + statusOffset) : 0;
}

size_t slow_reader::announcedBytes() const
{
    constexpr const char* name = "Content-Length: ";
    const size_t at = m_response.find(name);
    return at == std::string::npos || at > headEnd()
        ? 0
        : std::strtoull(m_response.c_str() + at + strlen(name), nullptr, 10);
}

size_t slow_reader::bodyBytes() const
{
    constexpr size_t separatorBytes = 4;
    return headEnd() == std::string::npos ? 0 : m_response.size() - headEnd() - separatorBytes;
}

bool slow_reader::isComplete() const { return headEnd() != std::string::npos && bodyBytes() >= announcedBytes(); }

} // namespace review
