#pragma once

#include <map>
#include <standins/standin.h>
#include <vector>

namespace pollen {

// The users' store: topics of one partition with appends, waiting reads and the newest record of each key. Settings:
// outage (1: answers 503; 2: answers nothing), lose_answers (number of coming appends that take effect and whose
// connection is closed without an answer), forget (drops the history of all topics), era (the number of the era that
// answers tell; 0: none), copy (makes a copy of all topics), restore (comes back from the copy; a new era begins).
class store_standin final : public standin {
public:
    store_standin(event_loop& loop, const endpoint& listenAddress);

    void set(const std::string& name, int64_t value) override;

    // Writes a record as the operator or a server would; without a value the key is dropped.
    void put(const std::string& topic, const std::string& key, const std::optional<std::string>& value);
    // The newest value of a key; none when there is none.
    std::optional<std::string> newest(const std::string& topic, const std::string& key) const;
    size_t calls() const { return m_calls; }

protected:
    void handle(const std::shared_ptr<server_request>& request) override;
    nlohmann::json records() const override;

private:
    struct topic {
        uint64_t first = 0;
        std::vector<std::string> records;
        // Key, and the offset and value of its newest record.
        std::map<std::string, std::pair<uint64_t, std::string>> newest;

        uint64_t end() const { return first + records.size(); }
    };
    struct waiting_read {
        std::shared_ptr<server_request> request;
        std::string topic;
        uint64_t from;
        int64_t deadlineMilliseconds;
    };

    void append(server_request& request, const std::string& name);
    void read(const std::shared_ptr<server_request>& request, const std::string& name);
    void reply(server_request& request, int status, const nlohmann::json& body);
    http_headers eraHeaders() const;
    void replyNewest(server_request& request, const std::string& name);
    void add(const std::string& name, const std::string& record);
    void answerWaiting();

    std::map<std::string, topic> m_topics;
    std::map<std::string, topic> m_copy;
    int64_t m_era = 1;
    std::vector<waiting_read> m_waiting;
    std::vector<std::shared_ptr<server_request>> m_unanswered;
    timer m_timer;
    int64_t m_outage = 0;
    int64_t m_loseAnswers = 0;
    size_t m_calls = 0;
};

} // namespace pollen
