#include "service_exchange.h"

#include "caller_identity.h"

#include <algorithm>
#include <base/digest.h>

namespace pollen {

namespace {

constexpr duration retryAfterNoServer = std::chrono::seconds(1);
constexpr duration retryAfterUnknownOutcome = std::chrono::seconds(2);
constexpr duration retryAfterLogOutage = std::chrono::seconds(5);

} // namespace

service_exchange::service_exchange(gateway_dependencies& dependencies, std::shared_ptr<server_request> request,
    request_id id, service_name service, std::string target)
    : caller_exchange(dependencies, std::move(request), std::move(id))
    , m_service(std::move(service))
    , m_servicePath(std::move(target))
{
}

service_exchange::~service_exchange() { releaseServer(); }

void service_exchange::begin()
{
    const http_request& request = m_request->request();
    const fleet_tables& tables = m_dependencies.tables;
    const team_handle handle = authenticate(request, tables);
    const team_entry& team = *tables.team(handle).entry;
    const service_entry* service = tables.document()->findService(m_service);
    if (!service)
        throw request_error(
            { error_kind::UnknownService, run_state::NotRun, "there is no service '" + m_service.text() + "'" });
    if (std::find(team.services.begin(), team.services.end(), m_service) == team.services.end())
        throw request_error({ error_kind::NotAllowed, run_state::NotRun, "the team may not use this service" });
    m_idempotencyKey = idempotencyKey(request);
    const duration timeLeft
        = requestedDeadline(request, service->timeout, m_dependencies.settings.limits.requestTimeout);
    admit(team.name, class_name("service"), timeLeft);
    m_deadline = m_start + timeLeft;
    m_target = "service:" + m_service.text();
    m_cost = service->costPerCall;
    const std::string path(targetPath(m_servicePath));
    m_repeatable = isIdempotentMethod(request.method) && !isNonRepeatable(*service, request.method, path);
    if (m_repeatable || m_idempotencyKey.empty())
        attempt();
    else
        claim();
}

void service_exchange::claim()
{
    const http_request& request = m_request->request();
    m_claimKey = billId(m_target, m_idempotencyKey);
    const std::string fingerprint = sha256Hex(request.method + "\n" + m_servicePath + "\n" + request.body);
    m_dependencies.claims.claim(m_claimKey, fingerprint, m_id,
        [weak = weak_from_this(), this](claim_outcome outcome, const recorded_answer* answer) {
            const auto self = weak.lock();
            if (self && !ended())
                onClaim(outcome, answer);
        });
}

void service_exchange::onClaim(claim_outcome outcome, const recorded_answer* answer)
{
    recordStep("claim", toText(outcome));
    switch (outcome) {
    case claim_outcome::Granted:
        attempt();
        return;
    case claim_outcome::Answered:
        replay(*answer);
        return;
    case claim_outcome::OwnedElsewhere:
        replyWithError({ error_kind::OutcomeUnknown, run_state::Unknown,
            "another request with this key may have run and has no recorded answer", retryAfterUnknownOutcome });
        return;
    case claim_outcome::KeyReused:
        replyWithError({ error_kind::IdempotencyKeyReused, run_state::NotRun,
            "this idempotency key was used for a different call" });
        return;
    case claim_outcome::Unavailable:
        replyWithError({ error_kind::ClaimUnavailable, run_state::NotRun,
            "the call could not be claimed in the platform's log", retryAfterLogOutage });
        return;
    }
}

void service_exchange::replay(const recorded_answer& answer)
{
    if (!answer.bodyKept) {
        replyWithError({ error_kind::AnswerNotKept, run_state::Ran, "the call ran; its answer was too large to keep" });
        return;
    }
    http_headers headers = answerHeaders(run_state::Ran);
    headers.emplace_back("Content-Type", answer.contentType);
    headers.emplace_back("X-Pollen-Replayed", "true");
    m_request->reply(answer.status, headers, answer.body);
    end("replayed");
}

void service_exchange::attempt()
{
    fleet_tables& tables = m_dependencies.tables;
    const time_point now = m_dependencies.time.now();
    const auto server
        = leastOutstanding(tables.serversOf(m_service), tables.servers(), m_failedServers, now, m_dependencies.random);
    if (!server || now >= m_deadline) {
        replyWithFailure(backend_failure::NotReached);
        return;
    }
    const server_row& row = tables.servers().row(*server);
    m_server = row.entry.id;
    m_currentServer = server;
    tables.servers().addRequest(*server);
    ++m_attempts;
    m_dependencies.metrics.countRouted(m_target);
    recordStep("sent", m_server.text());
    const http_request& request = m_request->request();
    service_call call { m_id, request.method, m_servicePath, std::string(findHeader(request.headers, "Content-Type")),
        request.body, m_idempotencyKey, !m_repeatable, m_deadline - now };
    m_call = m_dependencies.service.call(row.entry.address, call,
        [weak = weak_from_this(), this](const service_answer* answer, std::optional<backend_failure> failure) {
            const auto self = weak.lock();
            if (self)
                onCallFinished(answer, failure);
        });
}

void service_exchange::onCallFinished(const service_answer* answer, std::optional<backend_failure> failure)
{
    const server_handle server = *m_currentServer;
    releaseServer();
    m_dependencies.loop.post([call = std::shared_ptr<service_handle>(std::move(m_call))] {});
    if (answer) {
        m_dependencies.tables.servers().reportSuccess(server);
        onAnswered(*answer);
        return;
    }
    if (*failure != backend_failure::Busy)
        m_dependencies.tables.servers().reportFailure(server, m_dependencies.time.now());
    m_failedServers.push_back(server);
    onFailed(*failure);
}

void service_exchange::onAnswered(const service_answer& answer)
{
    if (!m_claimKey.empty())
        m_dependencies.claims.recordAnswer(m_claimKey, m_id, { answer.status, answer.contentType, answer.body, true });
    bill bill;
    bill.id = billId(m_target, m_idempotencyKey);
    bill.request = m_id;
    bill.team = m_team;
    bill.requestClass = m_class;
    bill.target = m_target;
    bill.cost = m_cost;
    bill.timeMilliseconds = m_dependencies.time.wallMilliseconds();
    team_class_metrics& teamClassMetrics = m_dependencies.metrics.forTeamAndClass(m_team, m_class);
    teamClassMetrics.cost.Increment(m_cost);
    m_dependencies.bills.record(bill, [self = shared_from_this(), this, answer, &teamClassMetrics] {
        if (ended())
            return;
        teamClassMetrics.latency.Observe(toSeconds(elapsed()));
        http_headers headers = answerHeaders(run_state::Ran);
        headers.emplace_back("Content-Type", answer.contentType);
        m_request->reply(answer.status, headers, answer.body);
        end(outcomeOk);
    });
}

void service_exchange::onFailed(backend_failure failure)
{
    recordStep("failed", m_server.text() + ": " + toText(failure));
    m_certainlyNotRun = m_certainlyNotRun && certainlyNotRun(failure);
    const bool repeatable = m_repeatable || certainlyNotRun(failure);
    const bool attemptsLeft = m_attempts < static_cast<size_t>(m_dependencies.settings.limits.maximumAttempts);
    if (!repeatable || !attemptsLeft || !m_dependencies.retries.take()) {
        replyWithFailure(failure);
        return;
    }
    m_dependencies.metrics.countRetry(toText(failure));
    attempt();
}

void service_exchange::replyWithFailure(backend_failure failure)
{
    if (m_certainlyNotRun) {
        if (!m_claimKey.empty())
            m_dependencies.claims.release(m_claimKey, m_id);
        replyWithError({ error_kind::NoServerAvailable, run_state::NotRun, "no server of this service takes calls now",
            retryAfterNoServer });
        return;
    }
    const bool timedOut = failure == backend_failure::TimedOut;
    replyWithError({ timedOut ? error_kind::BackendTimedOut : error_kind::BackendFailed, run_state::Unknown,
        std::string("the call may have run: ") + toText(failure) });
}

void service_exchange::onCallerDisconnected()
{
    // A non-repeatable call continues, so that its answer can be replayed when the caller repeats the request.
    if (!m_repeatable && m_attempts > 0) {
        recordStep("caller_gone", "the call goes on");
        return;
    }
    m_dependencies.claims.cancel(m_id);
    m_call.reset();
    releaseServer();
    end("cancelled");
}

void service_exchange::onInstanceStops()
{
    recordStep("failed", "this instance stops");
    if (m_attempts == 0)
        m_dependencies.claims.cancel(m_id);
    m_certainlyNotRun = m_certainlyNotRun && !m_call;
    m_call.reset();
    releaseServer();
    replyWithFailure(backend_failure::ConnectionLost);
}

void service_exchange::releaseServer()
{
    if (m_currentServer)
        m_dependencies.tables.servers().removeRequest(*std::exchange(m_currentServer, std::nullopt));
}

} // namespace pollen
