#pragma once

#include <map>
#include <optional>
#include <relay/crash_report.h>
#include <unordered_map>

namespace pollen {

// Requests that crashed servers, merged from the reports of all daemons. A request is quarantined, that is, sent to no
// further server, after three crashes without a response from any server.
//
// Prompt parts are judged likewise, by the crashes under all requests that contain them: a part is suspected after
// three crashes under two requests or more, unless a request with it was answered. A crashed server takes down sound
// requests and, in the crashing one, sound parts with it. A part whose crashes all happened under another suspected
// part too is therefore not held against requests without that other part.
//
// Times are Unix milliseconds. Clock steps of a few seconds between daemons are small compared with the durations used
// here.
class crash_table {
public:
    // self: the daemon that owns the table.
    explicit crash_table(instance_id self)
        : m_self(std::move(self))
    {
    }

    // Records that a server crashed while it ran the request for this daemon. fingerprint: that of the request or of
    // one of its parts.
    void addCrash(uint64_t fingerprint, const instance_id& server, int64_t now, uint64_t request = 0);

    // Removes a crash recorded by addCrash() after it turned out that the server had not crashed.
    void withdrawCrash(uint64_t fingerprint, const instance_id& server, int64_t timeMilliseconds);

    // Records a complete response of a server to the request. Crashes close to a response are attributed to another
    // cause, however many servers go down at the same time.
    void addAnswer(uint64_t fingerprint, int64_t now);

    // Merges a report of a daemon. stored: the report comes from the store.
    void merge(const crash_report& report, bool stored);

    // Called after the report was deleted from the store.
    void drop(const crash_report_key& key);

    // suspectedCrashes: crashes that have not been confirmed yet; they count unless the request was answered within the
    // last 10 s.
    bool isQuarantined(uint64_t fingerprint, int64_t now, size_t suspectedCrashes = 0) const;

    // Whether one of the parts of a request's prompt probably crashes servers.
    bool containsCrashingPart(const std::vector<uint64_t>& parts, int64_t now) const;

    // Crashes that count towards the quarantine: those not explained by a response.
    size_t countCrashes(uint64_t fingerprint) const;

    // Reports that other daemons need and that the store does not hold yet; at most one batch.
    std::vector<crash_report> unstored() const;

    enum class reporters {
        All,
        // Reports of this daemon only.
        Self,
    };
    // The reports among them that changed after the given change, the oldest change first. The cost depends on the
    // later changes, not on the size of the table. Does not set state.table of the result.
    crash_changes unstoredSince(uint64_t change, reporters from, size_t maximumReports) const;

    // Stored reports that have expired or exceed the maximum number of requests; at most one batch.
    std::vector<crash_report_key> outdated(int64_t now) const;

    // Requests quarantined since the last call.
    std::vector<uint64_t> takeNewlyQuarantined(int64_t now);

    size_t countQuarantined(int64_t now) const;

    // Removes expired requests that the store does not hold, and old responses.
    void sweep(int64_t now);

private:
    struct row {
        crash_report report;
        std::optional<crash_report> stored;
        // The last change of the report.
        uint64_t change = 0;
    };
    // State of one request.
    struct entry {
        std::map<instance_id, row> byDaemon;
        bool quarantineReported = false;
        // Other daemons need the reports: some crash is not explained, or they know of one.
        bool isShared = false;
    };

    static int64_t lastAnswerMilliseconds(const entry& request);
    // Crashes that no response explains, oldest first. Crashes seen by several daemons count once.
    static std::vector<server_crash> unexplainedCrashes(const entry& request);
    // Whether each crash of one part happened under the other as well.
    static bool isExplainedBy(const std::vector<server_crash>& crashes, const std::vector<server_crash>& others);
    static int64_t lastEventMilliseconds(const entry& request);
    static bool isQuarantined(const entry& request, int64_t now);
    // Requests whose last event is older exceed the maximum number of requests.
    int64_t oldestKeptMilliseconds() const;
    static bool isOutdated(const entry& request, int64_t now, int64_t oldestKeptMilliseconds);
    static bool isKnownToOthers(const entry& request);
    // Adds the response seen by this daemon to its report if it explains a crash.
    void applyAnswer(uint64_t fingerprint, entry& request);
    // Returns this daemon's report for modification and increments its revision.
    crash_report& updateOwnReport(uint64_t fingerprint, entry& request);
    void mergeOwn(row& own, const crash_report& report);
    // To be called after each change of a daemon's report on a request.
    void recordChange(uint64_t fingerprint, entry& request, const instance_id& daemon);
    void renumber(uint64_t fingerprint, const instance_id& daemon, row& changed);

    instance_id m_self;
    std::unordered_map<uint64_t, entry> m_requests;
    uint64_t m_change = 0;
    // The reports that the store does not hold, by their last change.
    std::map<uint64_t, crash_report_key> m_unstoredByChange;
    // Time of the last response to each request and part that this daemon saw answered recently.
    std::unordered_map<uint64_t, int64_t> m_answerMilliseconds;
};

} // namespace pollen
