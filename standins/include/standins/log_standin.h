#pragma once

#include <deque>
#include <map>
#include <standins/standin.h>

namespace pollen {

// The platform's append-only log. Settings: retention_ms, appends_per_second, outage (1: answers 503), lose_answers
// (number of coming appends that take effect and whose connection is closed without an answer), delay_ms.
class log_standin final : public standin {
public:
    log_standin(event_loop& loop, const endpoint& listenAddress);

    void set(const std::string& name, int64_t value) override;

protected:
    void handle(const std::shared_ptr<server_request>& request) override;
    nlohmann::json records() const override;

private:
    struct record {
        uint64_t offset;
        int64_t timeMilliseconds;
        std::string value;
    };
    struct stream {
        std::deque<record> records;
        uint64_t next = 1;
    };
    struct waiting_read {
        std::shared_ptr<server_request> request;
        std::string stream;
        uint64_t from;
        int64_t deadlineMilliseconds;
    };

    void append(server_request& request, const std::string& name);
    void read(const std::shared_ptr<server_request>& request, const std::string& name);
    void answerRead(server_request& request, const stream& stream, uint64_t from);
    void answerWaiting();
    void expire();
    bool takeAppend();

    std::map<std::string, stream> m_streams;
    std::vector<waiting_read> m_waiting;
    timer m_timer;
    int64_t m_retentionMilliseconds = 3600000;
    int64_t m_appendsPerSecond = 500;
    int64_t m_outage = 0;
    int64_t m_loseAnswers = 0;
    double m_appendAllowance = 0;
    int64_t m_allowanceAt = 0;
    uint64_t m_appends = 0;
};

} // namespace pollen
