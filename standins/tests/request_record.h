#pragma once

#include <base/clock.h>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace pollen {

// What callers were told of each request and how often servers have run it, with a trace of both.
class request_record {
public:
    // What one caller was told of one request.
    struct told_result {
        bool isOrder = false;
        bool complete = false;
        int status = 0;
        std::string body;
    };

    void note(const std::string& id, const std::string& text)
    {
        std::ostringstream line;
        line << "    " << std::chrono::duration_cast<std::chrono::milliseconds>(m_time.now() - m_start).count()
             << " ms  " << text << "\n";
        m_traces[id] += line.str();
    }
    void addRun(const std::string& id, const std::string& place)
    {
        ++m_runs[id];
        note(id, place + " runs it");
    }
    void addResult(const std::string& id, const told_result& told)
    {
        m_told[id] = told;
        note(id,
            "the caller gets " + std::to_string(told.status) + (told.complete ? ", complete: " : ", cut: ")
                + told.body.substr(0, longestBody));
    }

    int runsOf(const std::string& id) const
    {
        const auto found = m_runs.find(id);
        return found == m_runs.end() ? 0 : found->second;
    }
    const std::map<std::string, int>& runs() const { return m_runs; }
    const std::map<std::string, told_result>& told() const { return m_told; }
    std::string trace(const std::string& id) const
    {
        const auto found = m_traces.find(id);
        return found == m_traces.end() ? "" : found->second;
    }

private:
    static constexpr size_t longestBody = 160;

    os_clock m_time;
    time_point m_start = m_time.now();
    std::map<std::string, int> m_runs;
    std::map<std::string, told_result> m_told;
    std::map<std::string, std::string> m_traces;
};

} // namespace pollen
