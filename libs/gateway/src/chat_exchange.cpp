#include "chat_exchange.h"

#include "caller_identity.h"

#include <algorithm>
#include <base/digest.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace pollen {

namespace {

constexpr duration retryAfterNoServer = std::chrono::seconds(1);
constexpr double tokensPerCostUnit = 1000;
constexpr const char* contentTypeEventStream = "text/event-stream";
constexpr const char* contentTypeJson = "application/json";
constexpr std::string_view closingEvent = "data: [DONE]\n\n";

// Maps a text to a uniformly distributed number in [0, 1) that is the same in every daemon.
double hashToUnitInterval(const std::string& text)
{
    constexpr int mantissaBits = 53;
    return std::ldexp(static_cast<double>(XXH3_64bits(text.data(), text.size()) >> (64 - mantissaBits)), -mantissaBits);
}

error_kind toKind(route_outcome outcome)
{
    switch (outcome) {
    case route_outcome::NothingAllowed:
        return error_kind::NotAllowed;
    case route_outcome::QualityUnreachable:
        return error_kind::QualityUnreachable;
    case route_outcome::DeadlineUnreachable:
        return error_kind::DeadlineUnreachable;
    case route_outcome::SessionConflict:
        return error_kind::SessionConflict;
    default:
        return error_kind::NoServerAvailable;
    }
}

} // namespace

chat_exchange::~chat_exchange() { releaseServer(); }

void chat_exchange::begin()
{
    const http_request& request = m_request->request();
    const fleet_tables& tables = m_dependencies.tables;
    const team_handle team = authenticate(request, tables);
    const class_handle requestClass = requestedClass(request, tables, team);
    m_idempotencyKey = idempotencyKey(request);
    m_chat = parseChatRequest(request.body);
    const duration timeLeft = requestedDeadline(
        request, tables.requestClass(requestClass).deadline, m_dependencies.settings.limits.requestTimeout);
    admit(tables.team(team).entry->name, tables.requestClass(requestClass).name, timeLeft);
    m_deadline = m_start + timeLeft;
    m_teamClassMetrics = &m_dependencies.metrics.forTeamAndClass(m_team, m_class);
    m_isRatingSample = m_dependencies.ratings && m_dependencies.ratings->shouldSample(m_start);
    readSession();
    const version_ref& requested = m_chat.requestedVersion;
    const auto& versions = tables.versions();
    const bool known
        = requested.model.empty() || std::any_of(versions.begin(), versions.end(), [&](const version_row& row) {
              return row.entry->ref.model == requested.model
                  && (requested.version.empty() || row.entry->ref.version == requested.version);
          });
    if (!known)
        throw request_error(
            { error_kind::UnknownModel, run_state::NotRun, "there is no model '" + requested.text() + "'" });
    attempt();
}

// The header X-Pollen-Session holds "new" or the token returned with the previous answer of the session.
void chat_exchange::readSession()
{
    const std::string token(findHeader(m_request->request().headers, "X-Pollen-Session"));
    if (token.empty())
        return;
    if (token == "new") {
        m_session = session { m_id.text(), m_team, {} };
        return;
    }
    m_session = decodeSession(token, m_dependencies.settings.sessionSecret);
    if (!m_session || m_session->team != m_team)
        throw request_error({ error_kind::InvalidSession, run_state::NotRun, "the session token is not valid" });
}

route_request chat_exchange::makeRouteRequest() const
{
    const fleet_tables& tables = m_dependencies.tables;
    const auto team = tables.findTeam(m_team);
    const auto requestClass = tables.findClass(m_class);
    // A configuration applied between two attempts may have removed either.
    if (!team || !requestClass)
        throw request_error({ error_kind::NotAllowed, runState(), "the team or the class is no longer configured" });
    route_request request;
    request.team = *team;
    request.requestClass = *requestClass;
    request.requestedVersion = m_chat.requestedVersion;
    if (m_session && !m_session->version.model.empty())
        request.sessionVersion = m_session->version;
    request.promptTokens = m_chat.promptTokens;
    request.outputTokens = m_chat.outputTokens;
    request.timeLeft = m_deadline - m_dependencies.time.now();
    request.rolloutPoint = hashToUnitInterval(m_session ? m_session->id : m_id.text());
    request.excluded = m_failedServers;
    return request;
}

void chat_exchange::attempt()
{
    const route_decision decision = m_dependencies.policy.decide(
        makeRouteRequest(), m_dependencies.tables, m_dependencies.time.now(), m_dependencies.random);
    recordDecision(decision);
    if (decision.outcome == route_outcome::Chosen)
        callEngine(decision);
    else
        replyWithRouteError(decision);
}

void chat_exchange::recordDecision(const route_decision& decision)
{
    journal_step step { m_dependencies.time.wallMilliseconds(), "decided", "", std::nullopt };
    step.decision = journal_decision { m_dependencies.tables.document(), decision, {} };
    if (decision.outcome == route_outcome::Chosen)
        step.decision->server = m_dependencies.tables.servers().row(decision.server).entry.id;
    m_dependencies.journal.add(m_id, std::move(step));
}

void chat_exchange::replyWithRouteError(const route_decision& decision)
{
    api_error error { toKind(decision.outcome), runState(),
        std::string("no version can serve this request: ") + toText(decision.outcome) };
    if (error.kind == error_kind::NoServerAvailable)
        error.retryAfter = retryAfterNoServer;
    replyWithError(error);
}

void chat_exchange::callEngine(const route_decision& decision)
{
    fleet_tables& tables = m_dependencies.tables;
    const version_entry& version = *tables.version(decision.version).entry;
    const server_row& server = tables.servers().row(decision.server);
    m_version = version.ref;
    m_inputCost = version.inputCost;
    m_outputCost = version.outputCost;
    m_target = version.ref.text();
    m_server = server.entry.id;
    m_reason = toText(decision.reason);
    if (m_session && !m_session->version.model.empty() && m_session->version != m_version)
        m_sessionChangeReason = "version_unavailable";
    ++m_attempts;
    tables.servers().addRequest(decision.server);
    m_currentServer = decision.server;
    m_dependencies.metrics.countRouted(m_target);
    engine_request request;
    request.id = m_id;
    request.version = m_version;
    request.body = m_chat.body;
    request.streaming = m_chat.streaming;
    request.priority = tables.document()->findClass(m_class)->priority;
    request.timeout = m_deadline - m_dependencies.time.now();
    m_call = m_dependencies.engine.generate(server.entry.address, request, *this);
}

void chat_exchange::releaseServer()
{
    if (m_currentServer)
        m_dependencies.tables.servers().removeRequest(*std::exchange(m_currentServer, std::nullopt));
}

void chat_exchange::onBytes(std::string_view bytes)
{
    const time_point now = m_dependencies.time.now();
    if (!m_lastBytesTime)
        m_teamClassMetrics->firstToken.Observe(toSeconds(now - m_start));
    else
        m_teamClassMetrics->betweenTokens.Observe(toSeconds(now - *m_lastBytesTime));
    m_lastBytesTime = now;
    m_eventsReceived += static_cast<uint64_t>(std::count(bytes.begin(), bytes.end(), '\n')) / 2;
    m_pendingBytes += bytes;
    if (m_isRatingSample)
        m_sampledAnswer += bytes;
    if (!m_chat.streaming || m_flushPosted)
        return;
    // Combines everything received in one iteration of the event loop into one write.
    m_flushPosted = true;
    m_dependencies.loop.post([weak = weak_from_this(), this] {
        const auto self = weak.lock();
        if (self && !ended())
            flush();
    });
}

void chat_exchange::startStream()
{
    if (m_streamStarted)
        return;
    m_streamStarted = true;
    m_request->startStream(200, makeChatAnswerHeaders(contentTypeEventStream));
}

void chat_exchange::flush()
{
    m_flushPosted = false;
    startStream();
    m_request->sendPart(m_pendingBytes);
    m_pendingBytes.clear();
    if (m_paused || !m_call || m_request->unsentBytes() < m_dependencies.settings.limits.streamBufferBytes)
        return;
    m_paused = true;
    m_call->pause();
    resumeWhenSent();
}

void chat_exchange::resumeWhenSent()
{
    m_request->callWhenSent([weak = weak_from_this(), this] {
        const auto self = weak.lock();
        if (!self || ended() || !m_call)
            return;
        m_paused = false;
        m_call->resume();
    });
}

void chat_exchange::onAnswered(const token_usage& usage)
{
    m_dependencies.tables.servers().reportSuccess(*m_currentServer);
    releaseServer();
    m_dependencies.loop.post([call = std::shared_ptr<engine_call>(std::move(m_call))] {});
    billOnce(usage, [weak = weak_from_this(), this] {
        const auto self = weak.lock();
        if (self && !ended())
            finishAnswer();
    });
}

void chat_exchange::finishAnswer()
{
    m_teamClassMetrics->latency.Observe(toSeconds(elapsed()));
    if (m_chat.streaming) {
        startStream();
        m_pendingBytes += closingEvent;
        m_request->sendPart(m_pendingBytes);
        m_request->endStream();
    } else {
        m_request->reply(200, makeChatAnswerHeaders(contentTypeJson), m_pendingBytes);
    }
    submitRatingSample();
    recordStep("answered", m_target);
    end(outcomeOk);
}

void chat_exchange::submitRatingSample() const
{
    if (!m_isRatingSample)
        return;
    m_dependencies.ratings->submit({ m_id, m_version, m_class, m_request->request().body, m_sampledAnswer });
}

void chat_exchange::onFailed(backend_failure failure, const std::string& detail)
{
    recordStep("failed", m_server.text() + ": " + toText(failure));
    const bool notRun = certainlyNotRun(failure) || failure == backend_failure::Rejected;
    m_certainlyNotRun = m_certainlyNotRun && notRun;
    const server_handle server = *m_currentServer;
    releaseServer();
    // This runs inside a callback of the call, so its destruction is deferred to the event loop.
    m_dependencies.loop.post([call = std::shared_ptr<engine_call>(std::move(m_call))] {});
    if (failure != backend_failure::Rejected && failure != backend_failure::Busy)
        m_dependencies.tables.servers().reportFailure(server, m_dependencies.time.now());
    m_failedServers.push_back(server);
    if (!canRetry(failure)) {
        failAnswer(failure, detail);
        return;
    }
    m_dependencies.metrics.countRetry(toText(failure));
    m_pendingBytes.clear();
    m_sampledAnswer.clear();
    m_eventsReceived = 0;
    try {
        attempt();
    } catch (const request_error& exception) {
        replyWithError(exception.response());
    }
}

// An answer may be generated again as long as nothing of the first one has been sent to the caller. A rejected request
// would be rejected by every server.
bool chat_exchange::canRetry(backend_failure failure)
{
    const bool mustNotRetry = m_streamStarted || failure == backend_failure::Rejected;
    if (mustNotRetry || m_attempts >= static_cast<size_t>(m_dependencies.settings.limits.maximumAttempts))
        return false;
    return m_dependencies.time.now() < m_deadline && m_dependencies.retries.take();
}

void chat_exchange::failAnswer(backend_failure failure, const std::string& detail)
{
    const api_error error = toError(failure, detail);
    if (!m_streamStarted) {
        replyWithError(error);
        return;
    }
    // The status line has been sent, so the error is sent as an event and the stream ends without [DONE].
    m_request->sendPart(m_pendingBytes + "event: error\ndata: " + toJson(error, m_id) + "\n\n");
    m_request->endStream();
    billOnce({ m_chat.promptTokens, m_eventsReceived }, [] {});
    end(toText(error.kind));
}

api_error chat_exchange::toError(backend_failure failure, const std::string& detail) const
{
    const run_state run = runState();
    if (failure == backend_failure::Rejected)
        return { error_kind::BackendRejected, run, detail };
    if (failure == backend_failure::TimedOut)
        return { error_kind::BackendTimedOut, run, "the answer did not arrive before the deadline" };
    if (certainlyNotRun(failure))
        return { error_kind::NoServerAvailable, run, std::string("the last server tried: ") + toText(failure),
            retryAfterNoServer };
    return { error_kind::BackendFailed, run, std::string("the last server tried: ") + toText(failure) };
}

void chat_exchange::onCallerDisconnected()
{
    m_call.reset();
    releaseServer();
    if (m_eventsReceived > 0)
        billOnce({ m_chat.promptTokens, m_eventsReceived }, [] {});
    recordStep("cancelled", "the caller hung up");
    end("cancelled");
}

void chat_exchange::onInstanceStops()
{
    m_certainlyNotRun = m_certainlyNotRun && !m_call;
    m_call.reset();
    releaseServer();
    recordStep("failed", "this instance stops");
    failAnswer(backend_failure::ConnectionLost, "this instance stops");
}

bill chat_exchange::makeBill(const token_usage& usage) const
{
    bill bill;
    bill.id = billId("chat", m_idempotencyKey);
    bill.request = m_id;
    bill.team = m_team;
    bill.requestClass = m_class;
    bill.target = m_target;
    bill.promptTokens = usage.promptTokens;
    bill.outputTokens = usage.outputTokens;
    bill.cost = (static_cast<double>(usage.promptTokens) * m_inputCost
                    + static_cast<double>(usage.outputTokens) * m_outputCost)
        / tokensPerCostUnit;
    bill.timeMilliseconds = m_dependencies.time.wallMilliseconds();
    return bill;
}

// The caller may disconnect while the bill for the complete answer is being replicated to a peer; that bill remains
// valid and no second one is recorded.
void chat_exchange::billOnce(const token_usage& usage, std::function<void()> onRecorded)
{
    if (m_billed)
        return;
    m_billed = true;
    const bill bill = makeBill(usage);
    m_teamClassMetrics->outputTokens.Increment(static_cast<double>(bill.outputTokens));
    m_teamClassMetrics->cost.Increment(bill.cost);
    m_dependencies.bills.record(bill, std::move(onRecorded));
}

http_headers chat_exchange::makeChatAnswerHeaders(const char* contentType) const
{
    http_headers headers = answerHeaders(run_state::Ran);
    headers.emplace_back("Content-Type", contentType);
    headers.emplace_back("X-Pollen-Model", m_version.model.text());
    headers.emplace_back("X-Pollen-Version", m_version.version.text());
    if (!m_session)
        return headers;
    const session kept { m_session->id, m_team, m_version };
    headers.emplace_back("X-Pollen-Session", encodeSession(kept, m_dependencies.settings.sessionSecret));
    if (!m_sessionChangeReason.empty())
        headers.emplace_back("X-Pollen-Session-Changed", m_sessionChangeReason);
    return headers;
}

} // namespace pollen
