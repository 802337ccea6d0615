#include <algorithm>
#include <limits>
#include <relay/crash_table.h>

namespace pollen {

namespace {

// The users' bound: a request that has crashed three servers goes to no further one.
constexpr size_t endsOfQuarantine = 3;
// Milliseconds. Ends of one server that are closer are one end, seen by several daemons or in several requests; a
// server that has crashed is back after some seconds.
constexpr int64_t sameEnd = 1000;
// Milliseconds. An answer explains away the ends up to so long after it: servers that go down while a request is in
// much use go down for another reason.
constexpr int64_t answerCovers = 10000;
// Milliseconds without a further end after which the request is tried again; another end renews the quarantine.
constexpr int64_t quarantineTime = 600000;
// Milliseconds after which an end no longer counts.
constexpr int64_t endLifetime = 3600000;
// Milliseconds for which reports of ends that are explained away are kept, so that late ones are not taken for new.
constexpr int64_t explainedLifetime = 60000;
// The last ends that one report names.
constexpr size_t mostEnds = 8;
// Requests that are remembered; more are dropped, the oldest first.
constexpr size_t mostRequests = 2048;
// Reports in one batch, some 25 kB.
constexpr size_t batch = 256;

} // namespace

crash_report& crash_table::changeOwn(uint64_t fingerprint, entry& request)
{
    crash_report& own = request.byDaemon[m_self].report;
    own.key = { fingerprint, m_self };
    ++own.revision;
    return own;
}

void crash_table::addEnd(uint64_t fingerprint, const instance_id& server, int64_t now)
{
    entry& request = m_requests[fingerprint];
    std::vector<server_end>& ends = changeOwn(fingerprint, request).ends;
    ends.push_back({ server, now });
    if (ends.size() > mostEnds)
        ends.erase(ends.begin());
    applyAnswer(fingerprint, request);
}

void crash_table::withdrawEnd(uint64_t fingerprint, const instance_id& server, int64_t at)
{
    const auto found = m_requests.find(fingerprint);
    if (found == m_requests.end())
        return;
    std::erase(changeOwn(fingerprint, found->second).ends, server_end { server, at });
}

void crash_table::addAnswer(uint64_t fingerprint, int64_t now)
{
    m_answers[fingerprint] = now;
    const auto found = m_requests.find(fingerprint);
    if (found != m_requests.end())
        applyAnswer(fingerprint, found->second);
}

void crash_table::applyAnswer(uint64_t fingerprint, entry& request)
{
    const auto answer = m_answers.find(fingerprint);
    if (answer == m_answers.end() || answer->second <= answered(request))
        return;
    const std::vector<server_end> ends = countedEnds(request);
    const bool explains = std::any_of(
        ends.begin(), ends.end(), [&](const server_end& end) { return end.at <= answer->second + answerCovers; });
    if (explains)
        changeOwn(fingerprint, request).answered = answer->second;
}

void crash_table::hear(const crash_report& report, bool stored)
{
    entry& request = m_requests[report.key.fingerprint];
    row& known = request.byDaemon[report.key.daemon];
    if (stored)
        known.stored = report;
    if (report.key.daemon == m_self && stored)
        hearOwn(known, report);
    else if (report.key.daemon != m_self && report.revision > known.report.revision)
        known.report = report;
    known.report.key = report.key;
    applyAnswer(report.key.fingerprint, request);
}

// What this daemon said before it started again goes on to hold, beside what it has seen since.
void crash_table::hearOwn(row& own, const crash_report& report)
{
    crash_report& current = own.report;
    if (report.revision <= current.revision)
        return;
    const bool isFirst = current.revision == 0;
    current.revision = isFirst ? report.revision : report.revision + 1;
    current.answered = std::max(current.answered, report.answered);
    current.ends.insert(current.ends.begin(), report.ends.begin(), report.ends.end());
    if (current.ends.size() > mostEnds)
        current.ends.erase(current.ends.begin(), current.ends.end() - mostEnds);
}

void crash_table::drop(const crash_report_key& key)
{
    const auto found = m_requests.find(key.fingerprint);
    if (found == m_requests.end())
        return;
    const auto known = found->second.byDaemon.find(key.daemon);
    if (known == found->second.byDaemon.end())
        return;
    // What has come since is stored anew.
    if (known->second.stored == known->second.report)
        found->second.byDaemon.erase(known);
    else
        known->second.stored.reset();
    if (found->second.byDaemon.empty())
        m_requests.erase(found);
}

int64_t crash_table::answered(const entry& request)
{
    int64_t latest = 0;
    for (const auto& [daemon, row] : request.byDaemon)
        latest = std::max(latest, row.report.answered);
    return latest;
}

std::vector<server_end> crash_table::countedEnds(const entry& request)
{
    const int64_t answer = answered(request);
    std::vector<server_end> ends;
    for (const auto& [daemon, row] : request.byDaemon) {
        for (const server_end& end : row.report.ends) {
            if (answer == 0 || end.at > answer + answerCovers)
                ends.push_back(end);
        }
    }
    std::sort(ends.begin(), ends.end(), [](const auto& left, const auto& right) { return left.at < right.at; });
    std::vector<server_end> distinct;
    for (const server_end& end : ends) {
        const bool known = std::any_of(distinct.begin(), distinct.end(),
            [&](const server_end& other) { return other.server == end.server && end.at - other.at < sameEnd; });
        if (!known)
            distinct.push_back(end);
    }
    return distinct;
}

int64_t crash_table::lastEvent(const entry& request)
{
    int64_t latest = answered(request);
    for (const auto& [daemon, row] : request.byDaemon) {
        for (const server_end& end : row.report.ends)
            latest = std::max(latest, end.at);
    }
    return latest;
}

bool crash_table::isQuarantined(const entry& request, int64_t now)
{
    const std::vector<server_end> ends = countedEnds(request);
    return ends.size() >= endsOfQuarantine && now - ends.back().at < quarantineTime;
}

bool crash_table::isQuarantined(uint64_t fingerprint, int64_t now, size_t suspected) const
{
    const auto found = m_requests.find(fingerprint);
    if (found != m_requests.end() && isQuarantined(found->second, now))
        return true;
    const bool answeredLately = m_answers.contains(fingerprint);
    return !answeredLately && suspected > 0 && countEnds(fingerprint) + suspected >= endsOfQuarantine;
}

size_t crash_table::countEnds(uint64_t fingerprint) const
{
    const auto found = m_requests.find(fingerprint);
    return found == m_requests.end() ? 0 : countedEnds(found->second).size();
}

bool crash_table::isKnownToOthers(const entry& request)
{
    return std::any_of(request.byDaemon.begin(), request.byDaemon.end(),
        [](const auto& item) { return item.second.stored.has_value(); });
}

std::vector<crash_report> crash_table::unstored() const
{
    std::vector<crash_report> reports;
    for (const auto& [fingerprint, request] : m_requests) {
        // Ends that were explained away before anybody else heard of them concern nobody.
        if (countedEnds(request).empty() && !isKnownToOthers(request))
            continue;
        for (const auto& [daemon, row] : request.byDaemon) {
            if (row.stored != row.report && reports.size() < batch)
                reports.push_back(row.report);
        }
    }
    return reports;
}

std::vector<crash_report> crash_table::ownUnstored() const
{
    std::vector<crash_report> reports = unstored();
    std::erase_if(reports, [&](const crash_report& report) { return report.key.daemon != m_self; });
    return reports;
}

int64_t crash_table::oldestKept() const
{
    if (m_requests.size() <= mostRequests)
        return std::numeric_limits<int64_t>::min();
    std::vector<int64_t> events;
    events.reserve(m_requests.size());
    for (const auto& [fingerprint, request] : m_requests)
        events.push_back(lastEvent(request));
    const auto oldest = events.begin() + static_cast<std::ptrdiff_t>(events.size() - mostRequests);
    std::nth_element(events.begin(), oldest, events.end());
    return *oldest;
}

bool crash_table::isOutdated(const entry& request, int64_t now, int64_t oldestKept)
{
    const int64_t lifetime = countedEnds(request).empty() ? explainedLifetime : endLifetime;
    const int64_t last = lastEvent(request);
    return now - last >= lifetime || last < oldestKept;
}

std::vector<crash_report_key> crash_table::outdated(int64_t now) const
{
    const int64_t oldest = oldestKept();
    std::vector<crash_report_key> keys;
    for (const auto& [fingerprint, request] : m_requests) {
        if (!isOutdated(request, now, oldest))
            continue;
        for (const auto& [daemon, row] : request.byDaemon) {
            if (row.stored && keys.size() < batch)
                keys.push_back(row.report.key);
        }
    }
    return keys;
}

std::vector<uint64_t> crash_table::takeNewlyQuarantined(int64_t now)
{
    std::vector<uint64_t> fingerprints;
    for (auto& [fingerprint, request] : m_requests) {
        const bool quarantined = isQuarantined(request, now);
        if (quarantined && !request.quarantineReported)
            fingerprints.push_back(fingerprint);
        request.quarantineReported = quarantined;
    }
    return fingerprints;
}

size_t crash_table::countQuarantined(int64_t now) const
{
    return static_cast<size_t>(std::count_if(
        m_requests.begin(), m_requests.end(), [&](const auto& item) { return isQuarantined(item.second, now); }));
}

void crash_table::sweep(int64_t now)
{
    std::erase_if(m_answers, [&](const auto& item) { return now - item.second >= answerCovers; });
    // What the store holds is forgotten when it is dropped there.
    const int64_t oldest = oldestKept();
    std::erase_if(m_requests,
        [&](const auto& item) { return isOutdated(item.second, now, oldest) && !isKnownToOthers(item.second); });
}

} // namespace pollen
