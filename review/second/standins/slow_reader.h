#pragma once

#include <base/clock.h>
#include <base/endpoint.h>
#include <string>

namespace review {

// A caller on a slow link: sends one request and reads the response a piece at a time. Its segments are as large as on
// an Ethernet and its receive buffer is small, so that the operating system holds little of the response.
class slow_reader {
public:
    // Connects and sends. piece: bytes that are read at a time; a piece is read in each interval.
    slow_reader(const pollen::endpoint& server, const std::string& request, size_t piece, pollen::duration interval);
    ~slow_reader();
    slow_reader(const slow_reader&) = delete;
    slow_reader& operator=(const slow_reader&) = delete;

    // Reads what is due.
    void tick(pollen::time_point now);

    bool isConnected() const { return m_socket >= 0; }
    // The response is complete, or its connection has ended.
    bool hasEnded() const { return m_hasEnded; }
    // The whole body, as its length says, has been read.
    bool isComplete() const;
    int status() const;
    size_t bodyBytes() const;
    size_t announcedBytes() const;
    // How the connection ended, for the record.
    const std::string& ending() const { return m_ending; }

private:
    size_t headEnd() const { return m_response.find("\r\n\r\n"); }

    int m_socket = -1;
    size_t m_piece;
    pollen::duration m_interval;
    pollen::time_point m_nextRead {};
    std::string m_response;
    bool m_hasEnded = false;
    std::string m_ending = "open";
};

} // namespace review
