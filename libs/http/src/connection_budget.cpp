#include <http/connection_budget.h>

namespace pollen {

namespace {

// Share of the request bytes that only small requests may use.
constexpr size_t smallRequestShare = 4;

} // namespace

const char* toText(limit_action action)
{
    switch (action) {
    case limit_action::IdleClosed:
        return "idle_closed";
    case limit_action::UnfinishedClosed:
        return "unfinished_closed";
    case limit_action::ConnectionRefused:
        return "connection_refused";
    case limit_action::RequestRefused:
        return "request_refused";
    case limit_action::UnfinishedRefused:
        return "unfinished_refused";
    case limit_action::ReaderClosed:
        return "reader_closed";
    case limit_action::AcceptFailed:
        return "accept_failed";
    }
    return "unknown";
}

connection_budget::connection_budget(const connection_limits& limits, const clock& time)
    : m_limits(limits)
    , m_time(time)
{
}

bool connection_budget::admit()
{
    if (m_connections < m_limits.maximumConnections || closeLongestIdle())
        return true;
    if (!m_receiving.empty() && hasStalled(*m_receiving.front())) {
        record(limit_action::UnfinishedClosed);
        m_receiving.front()->m_owner.closeAtLimit();
        return true;
    }
    if (!m_answered.empty() && hasStalled(*m_answered.front())) {
        record(limit_action::ReaderClosed);
        m_answered.front()->m_owner.closeAtLimit();
        return true;
    }
    record(limit_action::ConnectionRefused);
    return false;
}

void connection_budget::onAcceptFailed()
{
    record(limit_action::AcceptFailed);
    closeLongestIdle();
}

bool connection_budget::closeLongestIdle()
{
    if (m_idle.empty())
        return false;
    record(limit_action::IdleClosed);
    m_idle.front()->m_owner.closeAtLimit();
    return true;
}

void connection_budget::closeStalledReaders()
{
    while (responsesExceedLimit() && !m_unread.empty()) {
        record(limit_action::ReaderClosed);
        m_unread.front()->m_owner.closeAtLimit();
    }
}

bool connection_budget::fits(size_t additional, size_t total) const
{
    const size_t reserved = total > smallRequestBytes ? m_limits.requestBytes / smallRequestShare : 0;
    return m_requestBytes + additional <= m_limits.requestBytes - reserved;
}

connection_budget::account* connection_budget::longestStalledHolder() const
{
    for (account* receiving : m_receiving) {
        if (!hasStalled(*receiving))
            return nullptr;
        if (receiving->m_requestBytes > 0)
            return receiving;
    }
    return nullptr;
}

bool connection_budget::hasStalled(const account& account) const
{
    return m_time.now() - account.m_lastProgress >= stallTime;
}

connection_budget::account::account(connection_budget& budget, limited_connection& owner)
    : m_budget(budget)
    , m_owner(owner)
    , m_list(&budget.m_idle)
    , m_position(budget.m_idle.insert(budget.m_idle.end(), this))
    , m_lastProgress(budget.m_time.now())
{
    ++m_budget.m_connections;
}

connection_budget::account::~account()
{
    holdResponse(0, false);
    setRequestBytes(0);
    m_list->erase(m_position);
    --m_budget.m_connections;
}

void connection_budget::account::setIdle()
{
    if (m_responseBytes == 0) {
        moveTo(m_budget.m_idle);
        return;
    }
    m_lastProgress = m_budget.m_time.now();
    moveTo(m_budget.m_answered);
}

void connection_budget::account::setReceiving()
{
    m_lastProgress = m_budget.m_time.now();
    m_unrecordedBytes = 0;
    moveTo(m_budget.m_receiving);
}

void connection_budget::account::recordReceived(size_t bytes)
{
    m_unrecordedBytes += bytes;
    if (m_unrecordedBytes >= progressBytes)
        setReceiving();
}

bool connection_budget::account::holdRequest(size_t bytes)
{
    const size_t wanted = charged(bytes);
    while (wanted > m_requestBytes && !m_budget.fits(wanted - m_requestBytes, wanted)) {
        account* longest = m_budget.longestStalledHolder();
        if (!longest || longest == this) {
            m_budget.record(limit_action::RequestRefused);
            return false;
        }
        m_budget.record(limit_action::UnfinishedRefused);
        longest->m_owner.refuseUnfinished();
    }
    setRequestBytes(wanted);
    return true;
}

bool connection_budget::account::holdReadAhead(size_t bytes)
{
    setRequestBytes(charged(bytes));
    return m_budget.m_requestBytes <= m_budget.m_limits.requestBytes;
}

void connection_budget::account::holdResponse(size_t bytes, bool progress)
{
    const bool hadUnread = m_responseBytes > 0;
    m_budget.m_responseBytes = m_budget.m_responseBytes - m_responseBytes + bytes;
    m_responseBytes = bytes;
    account_list& unread = m_budget.m_unread;
    if (hadUnread && bytes == 0)
        unread.erase(m_unreadPosition);
    else if (!hadUnread && bytes > 0)
        m_unreadPosition = unread.insert(unread.end(), this);
    else if (hadUnread && progress)
        unread.splice(unread.end(), unread, m_unreadPosition);
    if (m_list == &m_budget.m_answered && (progress || bytes == 0))
        setIdle();
}

void connection_budget::account::moveTo(account_list& list)
{
    list.splice(list.end(), *m_list, m_position);
    m_list = &list;
}

void connection_budget::account::setRequestBytes(size_t bytes)
{
    m_budget.m_requestBytes = m_budget.m_requestBytes - m_requestBytes + bytes;
    m_requestBytes = bytes;
}

} // namespace pollen
