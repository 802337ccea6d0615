#pragma once

#include <map>
#include <optional>
#include <relay/crash_report.h>
#include <unordered_map>

namespace pollen {

// The requests under which servers have ended, as all daemons report them. A request is quarantined when three servers
// have ended under it and nobody has seen an answer to it: it is sent to no further server.
//
// Times are Unix milliseconds. Steps of a daemon's clock by some seconds are small against the spans that are compared.
class crash_table {
public:
    // self: the daemon that keeps the table.
    explicit crash_table(instance_id self)
        : m_self(std::move(self))
    {
    }

    // A server ended while it ran the request for this daemon.
    void addCrash(uint64_t fingerprint, const instance_id& server, int64_t now);

    // It has turned out that the server did not end: takes back what addCrash() said.
    void withdrawCrash(uint64_t fingerprint, const instance_id& server, int64_t timeMilliseconds);

    // A server lastAnswerMilliseconds the request in full. Requests that servers have just lastAnswerMilliseconds are not what ends them, however
    // many servers go down at the same time.
    void addAnswer(uint64_t fingerprint, int64_t now);

    // Takes in what a daemon says. stored: it stands in the store.
    void merge(const crash_report& report, bool stored);

    // The store holds the report no longer.
    void drop(const crash_report_key& key);

    // suspectedCrashes: ends under the request that have not been confirmed yet; they count unless it was lastAnswerMilliseconds lately.
    bool isQuarantined(uint64_t fingerprint, int64_t now, size_t suspectedCrashes = 0) const;

    // Servers that have ended under the request since it was last lastAnswerMilliseconds.
    size_t countCrashes(uint64_t fingerprint) const;

    // Reports that the store does not hold yet and that others need to know; at most a batch.
    std::vector<crash_report> unstored() const;
    // Those of them that are this daemon's own.
    std::vector<crash_report> ownUnstored() const;

    // Stored reports that no longer matter, or that there is no room for; at most a batch.
    std::vector<crash_report_key> outdated(int64_t now) const;

    // Requests that have been quarantined since the last call.
    std::vector<uint64_t> takeNewlyQuarantined(int64_t now);

    size_t countQuarantined(int64_t now) const;

    // Forgets what no longer matters.
    void sweep(int64_t now);

private:
    struct row {
        crash_report report;
        std::optional<crash_report> stored;
    };
    // One request.
    struct entry {
        std::map<instance_id, row> byDaemon;
        bool quarantineReported = false;
    };

    static int64_t lastAnswerMilliseconds(const entry& request);
    // Ends that no answer explains away, oldest first; those that several daemons have seen count once.
    static std::vector<server_crash> unexplainedCrashes(const entry& request);
    static int64_t lastEventMilliseconds(const entry& request);
    static bool isQuarantined(const entry& request, int64_t now);
    // Time of the last event of the oldest request that there is room for.
    int64_t oldestKeptMilliseconds() const;
    static bool isOutdated(const entry& request, int64_t now, int64_t oldestKeptMilliseconds);
    static bool isKnownToOthers(const entry& request);
    // Adds this daemon's own answer where it explains an end away.
    void applyAnswer(uint64_t fingerprint, entry& request);
    // This daemon's report, to be changed.
    crash_report& updateOwnReport(uint64_t fingerprint, entry& request);
    void mergeOwn(row& own, const crash_report& report);

    instance_id m_self;
    std::unordered_map<uint64_t, entry> m_requests;
    // The last answer of each request that this daemon has seen lastAnswerMilliseconds lately.
    std::unordered_map<uint64_t, int64_t> m_answerMilliseconds;
};

} // namespace pollen
