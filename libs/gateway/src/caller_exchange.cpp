#include "caller_exchange.h"

#include <base/digest.h>

namespace pollen {

namespace {

constexpr duration retryAfterTeamLimit = std::chrono::seconds(1);
// Another instance can accept the request at once.
constexpr duration retryAfterStopping = std::chrono::milliseconds(50);
constexpr duration retryAfterLogOutage = std::chrono::seconds(5);

} // namespace

caller_exchange::caller_exchange(
    gateway_dependencies& dependencies, std::shared_ptr<server_request> request, request_id id)
    : m_dependencies(dependencies)
    , m_request(std::move(request))
    , m_id(std::move(id))
    , m_start(dependencies.time.now())
{
}

caller_exchange::~caller_exchange()
{
    if (m_isCountedForTeam)
        m_dependencies.tables.removeTeamRequest(m_team);
}

void caller_exchange::start(std::function<void()> onEnd)
{
    m_onEnd = std::move(onEnd);
    m_request->setHangUpCallback([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && !self->ended())
            self->onCallerDisconnected();
    });
    try {
        begin();
    } catch (const request_error& exception) {
        replyWithError(exception.response());
    }
}

void caller_exchange::endWithInstance()
{
    const auto self = shared_from_this();
    if (!ended())
        onInstanceStops();
}

void caller_exchange::admit(const team_name& team, const class_name& requestClass, duration timeLeft)
{
    m_team = team;
    m_class = requestClass;
    const auto handle = m_dependencies.tables.findTeam(team);
    const team_row& row = m_dependencies.tables.team(*handle);
    if (row.ownRequests >= row.entry->maximumRequests)
        throw request_error({ error_kind::TooManyRequests, run_state::NotRun,
            "the team has as many requests running as it may", retryAfterTeamLimit });
    if (m_dependencies.bills.isFull())
        throw request_error({ error_kind::Overloaded, run_state::NotRun, "too many bills wait for the platform's log",
            retryAfterLogOutage });
    if (m_dependencies.stopsAt && m_start + timeLeft > *m_dependencies.stopsAt)
        throw request_error({ error_kind::Overloaded, run_state::NotRun,
            "this instance stops before the request's deadline", retryAfterStopping });
    m_dependencies.tables.addTeamRequest(team);
    m_isCountedForTeam = true;
    m_dependencies.retries.onRequest();
}

void caller_exchange::replyWithError(const api_error& error)
{
    const http_response response = toResponse(error, m_id);
    m_request->reply(response.status, response.headers, response.body);
    recordStep("refused", error.message);
    end(toText(error.kind));
}

void caller_exchange::end(const std::string& outcome)
{
    if (ended())
        return;
    if (outcome == outcomeOk)
        m_dependencies.metrics.forTeamAndClass(m_team, m_class).answered.Increment();
    else
        m_dependencies.metrics.countRequest(m_team, m_class, outcome);
    m_dependencies.log.write(log_level::Info, "request",
        { { "request", m_id.text() }, { "team", m_team.text() }, { "class", m_class.text() }, { "target", m_target },
            { "server", m_server.text() }, { "reason", m_reason }, { "outcome", outcome },
            { "ms", std::chrono::duration<double, std::milli>(elapsed()).count() } });
    std::exchange(m_onEnd, nullptr)();
}

void caller_exchange::recordStep(const std::string& event, const std::string& detail)
{
    m_dependencies.journal.add(m_id, { m_dependencies.time.wallMilliseconds(), event, detail });
}

duration caller_exchange::elapsed() const { return m_dependencies.time.now() - m_start; }

http_headers caller_exchange::answerHeaders(run_state run) const
{
    return { { "X-Request-Id", m_id.text() }, { "X-Pollen-Run", toText(run) } };
}

std::string caller_exchange::billId(const std::string& scope, const std::string& idempotencyKey) const
{
    if (idempotencyKey.empty())
        return m_id.text();
    return sha256Hex(m_team.text() + "\n" + scope + "\n" + idempotencyKey);
}

} // namespace pollen
