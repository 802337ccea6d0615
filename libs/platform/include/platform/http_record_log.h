#pragma once

#include <http/http_client.h>
#include <platform/record_log.h>

namespace pollen {

// The log service over HTTP as docs/INTERFACES.md describes it.
class http_record_log final : public record_log {
public:
    http_record_log(http_client& client, const endpoint& server);

    void append(const std::string& stream, std::vector<std::string> records, append_callback callback) override;
    void read(const std::string& stream, log_offset from, duration wait, read_callback callback) override;

private:
    http_client& m_client;
    endpoint m_server;
};

} // namespace pollen
