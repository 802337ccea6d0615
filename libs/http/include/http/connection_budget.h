#pragma once

#include <array>
#include <base/clock.h>
#include <cstdint>
#include <http/connection_limits.h>
#include <list>

namespace pollen {

// What was done because a limit was reached.
enum class limit_action {
    // A connection between two requests was closed for a new one.
    IdleClosed,
    // A connection whose request did not arrive was closed for a new one.
    UnfinishedClosed,
    // A new connection was refused.
    ConnectionRefused,
    // A request was refused because the bytes held for requests are at their limit.
    RequestRefused,
    // A request that did not arrive was refused in favor of another one.
    UnfinishedRefused,
    // The connection of a caller that did not read its response was closed.
    ReaderClosed,
    // The system had no descriptor for a new connection.
    AcceptFailed,
};
constexpr size_t limitActionCount = 7;

const char* toText(limit_action action);

// A connection as the budget sees it.
class limited_connection {
public:
    virtual ~limited_connection() = default;
    // Refuses the request that is arriving, as not run.
    virtual void refuseUnfinished() = 0;
    virtual void closeAtLimit() = 0;
};

// Applies connection_limits to all accepted connections of a process. Requests up to smallRequestBytes may use all
// bytes, larger ones three quarters, so that large ones cannot keep small ones out. If the bytes are exhausted, the
// request that has gone longest without progress is refused, provided that it has made none within stallTime;
// otherwise the one that asks is.
class connection_budget {
public:
    // Bytes of a request that count as part of its connection, so that the smallest requests are always served.
    static constexpr size_t includedBytes = 4U << 10;
    static constexpr size_t smallRequestBytes = 64U << 10;
    // A request makes progress when so many bytes of it have arrived. A caller that sends less within stallTime makes
    // way for others at the limit.
    static constexpr size_t progressBytes = 4U << 10;
    static constexpr duration stallTime = std::chrono::seconds(1);

    class account;

    connection_budget(const connection_limits& limits, const clock& time);

    // Makes room for a new connection; returns false if it must be refused.
    bool admit();
    // The system had no descriptor for a new connection: closes the connection that has been idle longest.
    void onAcceptFailed();

    // Closes the connections whose callers have gone longest without reading until the limit is kept.
    void closeStalledReaders();
    bool responsesExceedLimit() const { return m_responseBytes > m_limits.responseBytes; }

    const connection_limits& limits() const { return m_limits; }
    size_t connections() const { return m_connections; }
    size_t requestBytes() const { return m_requestBytes; }
    size_t responseBytes() const { return m_responseBytes; }
    uint64_t count(limit_action action) const { return m_counts[static_cast<size_t>(action)]; }

private:
    // Ordered by the time of the last change or progress; the first has waited longest.
    using account_list = std::list<account*>;

    void record(limit_action action) { ++m_counts[static_cast<size_t>(action)]; }
    bool fits(size_t additional, size_t total) const;
    bool hasStalled(const account& account) const;
    // Of the requests that arrive and hold bytes, the one that has gone longest without progress; null if none has
    // stalled. Refusing one that holds nothing would free no memory.
    account* longestStalledHolder() const;
    bool closeLongestIdle();

    connection_limits m_limits;
    const clock& m_time;
    size_t m_connections = 0;
    size_t m_requestBytes = 0;
    size_t m_responseBytes = 0;
    account_list m_idle;
    // Their responses are complete and have not been read. Closing them would cut the responses.
    account_list m_answered;
    account_list m_receiving;
    account_list m_running;
    account_list m_unread;
    std::array<uint64_t, limitActionCount> m_counts {};
};

// The part of one connection. The budget must outlive it.
class connection_budget::account {
public:
    account(connection_budget& budget, limited_connection& owner);
    ~account();
    account(const account&) = delete;
    account& operator=(const account&) = delete;

    // Between two requests, or behind the last response.
    void setIdle();
    void setReceiving();
    // The request has arrived; it is not refused any more.
    void setRunning() { moveTo(m_budget.m_running); }

    // Bytes of the request that arrived since the last call.
    void recordReceived(size_t bytes);

    // Sets the bytes held for the request; returns false and keeps the former number if the limit is reached.
    bool holdRequest(size_t bytes);
    // Sets the bytes held, also beyond the limit; returns whether the limit is kept.
    bool holdReadAhead(size_t bytes);
    // Sets the unread bytes of the response. progress: the caller has read some.
    void holdResponse(size_t bytes, bool progress);

private:
    friend class connection_budget;

    static size_t charged(size_t bytes) { return bytes > includedBytes ? bytes : 0; }
    void moveTo(account_list& list);
    void setRequestBytes(size_t bytes);

    connection_budget& m_budget;
    limited_connection& m_owner;
    account_list* m_list;
    account_list::iterator m_position;
    account_list::iterator m_unreadPosition;
    time_point m_lastProgress;
    size_t m_unrecordedBytes = 0;
    size_t m_requestBytes = 0;
    size_t m_responseBytes = 0;
};

} // namespace pollen
