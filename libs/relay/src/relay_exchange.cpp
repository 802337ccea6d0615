#include "relay_exchange.h"

#include "request_hash.h"
#include "request_target.h"

#include <algorithm>

namespace pollen {

namespace {

// Connections within a region take a few milliseconds.
constexpr duration probeTimeout = std::chrono::milliseconds(250);
constexpr duration connectTimeout = std::chrono::milliseconds(400);
// A call that must not run twice goes over a kept connection only when that was in use a moment ago.
constexpr duration freshIdle = std::chrono::milliseconds(1000);
constexpr duration longestIdle = std::chrono::seconds(4);
// Bytes waiting for a slow caller above which reading from the server pauses.
constexpr size_t streamBufferBytes = 256U << 10;
// The shortest time that is worth sending a request for.
constexpr duration shortestSend = std::chrono::milliseconds(5);
// Bytes of an event that is not complete, and of an answer that is not passed on.
constexpr size_t largestEvent = 256U << 10;
constexpr size_t largestDiscarded = 64U << 10;
constexpr duration retryAfterFull = std::chrono::milliseconds(400);

// How long a request waits for the first view of the fleet: within what callers allow for their request to be read.
constexpr duration longestViewWait = std::chrono::milliseconds(300);
// What a full server needs to work off a part of its queue; doubled each time.
constexpr duration firstRoomPause = std::chrono::milliseconds(60);

// A larger model that has been asked in vain so often, the first model included, is not asked again.
constexpr uint32_t attemptsBeforeFallBack = 3;
// Attempts beyond those that the route allows, for servers that are gone or full.
constexpr uint32_t mostVainAttempts = 3;

constexpr int statusOk = 200;
constexpr int firstServerError = 500;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

} // namespace

relay_exchange::relay_exchange(relay_dependencies& dependencies, std::shared_ptr<server_request> request)
    : m_dependencies(dependencies)
    , m_request(std::move(request))
    , m_start(dependencies.time.now())
    , m_body(dependencies.answerMemory)
    , m_firstByteTimer(dependencies.usualLatency, dependencies.rollouts, dependencies.rolloutSystem)
{
}

relay_exchange::~relay_exchange() { releaseServer(); }

void relay_exchange::start(std::function<void()> onEnd)
{
    m_onEnd = std::move(onEnd);
    m_traits = m_dependencies.protocol.readRequest(m_request->request());
    m_request->setHangUpCallback([self = shared_from_this()] { self->onCallerGone(); });
    proceed();
}

void relay_exchange::proceed()
{
    const time_point now = m_dependencies.time.now();
    m_admission = admit(m_dependencies, m_request->request(), m_traits, m_start);
    // A daemon that has just started knows its fleet in a moment; its callers need not come back for that.
    m_awaitsView = m_admission.refused && m_admission.refused->viewMissing && now - m_start < longestViewWait;
    if (m_awaitsView)
        return;
    if (m_admission.refused) {
        refuse(m_admission.refused->status, m_admission.refused->type, m_admission.refused->retryAfter);
        return;
    }
    attempt();
}

void relay_exchange::tick(time_point now)
{
    if (m_awaitsView) {
        proceed();
        return;
    }
    if (m_sendAgainAt && now >= *m_sendAgainAt) {
        m_sendAgainAt.reset();
        attempt();
        return;
    }
    m_firstByteTimer.tick(now);
    // What may not be sent again gains nothing from knowing.
    if (!m_exchange || m_paused || !m_admission.route->mayRepeat() || !m_silence.isDue(now))
        return;
    m_silence.ask();
    m_dependencies.probe.startProbe(m_serverAddress, probeTimeout,
        [weak = weak_from_this(), attempt = m_attempts, &time = m_dependencies.time](probe_result result) {
            const auto self = weak.lock();
            if (!self || !self->m_exchange || self->m_attempts != attempt)
                return;
            if (result == probe_result::Accepted)
                self->m_silence.reachable(time.now());
            else
                self->onServerUnreachable();
        });
}

void relay_exchange::abandon()
{
    m_onEnd = nullptr;
    m_awaitsView = false;
    m_sendAgainAt.reset();
    m_exchange.reset();
    releaseServer();
    m_body.clear();
    m_request->setHangUpCallback(nullptr);
}

bool relay_exchange::isLargestModel() const
{
    return m_traits.anyModel && m_model > 0 && m_model + 1 == m_admission.route->models.size();
}

std::string relay_exchange::teamName() const { return m_admission.team ? m_admission.team->name.text() : ""; }

uint32_t relay_exchange::expectedTokens() const { return m_traits.expectedTokens.value_or(m_traits.outputTokens); }

duration relay_exchange::timeLeft() const { return m_admission.deadline - m_dependencies.time.now(); }

void relay_exchange::attempt()
{
    const time_point now = m_dependencies.time.now();
    if (timeLeft() < shortestSend) {
        giveUp("no_time_left");
        return;
    }
    placement_request placement = makePlacementRequest(m_dependencies, *m_admission.route, m_traits, m_model, m_start);
    placement.excluded = m_tried;
    const relay_service* service = m_admission.configuration->findService(placement.service);
    if (!service) {
        giveUp("no_such_service");
        return;
    }
    if (!std::exchange(m_countedForRepeats, true))
        m_dependencies.repeats.onRequest(placement.service, now);
    server_table& servers = m_dependencies.state.servers();
    auto choice = m_dependencies.servers.choose(placement, servers, *service, now);
    if (!choice && !placement.onlyVersion.empty()) {
        // The new version has no server that takes work yet, or no longer.
        placement.onlyVersion = {};
        placement.onlyServers.clear();
        choice = m_dependencies.servers.choose(placement, servers, *service, now);
    }
    if (!choice && !m_tried.empty()) {
        waitForRoom(placement, *service);
        return;
    }
    if (!choice) {
        giveUp("no_server");
        return;
    }
    if (service->engine)
        m_dependencies.servers.recordSent(
            servers.row(choice->server).entry.id, placement, service->engine->cacheTokens);
    send(*choice, placement);
}

// Every server has had the request. One that turned it away has room again when it has worked off some of its queue;
// sending again at once would only add to what it has to turn away.
void relay_exchange::waitForRoom(placement_request placement, const relay_service& service)
{
    const time_point now = m_dependencies.time.now();
    placement.excluded.clear();
    const server_table& servers = m_dependencies.state.servers();
    const auto choice = m_dependencies.servers.choose(placement, servers, service, now);
    if (!choice) {
        giveUp("no_server");
        return;
    }
    // Spread, so that those who were turned away together do not return together.
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    const duration pause = std::max(
        std::chrono::duration_cast<duration>(firstRoomPause * (1 << m_roomWaits) * spread(m_dependencies.random)),
        servers.row(choice->server).unavailableUntil - now);
    if (timeLeft() < pause + shortestSend) {
        giveUp("no_room_in_time");
        return;
    }
    ++m_roomWaits;
    m_tried.clear();
    m_sendAgainAt = now + pause;
}

void relay_exchange::send(const placement_choice& choice, const placement_request& placement)
{
    server_table& servers = m_dependencies.state.servers();
    const server_row& row = servers.row(choice.server);
    m_server = choice.server;
    m_serverId = row.entry.id;
    m_serverAddress = row.entry.address;
    m_serverStarted = row.started;
    m_service = placement.service;
    m_version = row.entry.versions.empty() ? version_name() : row.entry.versions.front().version;
    m_sent = m_dependencies.time.now();
    m_answer = {};
    m_status = 0;
    m_discard = false;
    m_discarded = 0;
    m_underTrialLoad = !placement.onlyServers.empty() && !placement.parts.empty();
    m_dependencies.rolloutSystem.countSent(subject());
    m_firstByteTimer.start({ subject(), m_model, choice.unreadTokens, m_underTrialLoad || isMoving() }, m_sent);
    m_unreadTokens = choice.unreadTokens;
    ++m_attempts;
    m_tried.push_back(choice.server);
    m_history.addAttempt(m_sent - m_start, m_serverId, placement.model, choice.wait);
    servers.addRequest(choice.server);
    servers.addUnreadTokens(choice.server, m_unreadTokens);
    m_dependencies.sessions.recordUse(sessionKey(m_traits), m_version, m_sent);
    const rollout_row* rollout = m_dependencies.rollouts.find(m_service);
    m_countsAsOther = rollout && rollout->order.target != m_version;
    if (m_countsAsOther)
        m_dependencies.rolloutSystem.addOtherVersionRequest(m_service);
    m_dependencies.metrics.countSend(m_service.text());
    send_order order;
    order.server = m_serverId;
    order.timeLeft = timeLeft();
    m_silence.start(m_sent, choice.wait, order.timeLeft);
    if (m_admission.team)
        order.team = m_admission.team->name;
    order.model = placement.model;
    order.urgency = std::clamp(
        m_admission.team && m_admission.team->priority ? *m_admission.team->priority : m_admission.route->priority, 0,
        9);
    if (m_streamStarted)
        order.lastEvent = m_events.lastEvent();
    exchange_options options;
    options.timeout = order.timeLeft;
    options.connectTimeout = std::min(connectTimeout, order.timeLeft);
    options.maximumIdleTime = m_admission.route->mayRepeat() ? longestIdle : freshIdle;
    options.echoHeader = m_dependencies.protocol.requestIdHeader();
    options.echoValue = m_traits.id.text();
    m_exchange = m_dependencies.client.start(
        m_serverAddress, m_dependencies.protocol.toServer(m_request->request(), order), options, *this);
}

// Attempts that reached no server, or that a server turned away, are bounded as well, but more generously.
bool relay_exchange::mayTryAgain() const
{
    return m_runs < m_admission.route->maximumAttempts
        && m_attempts < m_admission.route->maximumAttempts + mostVainAttempts && timeLeft() > shortestSend;
}

void relay_exchange::onHead(int status, const http_headers& headers)
{
    m_silence.hear(m_dependencies.time.now());
    m_status = status;
    m_answer = m_dependencies.protocol.readAnswer(status, headers);
    server_table& servers = m_dependencies.state.servers();
    const time_point now = m_dependencies.time.now();
    if (m_answer.load) {
        servers.reportLoad(*m_server, m_answer.load->running + m_answer.load->waiting, false);
        servers.reportSlowdown(*m_server, m_answer.load->slowdown, now);
    }
    servers.removeUnreadTokens(*m_server, std::exchange(m_unreadTokens, 0));
    if (m_answer.otherInstance) {
        servers.reportFailure(*m_server, now);
        m_dependencies.servers.forget(m_serverId);
    }
    const bool notRun = m_answer.notRun || m_answer.otherInstance;
    if (!notRun) {
        m_run = run_knowledge::MayHaveRun;
        ++m_runs;
        m_firstByteTimer.stop(now);
    }
    const bool failed = status >= firstServerError;
    m_discard = notRun || m_streamStarted || (failed && m_admission.route->mayRepeat() && mayTryAgain());
    if (m_streamStarted && status == statusOk)
        m_discard = false;
    if (!m_discard && !m_streamStarted && tryEscalation())
        return;
    if (!m_discard && !m_streamStarted)
        m_headers = m_dependencies.protocol.toCaller(headers);
}

// Asks the largest model when this one doubts its own answer, nothing of it has reached the caller, and the largest is
// expected to begin within the latency objective and to end before the deadline.
bool relay_exchange::tryEscalation()
{
    if (!m_traits.anyModel || m_model + 1 >= m_admission.route->models.size() || m_status != statusOk || m_anyAnswer)
        return false;
    if (!m_answer.confidence || *m_answer.confidence >= m_dependencies.escalation.sufficientConfidence()
        || !mayTryAgain())
        return false;
    const size_t model = std::exchange(m_model, m_admission.route->models.size() - 1);
    const time_point now = m_dependencies.time.now();
    placement_request placement = makePlacementRequest(m_dependencies, *m_admission.route, m_traits, m_model, m_start);
    const relay_service* service = m_admission.configuration->findService(placement.service);
    const auto choice = service
        ? m_dependencies.servers.choose(placement, m_dependencies.state.servers(), *service, now)
        : std::nullopt;
    const duration left = m_admission.route->latencyObjective - (now - m_start);
    const duration answering = m_dependencies.largestPace.estimate(placement.service, expectedTokens());
    const bool worthIt = choice && choice->wait + answering < timeLeft()
        && m_dependencies.escalation.shouldEscalate(*m_answer.confidence, choice->wait, left);
    if (!worthIt || !takeRepeat(placement.service)) {
        m_model = model;
        return false;
    }
    escalate(*choice, placement);
    return true;
}

void relay_exchange::escalate(const placement_choice& choice, const placement_request& placement)
{
    // The run is cancelled at once: it must not go on writing.
    m_exchange.reset();
    releaseServer();
    noteAttemptEnd("escalated");
    m_tried.clear();
    m_lastReason = "escalated";
    const relay_service* service = m_admission.configuration->findService(placement.service);
    m_dependencies.servers.recordSent(
        m_dependencies.state.servers().row(choice.server).entry.id, placement, service->engine->cacheTokens);
    send(choice, placement);
}

// The smallest model may be asked again when the largest could not answer.
bool relay_exchange::canFallBack() const
{
    return m_model > 0 && !m_anyAnswer && !m_streamStarted && m_admission.route->mayRepeat() && mayTryAgain();
}

void relay_exchange::fallBack()
{
    m_anyAnswer = true;
    m_model = 0;
    m_tried.clear();
    m_lastReason = "fell_back";
    attempt();
}

void relay_exchange::onData(std::string_view bytes)
{
    m_silence.hear(m_dependencies.time.now());
    if (m_discard) {
        m_discarded += bytes.size();
        if (m_discarded > largestDiscarded)
            cutAnswer();
        return;
    }
    if (!isStreamAnswer()) {
        if (!m_body.append(bytes))
            cutAnswer();
        return;
    }
    const std::string events = m_events.take(bytes);
    if (m_events.rest().size() > largestEvent) {
        cutAnswer();
        return;
    }
    if (!events.empty())
        passEvents(events);
}

// What has been read says enough, or more than the daemon can hold.
void relay_exchange::cutAnswer()
{
    const auto self = shared_from_this();
    m_exchange.reset();
    const bool notRun = m_answer.notRun || m_answer.otherInstance;
    if (!notRun) {
        m_dependencies.state.servers().reportFailure(*m_server, m_dependencies.time.now());
        countAnswer(false);
    }
    releaseServer();
    m_events.dropRest();
    m_body.clear();
    tryAgain(notRun ? "not_run" : "answer_too_large", true);
}

void relay_exchange::passEvents(const std::string& events)
{
    if (!m_streamStarted) {
        m_streamStarted = true;
        m_firstByte = m_dependencies.time.now();
        if (m_traits.anyModel)
            m_dependencies.escalation.countAnswer(m_firstByte - m_start <= m_admission.route->latencyObjective);
        m_dependencies.metrics.observeFirstByte(m_admission.route->name, teamName(), m_firstByte - m_start);
        m_request->startStream(m_status, m_headers);
    }
    m_request->sendPart(events);
    if (m_paused || m_request->unsentBytes() < streamBufferBytes)
        return;
    m_paused = true;
    m_exchange->pauseReading();
    m_request->callWhenSent([self = shared_from_this()] {
        self->m_paused = false;
        self->m_silence.hear(self->m_dependencies.time.now());
        if (self->m_exchange)
            self->m_exchange->resumeReading();
    });
}

void relay_exchange::onFinished(const exchange_result& result)
{
    const auto self = shared_from_this();
    m_dependencies.loop.post([exchange = std::shared_ptr<exchange>(std::move(m_exchange))] {});
    if (!result.ok()) {
        onBroken(result);
        return;
    }
    const server_handle server = *m_server;
    releaseServer();
    if (m_answer.notRun || m_answer.otherInstance) {
        tryAgain("not_run", true);
        return;
    }
    m_dependencies.state.servers().reportSuccess(server);
    m_dependencies.crashes.addAnswer(m_admission.fingerprint, m_dependencies.time.wallMilliseconds());
    countAnswer(m_status < firstServerError);
    if (m_discard) {
        tryAgain("server_error", true);
        return;
    }
    finishAnswer();
}

bool relay_exchange::isMoving() const
{
    const rollout_row* rollout = m_dependencies.rollouts.find(m_service);
    return rollout && rollout->moveStarted;
}

rollout_subject relay_exchange::subject() const
{
    return { m_service, m_version, m_underTrialLoad ? rollout_evidence::underLoad : m_admission.route->name };
}

// A request that has failed once often fails wherever it is sent again; only its first answer says something of a
// version.
void relay_exchange::countAnswer(bool good)
{
    if (!std::exchange(m_failed, m_failed || !good))
        m_dependencies.rolloutSystem.countAnswer(subject(), good);
}

void relay_exchange::countPace()
{
    if (m_streamStarted && isLargestModel())
        m_dependencies.largestPace.count(m_service, expectedTokens(), m_dependencies.time.now() - m_firstByte);
}

void relay_exchange::finishAnswer()
{
    if (isStreamAnswer() || m_streamStarted) {
        if (!m_events.rest().empty() || !m_streamStarted)
            passEvents(m_events.rest());
        m_request->endStream();
        countPace();
    } else {
        m_dependencies.metrics.observeFirstByte(
            m_admission.route->name, teamName(), m_dependencies.time.now() - m_start);
        m_request->reply(m_status, m_headers, m_body.text());
    }
    const bool answered = m_status < firstServerError;
    if (!answered)
        m_lastReason = "server_error";
    end(answered ? "answered" : "server_error");
}

void relay_exchange::onBroken(const exchange_result& result)
{
    const time_point now = m_dependencies.time.now();
    const bool timedOut = result.failure == exchange_failure::TimedOut;
    server_table& servers = m_dependencies.state.servers();
    if (result.failure == exchange_failure::ConnectFailed)
        servers.reportUnreachable(*m_server, now);
    else
        servers.reportFailure(*m_server, now);
    releaseServer();
    m_events.dropRest();
    m_body.clear();
    if (result.failure != exchange_failure::ConnectFailed) {
        m_run = run_knowledge::MayHaveRun;
        m_runs += result.responseStarted ? 0 : 1;
        countAnswer(false);
        if (result.refused)
            suspectEnd("connection_lost");
        else if (timedOut && m_status == 0)
            suspectEnd("timed_out");
    }
    if (timedOut) {
        countPace();
        noteAttemptEnd("timed_out");
        giveUp("timed_out");
        return;
    }
    tryAgain(toText(result.failure), result.failure != exchange_failure::ConnectFailed);
}

void relay_exchange::onServerUnreachable()
{
    m_exchange.reset();
    m_dependencies.state.servers().reportUnreachable(*m_server, m_dependencies.time.now());
    releaseServer();
    m_events.dropRest();
    m_body.clear();
    m_run = run_knowledge::MayHaveRun;
    m_runs += m_status == 0 ? 1 : 0;
    suspectEnd("unreachable");
    tryAgain("server_unreachable", true);
}

// Goes on with another server if the request may run there, or ends.
void relay_exchange::tryAgain(const char* reason, bool arrived)
{
    noteAttemptEnd(reason);
    m_lastReason = reason;
    if (m_run != run_knowledge::NotRun && !m_admission.route->mayRepeat())
        m_obstacle = "may_have_run";
    else if (m_dependencies.serverEnds.mayNotRunAgain(m_admission.fingerprint))
        m_obstacle = "request_breaks_servers";
    else if (!mayTryAgain())
        m_obstacle = "no_attempt_left";
    // What has not reached a server is no repeat.
    else if (arrived && !takeRepeat(m_service))
        m_obstacle = "repeats_spent";
    else
        m_obstacle = "";
    if (*m_obstacle) {
        giveUp(reason);
        return;
    }
    if (m_attempts < attemptsBeforeFallBack || !canFallBack())
        attempt();
    else
        fallBack();
}

bool relay_exchange::takeRepeat(const service_name& service)
{
    const bool taken = m_dependencies.repeats.take(service, m_dependencies.time.now());
    m_dependencies.metrics.countRepeat(service.text(), taken ? "sent" : "denied");
    return taken;
}

void relay_exchange::suspectEnd(const char* sign)
{
    m_dependencies.serverEnds.suspect(
        { m_admission.fingerprint, m_traits.id, m_serverId, m_serverAddress, m_service, sign, m_serverStarted });
}

void relay_exchange::giveUp(const char* reason)
{
    if (canFallBack() && takeRepeat(m_service)) {
        fallBack();
        return;
    }
    m_lastReason = reason;
    if (m_streamStarted) {
        m_request->abort();
        end("stream_broken");
        return;
    }
    if (m_run == run_knowledge::NotRun) {
        refuse(statusUnavailable, reason, retryAfterFull);
        return;
    }
    const bool late = timeLeft() < shortestSend;
    refuse(late ? statusGatewayTimeout : statusBadGateway, reason);
}

void relay_exchange::refuse(int status, const char* type, std::optional<duration> retryAfter)
{
    const char* run = m_run == run_knowledge::NotRun ? "not_run" : "unknown";
    http_headers headers { { "Content-Type", "application/json" } };
    if (retryAfter) {
        // Spread, so that those who were refused together do not return together.
        std::uniform_real_distribution<double> spread(0.5, 1.5);
        headers.emplace_back("Retry-After", std::to_string(toSeconds(*retryAfter) * spread(m_dependencies.random)));
    }
    m_request->reply(status, headers, std::string("{\"error\":{\"run\":\"") + run + "\",\"type\":\"" + type + "\"}}\n");
    m_lastReason = type;
    end("refused");
}

void relay_exchange::onCallerGone()
{
    const auto self = shared_from_this();
    m_awaitsView = false;
    m_sendAgainAt.reset();
    m_exchange.reset();
    releaseServer();
    end("caller_gone");
}

void relay_exchange::noteAttemptEnd(const char* reason)
{
    m_history.endAttempt(m_dependencies.time.now() - m_start, reason);
}

void relay_exchange::releaseServer()
{
    if (!m_server)
        return;
    server_table& servers = m_dependencies.state.servers();
    servers.removeUnreadTokens(*m_server, std::exchange(m_unreadTokens, 0));
    servers.removeRequest(*std::exchange(m_server, std::nullopt));
    if (m_countsAsOther)
        m_dependencies.rolloutSystem.removeOtherVersionRequest(m_service);
    m_countsAsOther = false;
}

void relay_exchange::end(const std::string& outcome)
{
    if (!m_onEnd)
        return;
    const time_point now = m_dependencies.time.now();
    noteAttemptEnd(outcome.c_str());
    m_dependencies.metrics.countOutcome(
        m_admission.route ? m_admission.route->name : "", teamName(), outcome, m_lastReason);
    const bool good = outcome == "answered";
    log_budget& budget = good ? m_dependencies.logBudget : m_dependencies.failureLogBudget;
    if (budget.take(now)) {
        m_dependencies.log.write(good ? log_level::Info : log_level::Warning, "request_ended",
            { { "request", m_traits.id.text() }, { "route", m_admission.route ? m_admission.route->name : "" },
                { "outcome", outcome }, { "reason", m_lastReason }, { "status", m_status },
                { "server", m_serverId.text() }, { "attempts", static_cast<int64_t>(m_attempts) },
                { "history", m_history.text() }, { "obstacle", m_obstacle },
                { "fingerprint", fingerprintText(m_admission.fingerprint) }, { "team", teamName() },
                { "session", m_traits.session }, { "parts", static_cast<int64_t>(m_traits.parts.size()) },
                { "ms", toMilliseconds(now - m_start) },
                { "configuration",
                    m_admission.configuration ? m_admission.configuration->configuration().version : 0 } });
    }
    const auto onEnd = std::exchange(m_onEnd, nullptr);
    onEnd();
}

} // namespace pollen
