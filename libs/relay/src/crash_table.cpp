#include <algorithm>
#include <cstdlib>
#include <limits>
#include <relay/crash_table.h>
#include <set>

namespace pollen {

namespace {

// Required by the users: a request that has crashed three servers is sent to no further one.
constexpr size_t crashesUntilQuarantine = 3;
// Crashes of one server within this time count as one crash, seen by several daemons or in several requests. A crashed
// server takes some seconds to restart.
constexpr int64_t sameCrashMilliseconds = 1000;
// A response explains crashes up to this long after it: if servers crash while a request is answered often, the cause
// is another one.
constexpr int64_t answerCoverageMilliseconds = 10000;
// A response to a request with a prompt part shows for longer that the part is harmless, as its other parts and the
// load on the server do not matter for that.
constexpr int64_t partAnswerCoverageMilliseconds = 60000;
// Crashes under fewer requests may have been caused by any of their parts.
constexpr size_t requestsUntilQuarantineOfPart = 2;
// A quarantined request may be sent again after this time without a further crash; another crash renews the quarantine.
constexpr int64_t quarantineMilliseconds = 600000;
// A crash no longer counts after this time.
constexpr int64_t crashLifetimeMilliseconds = 3600000;
// Explained crashes are kept for this time, so that late reports of them are not taken for new ones.
constexpr int64_t explainedCrashLifetimeMilliseconds = 60000;
// Only the latest crashes are kept in a report.
constexpr size_t maximumCrashesPerReport = 8;
// Beyond this number the requests with the oldest events are removed.
constexpr size_t maximumRequests = 2048;
// About 25 kB per batch.
constexpr size_t maximumBatchReports = 256;

int64_t answerCoverage(uint64_t fingerprint)
{
    return isPartFingerprint(fingerprint) ? partAnswerCoverageMilliseconds : answerCoverageMilliseconds;
}

size_t countRequests(const std::vector<server_crash>& crashes)
{
    std::set<uint64_t> requests;
    for (const server_crash& crash : crashes)
        requests.insert(crash.request);
    return requests.size();
}

bool isSameCrash(const server_crash& left, const server_crash& right)
{
    return left.server == right.server
        && std::abs(left.timeMilliseconds - right.timeMilliseconds) < sameCrashMilliseconds;
}

} // namespace

crash_report& crash_table::updateOwnReport(uint64_t fingerprint, entry& request)
{
    crash_report& own = request.byDaemon[m_self].report;
    own.key = { fingerprint, m_self };
    ++own.revision;
    return own;
}

void crash_table::addCrash(uint64_t fingerprint, const instance_id& server, int64_t now, uint64_t request)
{
    entry& known = m_requests[fingerprint];
    std::vector<server_crash>& crashes = updateOwnReport(fingerprint, known).crashes;
    crashes.push_back({ server, now, request });
    if (crashes.size() > maximumCrashesPerReport)
        crashes.erase(crashes.begin());
    applyAnswer(fingerprint, known);
    recordChange(fingerprint, known, m_self);
}

void crash_table::recordChange(uint64_t fingerprint, entry& request, const instance_id& daemon)
{
    // Crashes explained before any other daemon learned of them need not be published.
    const bool isShared = !unexplainedCrashes(request).empty() || isKnownToOthers(request);
    const bool becomesShared = !std::exchange(request.isShared, isShared) && isShared;
    for (auto& [reporter, row] : request.byDaemon) {
        if (becomesShared || reporter == daemon)
            renumber(fingerprint, reporter, row);
    }
}

void crash_table::renumber(uint64_t fingerprint, const instance_id& daemon, row& changed)
{
    m_unstoredByChange.erase(changed.change);
    changed.change = ++m_change;
    if (changed.stored != changed.report)
        m_unstoredByChange[changed.change] = { fingerprint, daemon };
}

void crash_table::withdrawCrash(uint64_t fingerprint, const instance_id& server, int64_t timeMilliseconds)
{
    const auto found = m_requests.find(fingerprint);
    if (found == m_requests.end())
        return;
    std::erase_if(updateOwnReport(fingerprint, found->second).crashes, [&](const server_crash& crash) {
        return crash.server == server && crash.timeMilliseconds == timeMilliseconds;
    });
    recordChange(fingerprint, found->second, m_self);
}

void crash_table::addAnswer(uint64_t fingerprint, int64_t now)
{
    m_answerMilliseconds[fingerprint] = now;
    const auto found = m_requests.find(fingerprint);
    if (found != m_requests.end())
        applyAnswer(fingerprint, found->second);
}

void crash_table::applyAnswer(uint64_t fingerprint, entry& request)
{
    const auto answer = m_answerMilliseconds.find(fingerprint);
    if (answer == m_answerMilliseconds.end() || answer->second <= lastAnswerMilliseconds(request))
        return;
    const std::vector<server_crash> crashes = unexplainedCrashes(request);
    const bool explains = std::any_of(crashes.begin(), crashes.end(), [&](const server_crash& crash) {
        return crash.timeMilliseconds <= answer->second + answerCoverage(fingerprint);
    });
    if (!explains)
        return;
    updateOwnReport(fingerprint, request).lastAnswerMilliseconds = answer->second;
    recordChange(fingerprint, request, m_self);
}

void crash_table::merge(const crash_report& report, bool stored)
{
    entry& request = m_requests[report.key.fingerprint];
    row& known = request.byDaemon[report.key.daemon];
    const row before = known;
    if (stored)
        known.stored = report;
    if (report.key.daemon == m_self && stored)
        mergeOwn(known, report);
    else if (report.key.daemon != m_self && report.revision > known.report.revision)
        known.report = report;
    known.report.key = report.key;
    applyAnswer(report.key.fingerprint, request);
    if (known.report != before.report || known.stored != before.stored)
        recordChange(report.key.fingerprint, request, report.key.daemon);
}

// Reports of this daemon from before a restart stay valid and are combined with what it has seen since.
void crash_table::mergeOwn(row& own, const crash_report& report)
{
    crash_report& current = own.report;
    if (report.revision <= current.revision)
        return;
    const bool isFirst = current.revision == 0;
    current.revision = isFirst ? report.revision : report.revision + 1;
    current.lastAnswerMilliseconds = std::max(current.lastAnswerMilliseconds, report.lastAnswerMilliseconds);
    current.crashes.insert(current.crashes.begin(), report.crashes.begin(), report.crashes.end());
    if (current.crashes.size() > maximumCrashesPerReport)
        current.crashes.erase(current.crashes.begin(), current.crashes.end() - maximumCrashesPerReport);
}

void crash_table::drop(const crash_report_key& key)
{
    const auto found = m_requests.find(key.fingerprint);
    if (found == m_requests.end())
        return;
    const auto known = found->second.byDaemon.find(key.daemon);
    if (known == found->second.byDaemon.end())
        return;
    // Changes since the report was stored are stored again.
    if (known->second.stored == known->second.report)
        found->second.byDaemon.erase(known);
    else
        known->second.stored.reset();
    recordChange(key.fingerprint, found->second, key.daemon);
    if (found->second.byDaemon.empty())
        m_requests.erase(found);
}

int64_t crash_table::lastAnswerMilliseconds(const entry& request)
{
    int64_t latest = 0;
    for (const auto& [daemon, row] : request.byDaemon)
        latest = std::max(latest, row.report.lastAnswerMilliseconds);
    return latest;
}

std::vector<server_crash> crash_table::unexplainedCrashes(const entry& request)
{
    const int64_t answer = lastAnswerMilliseconds(request);
    std::vector<server_crash> crashes;
    for (const auto& [daemon, row] : request.byDaemon) {
        for (const server_crash& crash : row.report.crashes) {
            if (answer == 0 || crash.timeMilliseconds > answer + answerCoverage(row.report.key.fingerprint))
                crashes.push_back(crash);
        }
    }
    std::sort(crashes.begin(), crashes.end(),
        [](const auto& left, const auto& right) { return left.timeMilliseconds < right.timeMilliseconds; });
    std::vector<server_crash> distinct;
    for (const server_crash& crash : crashes) {
        const bool known = std::any_of(
            distinct.begin(), distinct.end(), [&](const server_crash& other) { return isSameCrash(crash, other); });
        if (!known)
            distinct.push_back(crash);
    }
    return distinct;
}

int64_t crash_table::lastEventMilliseconds(const entry& request)
{
    int64_t latest = lastAnswerMilliseconds(request);
    for (const auto& [daemon, row] : request.byDaemon) {
        for (const server_crash& crash : row.report.crashes)
            latest = std::max(latest, crash.timeMilliseconds);
    }
    return latest;
}

bool crash_table::isQuarantined(const entry& request, int64_t now)
{
    const std::vector<server_crash> crashes = unexplainedCrashes(request);
    if (crashes.size() < crashesUntilQuarantine || now - crashes.back().timeMilliseconds >= quarantineMilliseconds)
        return false;
    const bool isPart = isPartFingerprint(request.byDaemon.begin()->second.report.key.fingerprint);
    return !isPart || countRequests(crashes) >= requestsUntilQuarantineOfPart;
}

bool crash_table::isExplainedBy(const std::vector<server_crash>& crashes, const std::vector<server_crash>& others)
{
    return std::all_of(crashes.begin(), crashes.end(), [&](const server_crash& crash) {
        return std::any_of(
            others.begin(), others.end(), [&](const server_crash& other) { return isSameCrash(crash, other); });
    });
}

bool crash_table::containsCrashingPart(const std::vector<uint64_t>& parts, int64_t now) const
{
    for (const uint64_t part : parts) {
        const auto found = m_requests.find(part);
        if (found == m_requests.end() || !isQuarantined(found->second, now))
            continue;
        const std::vector<server_crash> crashes = unexplainedCrashes(found->second);
        const bool isExplained = std::any_of(m_requests.begin(), m_requests.end(), [&](const auto& item) {
            const auto& [other, entry] = item;
            return isPartFingerprint(other) && std::find(parts.begin(), parts.end(), other) == parts.end()
                && isQuarantined(entry, now) && isExplainedBy(crashes, unexplainedCrashes(entry));
        });
        if (!isExplained)
            return true;
    }
    return false;
}

bool crash_table::isQuarantined(uint64_t fingerprint, int64_t now, size_t suspectedCrashes) const
{
    const auto found = m_requests.find(fingerprint);
    if (found != m_requests.end() && isQuarantined(found->second, now))
        return true;
    const bool answeredRecently = m_answerMilliseconds.contains(fingerprint);
    return !answeredRecently && suspectedCrashes > 0
        && countCrashes(fingerprint) + suspectedCrashes >= crashesUntilQuarantine;
}

size_t crash_table::countCrashes(uint64_t fingerprint) const
{
    const auto found = m_requests.find(fingerprint);
    return found == m_requests.end() ? 0 : unexplainedCrashes(found->second).size();
}

bool crash_table::isKnownToOthers(const entry& request)
{
    return std::any_of(request.byDaemon.begin(), request.byDaemon.end(),
        [](const auto& item) { return item.second.stored.has_value(); });
}

std::vector<crash_report> crash_table::unstored() const
{
    return unstoredSince(0, reporters::All, maximumBatchReports).reports;
}

crash_changes crash_table::unstoredSince(uint64_t change, reporters from, size_t maximumReports) const
{
    crash_changes changes { { 0, m_change }, {} };
    for (auto item = m_unstoredByChange.upper_bound(change); item != m_unstoredByChange.end(); ++item) {
        const auto& [fingerprint, daemon] = item->second;
        const entry& request = m_requests.at(fingerprint);
        if (!request.isShared || (from == reporters::Self && daemon != m_self))
            continue;
        if (changes.reports.size() >= maximumReports) {
            changes.state.change = item->first - 1;
            break;
        }
        changes.reports.push_back(request.byDaemon.at(daemon).report);
    }
    return changes;
}

int64_t crash_table::oldestKeptMilliseconds() const
{
    if (m_requests.size() <= maximumRequests)
        return std::numeric_limits<int64_t>::min();
    std::vector<int64_t> events;
    events.reserve(m_requests.size());
    for (const auto& [fingerprint, request] : m_requests)
        events.push_back(lastEventMilliseconds(request));
    const auto oldest = events.begin() + static_cast<std::ptrdiff_t>(events.size() - maximumRequests);
    std::nth_element(events.begin(), oldest, events.end());
    return *oldest;
}

bool crash_table::isOutdated(const entry& request, int64_t now, int64_t oldestKeptMilliseconds)
{
    const int64_t lifetime
        = unexplainedCrashes(request).empty() ? explainedCrashLifetimeMilliseconds : crashLifetimeMilliseconds;
    const int64_t last = lastEventMilliseconds(request);
    return now - last >= lifetime || last < oldestKeptMilliseconds;
}

std::vector<crash_report_key> crash_table::outdated(int64_t now) const
{
    const int64_t oldest = oldestKeptMilliseconds();
    std::vector<crash_report_key> keys;
    for (const auto& [fingerprint, request] : m_requests) {
        if (!isOutdated(request, now, oldest))
            continue;
        for (const auto& [daemon, row] : request.byDaemon) {
            if (row.stored && keys.size() < maximumBatchReports)
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
    std::erase_if(
        m_answerMilliseconds, [&](const auto& item) { return now - item.second >= answerCoverage(item.first); });
    // Requests with stored reports are kept until drop() removes the reports.
    const int64_t oldest = oldestKeptMilliseconds();
    std::erase_if(m_requests, [&](const auto& item) {
        const bool isErased = isOutdated(item.second, now, oldest) && !isKnownToOthers(item.second);
        for (const auto& [daemon, row] : item.second.byDaemon) {
            if (isErased)
                m_unstoredByChange.erase(row.change);
        }
        return isErased;
    });
}

} // namespace pollen
