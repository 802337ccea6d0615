#pragma once

#include <deque>
#include <list>
#include <map>
#include <standins/standin.h>

namespace pollen {

// Speeds of one engine.
struct engine_speed {
    // Requests that run at the same time; more wait in a queue by priority.
    size_t slots = 16;
    // Time to read one token of a prompt, and to generate one token, without other work.
    int64_t promptMicroseconds = 20;
    int64_t tokenMicroseconds = 2000;
};

// A model engine with continuous batching: it admits requests between tokens, slows down as its batch fills, keeps a
// small cache of prompt prefixes and reports its load late. Settings: fail (coming requests answered 500), refuse
// (coming requests answered 503), cut (coming requests cut after some tokens), cross (coming answers that carry the id
// of another request), slow (percent of normal speed's time, 100 is normal), leaving, load_lag_ms.
class engine_standin final : public standin {
public:
    engine_standin(
        event_loop& loop, const endpoint& listenAddress, std::vector<std::string> versions, const engine_speed& speed);

    void set(const std::string& name, int64_t value) override;

protected:
    void handle(const std::shared_ptr<server_request>& request) override;
    nlohmann::json records() const override;

private:
    struct job {
        std::shared_ptr<server_request> request;
        std::string id;
        std::string version;
        std::string marker;
        bool streaming = false;
        bool cut = false;
        bool gone = false;
        int64_t priority = 0;
        size_t promptTokens = 0;
        size_t outputTokens = 0;
        size_t emitted = 0;
        // Time at which the next token is due.
        int64_t nextToken = 0;
        size_t record = 0;
    };
    struct load_sample {
        int64_t at;
        size_t running;
        size_t queued;
    };

    void generate(const std::shared_ptr<server_request>& request);
    void admit();
    void step();
    bool advance(job& job, int64_t now);
    void emitToken(job& job);
    void finish(job& job);
    bool take(const char* setting);
    int64_t readingTime(const job& job);
    int64_t tokenTime() const;
    void sampleLoad(int64_t now);
    nlohmann::json loadReport() const;

    std::vector<std::string> m_versions;
    engine_speed m_speed;
    std::map<std::string, int64_t> m_settings;
    std::deque<std::shared_ptr<job>> m_queue;
    std::list<std::shared_ptr<job>> m_running;
    std::deque<std::string> m_prefixes;
    std::deque<load_sample> m_load;
    nlohmann::json m_records = nlohmann::json::array();
    timer m_step;
};

} // namespace pollen
