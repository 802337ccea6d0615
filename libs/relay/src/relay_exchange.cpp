#include "relay_exchange.h"

#include "answer_statements.h"
#include "request_target.h"
#include <scheduling/request_hash.h>

#include <algorithm>
#include <relay/response_head.h>

namespace pollen {

namespace {

// Connections within a region take a few milliseconds.
constexpr duration probeTimeout = std::chrono::milliseconds(250);
constexpr duration connectTimeout = std::chrono::milliseconds(400);
// Requests that must not run twice reuse a connection only if it was used within this time: the server may close a
// connection that has been idle for longer just as the request is sent.
constexpr duration maximumIdleNonRepeatable = std::chrono::milliseconds(1000);
constexpr duration maximumIdleRepeatable = std::chrono::seconds(4);
// Reading from the server pauses while more than this is unsent to a slow caller.
constexpr size_t streamBufferBytes = 256U << 10;
// Requests with less time left are not sent.
constexpr duration minimumTimeLeft = std::chrono::milliseconds(5);
// Limits for an incomplete event, and for an answer that is read but not forwarded.
constexpr size_t maximumEventBytes = 256U << 10;
constexpr size_t maximumDiscardedBytes = 64U << 10;
// Of what is left of a broken stream.
constexpr size_t maximumLoggedBytes = 64;
constexpr duration retryAfterFull = std::chrono::milliseconds(400);
constexpr const char* stoppingReason = "stopping";
constexpr const char* answerTooLargeReason = "answer_too_large";
constexpr const char* streamCutReason = "stream_cut";
constexpr const char* otherAnswerReason = "holds_other_answer";
constexpr const char* serverUnreachableReason = "server_unreachable";
constexpr const char* notRunReason = "not_run";
constexpr const char* unnamedRefusalReason = "unnamed_refusal";

// How long requests wait for the first fleet state after a start, or for a newer one. Callers allow at least this long
// for the reading of their request.
constexpr duration maximumFleetStateWait = std::chrono::milliseconds(300);
// Time in which a full server works off part of its queue. Doubles with each wait.
constexpr duration initialCapacityBackoff = std::chrono::milliseconds(60);

// After so many attempts on all models together, the request returns from a larger model to the smallest one.
constexpr uint32_t attemptsBeforeFallBack = 3;
// Attempts beyond the limit of the route, for servers that are unreachable or full.
constexpr uint32_t maximumExtraAttempts = 3;

// Servers for which a permit is asked for at a time.
constexpr size_t maximumPermitServers = 8;
constexpr const char* rateLimitedReason = "rate_limited";

constexpr int statusOk = 200;
constexpr int firstRedirectStatus = 300;
constexpr int statusRequestTimeout = 408;
constexpr int statusTooManyRequests = 429;
constexpr int firstServerErrorStatus = 500;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

bool isSuccess(int status) { return status >= statusOk && status < firstRedirectStatus; }

// Callers take these statuses as a promise that the request has not run. A server that means it says so in a header;
// its bare status is not passed on.
bool meansNotRun(int status)
{
    return status == statusRequestTimeout || status == statusTooManyRequests || status == statusUnavailable;
}

} // namespace

relay_exchange::relay_exchange(relay_dependencies& dependencies, std::shared_ptr<server_request> request)
    : m_dependencies(dependencies)
    , m_request(std::move(request))
    , m_traits(dependencies.protocol.readRequest(m_request->request()))
    , m_start(dependencies.time.now())
    , m_body(dependencies.answerMemory)
    , m_events(dependencies.protocol.eventExtensionField(), m_traits.callersLastEvent.value_or(0))
    , m_eventMemory(dependencies.answerMemory)
    , m_firstByteTimer(dependencies.usualLatency, dependencies.rollouts, dependencies.rolloutSystem)
    , m_paceTimer(dependencies.usualPace, dependencies.rollouts, dependencies.rolloutSystem)
    , m_slowAnswers(dependencies)
{
}

relay_exchange::~relay_exchange() { releaseServer(); }

void relay_exchange::start(std::function<void()> onEnd, std::optional<time_point> mustEndBy)
{
    m_onEnd = std::move(onEnd);
    m_mustEndBy = mustEndBy;
    m_request->setHangUpCallback([self = shared_from_this()] { self->onCallerGone(); });
    admitAndAttempt();
}

void relay_exchange::admitAndAttempt()
{
    const time_point now = m_dependencies.time.now();
    m_admission = admit(m_dependencies, m_request->request(), m_traits, m_start);
    // Waiting saves callers a retry.
    m_awaitsFleetState = m_admission.refused && m_admission.refused->awaitsFleetState
        && now - m_start < std::min(maximumFleetStateWait, m_traits.timeLeft.value_or(maximumFleetStateWait) / 2);
    if (m_awaitsFleetState)
        return;
    if (m_admission.refused) {
        if (m_admission.refused->deniedByConfiguration)
            m_dependencies.metrics.observeDenial(
                m_admission.refused->type, m_dependencies.state.configurationAge(m_start));
        refuse(m_admission.refused->status, m_admission.refused->type, m_admission.refused->retryAfter);
        return;
    }
    if (m_mustEndBy && m_admission.deadline > *m_mustEndBy) {
        refuse(statusUnavailable, stoppingReason, retryAfterStopping);
        return;
    }
    attempt();
}

void relay_exchange::tick(time_point now)
{
    if (m_awaitsFleetState) {
        admitAndAttempt();
        return;
    }
    if (m_retryAt && now >= *m_retryAt) {
        m_retryAt.reset();
        m_permitDenied = false;
        attempt();
        return;
    }
    m_firstByteTimer.tick(now);
    repeatIfSlow(now);
    // Requests that may not be repeated gain nothing from detecting a silent server early.
    if (!m_exchange || m_paused || !m_admission.route->mayRepeat() || !m_silence.isProbeDue(now))
        return;
    m_silence.onProbeStarted();
    m_dependencies.probe.startProbe(m_serverAddress, probeTimeout,
        [weak = weak_from_this(), attempt = m_attempts, &time = m_dependencies.time](probe_result result) {
            const auto self = weak.lock();
            if (!self || !self->m_exchange || self->m_attempts != attempt)
                return;
            if (result == probe_result::Accepted || (result == probe_result::Refused && self->isServerLeaving()))
                self->m_silence.onReachable(time.now());
            else
                self->onServerUnreachable();
        });
}

void relay_exchange::cancelAttempts()
{
    m_awaitsFleetState = false;
    m_awaitsPermit = false;
    m_retryAt.reset();
    m_exchange.reset();
    releaseServer();
}

void relay_exchange::endWithDaemon()
{
    const auto self = shared_from_this();
    cancelAttempts();
    discardAnswer(stoppingReason);
    m_lastReason = stoppingReason;
    if (m_streamStarted) {
        m_request->abort();
        end("stream_broken");
        return;
    }
    if (m_evidence.mayHaveRun())
        refuse(statusBadGateway, stoppingReason);
    else
        refuse(statusUnavailable, stoppingReason, retryAfterStopping);
}

void relay_exchange::abandon()
{
    m_onEnd = nullptr;
    cancelAttempts();
    m_body.clear();
    m_eventMemory.resize(0);
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
    if (timeLeft() < minimumTimeLeft) {
        failRequest("no_time_left");
        return;
    }
    placement_request placement = makePlacementRequest(m_dependencies, *m_admission.route, m_traits, m_model, m_start);
    placement.excluded = m_triedServers;
    const relay_service* service = m_admission.configuration->findService(placement.service);
    if (!service) {
        failRequest("no_such_service");
        return;
    }
    if (!std::exchange(m_countedForRepeats, true))
        m_dependencies.repeats.onRequest(placement.service, now);
    if (m_permitDenied)
        excludeLimitedServers(placement);
    const auto choice = chooseServer(placement, *service);
    if (!choice && !m_triedServers.empty()) {
        waitForCapacity(placement, *service);
        return;
    }
    if (!choice) {
        failRequest(m_permitDenied ? rateLimitedReason : "no_server");
        return;
    }
    if (hasRateLimit(choice->server)) {
        requestPermit(*choice, placement, *service);
        return;
    }
    send(*choice, placement);
}

std::optional<placement_choice> relay_exchange::chooseServer(placement_request& placement, const relay_service& service)
{
    const time_point now = m_dependencies.time.now();
    const server_table& servers = m_dependencies.state.servers();
    const auto choice = m_dependencies.servers.choose(placement, servers, service, now);
    if (choice || placement.onlyVersion.empty() || (m_permitDenied && hasUsedVersion(placement.onlyVersion)))
        return choice;
    placement.onlyVersion = {};
    placement.onlyServers.clear();
    return m_dependencies.servers.choose(placement, servers, service, now);
}

bool relay_exchange::hasUsedVersion(const version_name& version) const
{
    return m_dependencies.sessions.find(sessionKey(m_traits), m_start) == version;
}

bool relay_exchange::hasRateLimit(server_handle server) const
{
    return m_dependencies.rateLimits.limitOf(m_dependencies.state.servers().row(server).entry.id).has_value();
}

void relay_exchange::excludeLimitedServers(placement_request& placement) const
{
    if (m_dependencies.rateLimits.empty())
        return;
    for (uint32_t index = 0; index < m_dependencies.state.servers().rows().size(); ++index) {
        if (hasRateLimit({ index }))
            placement.excluded.push_back({ index });
    }
}

void relay_exchange::requestPermit(
    const placement_choice& first, placement_request placement, const relay_service& service)
{
    std::vector<instance_id> limited;
    std::optional<placement_choice> choice = first;
    while (choice && hasRateLimit(choice->server) && limited.size() < maximumPermitServers) {
        limited.push_back(m_dependencies.state.servers().row(choice->server).entry.id);
        placement.excluded.push_back(choice->server);
        choice = m_dependencies.servers.choose(
            placement, m_dependencies.state.servers(), service, m_dependencies.time.now());
    }
    m_awaitsPermit = true;
    m_dependencies.permits.request(
        limited, [weak = weak_from_this(), service = placement.service](const permit_decision& decision) {
            const auto self = weak.lock();
            if (!self || !std::exchange(self->m_awaitsPermit, false))
                return;
            self->m_dependencies.metrics.countPermit(service.text(), decision.server.has_value());
            self->onPermit(decision);
        });
}

void relay_exchange::onPermit(const permit_decision& decision)
{
    if (decision.server && sendWithPermit(*decision.server))
        return;
    m_permitDenied = true;
    m_permitWait = decision.wait;
    attempt();
}

bool relay_exchange::sendWithPermit(const instance_id& server)
{
    const auto handle = m_dependencies.state.servers().find(server);
    placement_request placement = makePlacementRequest(m_dependencies, *m_admission.route, m_traits, m_model, m_start);
    const relay_service* service = m_admission.configuration->findService(placement.service);
    if (!handle || !service || timeLeft() < minimumTimeLeft)
        return false;
    placement_request permitted = placement;
    permitted.onlyVersion = {};
    permitted.onlyServers = { *handle };
    const auto choice = chooseServer(permitted, *service);
    if (choice)
        send(*choice, placement);
    return choice.has_value();
}

// All servers have been tried. A server that rejected the request has capacity again after it has worked off part of
// its queue; an immediate retry would only add to its rejections.
void relay_exchange::waitForCapacity(placement_request placement, const relay_service& service)
{
    const time_point now = m_dependencies.time.now();
    placement.excluded.clear();
    if (m_permitDenied)
        excludeLimitedServers(placement);
    const server_table& servers = m_dependencies.state.servers();
    const auto choice = m_dependencies.servers.choose(placement, servers, service, now);
    if (!choice) {
        failRequest(m_permitDenied ? rateLimitedReason : "no_server");
        return;
    }
    // Jitter, so that requests that were rejected together do not retry together.
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    const duration pause = std::max(std::chrono::duration_cast<duration>(initialCapacityBackoff * (1 << m_capacityWaits)
                                        * spread(m_dependencies.random)),
        servers.row(choice->server).unavailableUntil - now);
    if (timeLeft() < pause + minimumTimeLeft) {
        failRequest("no_room_in_time");
        return;
    }
    ++m_capacityWaits;
    m_triedServers.clear();
    m_retryAt = now + pause;
}

void relay_exchange::send(const placement_choice& choice, const placement_request& placement)
{
    server_table& servers = m_dependencies.state.servers();
    const server_row& row = servers.row(choice.server);
    m_server = choice.server;
    m_serverId = row.entry.id;
    m_serverAddress = row.entry.address;
    m_serverStarted = row.processStartMilliseconds;
    m_service = placement.service;
    m_version = row.entry.versions.empty() ? version_name() : row.entry.versions.front().version;
    m_sentAt = m_dependencies.time.now();
    m_permitDenied = false;
    const relay_service* service = m_admission.configuration->findService(m_service);
    if (service && service->engine)
        m_dependencies.servers.recordSent(m_serverId, placement, service->engine->cacheTokens);
    m_answer = {};
    m_isRefusal = false;
    m_status = 0;
    m_discard = false;
    m_discardedBytes = 0;
    m_earlierEvents = m_events.completeEvents();
    m_firstByteTime = {};
    m_underTrialLoad = !placement.onlyServers.empty() && !placement.parts.empty();
    m_dependencies.rolloutSystem.countSent(subject());
    const bool hasUnusualLoad = m_underTrialLoad || isSwitchingVersion();
    m_firstByteTimer.start({ subject(), m_model, choice.unreadTokens, hasUnusualLoad }, m_sentAt);
    m_paceTimer.start(subject(), m_model, hasUnusualLoad);
    m_unreadTokens = choice.unreadTokens;
    ++m_attempts;
    m_evidence.beginAttempt();
    m_triedServers.push_back(choice.server);
    m_history.addAttempt(m_sentAt - m_start, m_serverId, placement.model, choice.wait);
    servers.addRequest(choice.server);
    servers.addPendingPromptTokens(choice.server, m_unreadTokens);
    m_dependencies.sessions.recordUse(sessionKey(m_traits), m_version, m_sentAt);
    const rollout_row* rollout = m_dependencies.rollouts.find(m_service);
    m_countsAsNonTarget = rollout && rollout->order.target != m_version;
    if (m_countsAsNonTarget)
        m_dependencies.rolloutSystem.addOtherVersionRequest(m_service);
    m_dependencies.metrics.countSend(m_service.text());
    if (m_dependencies.rateLimits.limitOf(m_serverId))
        m_dependencies.metrics.countLimitedSend(m_service.text());
    forwarding_parameters order;
    order.server = m_serverId;
    order.timeLeft = timeLeft();
    m_silence.start(m_sentAt, choice.wait, order.timeLeft);
    const relay_route& route = *m_admission.route;
    m_slowAnswers.start({ m_service, placement.model, m_serverId, choice.wait, m_start, route.latencyObjective,
                            m_admission.deadline, route.mayRepeat() },
        m_sentAt);
    if (m_admission.team)
        order.team = m_admission.team->name;
    order.model = placement.model;
    order.urgency = std::clamp(
        m_admission.team && m_admission.team->priority ? *m_admission.team->priority : m_admission.route->priority, 0,
        9);
    if (m_streamStarted)
        order.lastEvent = m_events.lastEventId();
    exchange_options options;
    options.timeout = order.timeLeft;
    options.connectTimeout = std::min(connectTimeout, order.timeLeft);
    options.maximumIdleTime = m_admission.route->mayRepeat() ? maximumIdleRepeatable : maximumIdleNonRepeatable;
    options.echoHeader = m_dependencies.protocol.requestIdHeader();
    options.echoValue = m_traits.id.text();
    m_exchange = m_dependencies.client.start(
        m_serverAddress, m_dependencies.protocol.makeServerRequest(m_request->request(), order), options, *this);
}

// Attempts that reached no server, or that a server rejected, have a limit of their own, which is higher.
bool relay_exchange::hasAttemptsLeft(uint32_t further) const
{
    return m_runs + further < m_admission.route->maximumAttempts
        && m_attempts < m_admission.route->maximumAttempts + maximumExtraAttempts && timeLeft() > minimumTimeLeft;
}

void relay_exchange::onHead(int status, const http_headers& headers)
{
    m_silence.onActivity(m_dependencies.time.now());
    m_status = status;
    m_answer = m_dependencies.protocol.readAnswer(status, headers);
    server_table& servers = m_dependencies.state.servers();
    const time_point now = m_dependencies.time.now();
    if (m_answer.load) {
        servers.reportLoad(*m_server, m_answer.load->running + m_answer.load->waiting, false);
        servers.reportSlowdown(*m_server, m_answer.load->slowdown, now);
    }
    servers.removePendingPromptTokens(*m_server, std::exchange(m_unreadTokens, 0));
    if (m_answer.misdirected) {
        servers.reportFailure(*m_server, now);
        m_dependencies.servers.forget(m_serverId);
    }
    recordStatements(m_dependencies, { *m_server, m_serverId, m_service, m_traits.id, m_sentAt }, m_answer, now);
    const bool claimsNotRun = claimsRefusal();
    // Without the id, the answer may have been written before the server read the request.
    m_isRefusal = claimsNotRun && findHeader(headers, m_dependencies.protocol.requestIdHeader()) == m_traits.id.text();
    if (!m_isRefusal)
        ++m_runs;
    if (!claimsNotRun) {
        m_firstByteTime = now - m_sentAt;
        m_firstByteTimer.stop(now);
        m_slowAnswers.stop(now, status < firstServerErrorStatus);
    } else if (!m_isRefusal) {
        m_exchange->closeWhenFinished();
    }
    const bool failed = status >= firstServerErrorStatus;
    m_discard = claimsNotRun || m_streamStarted || meansNotRun(status)
        || (failed && m_admission.route->mayRepeat() && hasAttemptsLeft());
    if (m_streamStarted && isStreamAnswer() && !claimsNotRun)
        m_discard = false;
    if (!m_discard && isSuccess(status) && !m_answer.isAuthentic) {
        stopAnswer("not_authentic");
        return;
    }
    if (!m_discard && isStreamAnswer() && m_answer.declaresNoStream) {
        stopAnswer(toText(stream_fault::OtherType));
        return;
    }
    if (!m_discard && !m_streamStarted && tryEscalation())
        return;
    if (!m_discard && !m_streamStarted)
        m_headers = m_dependencies.protocol.makeCallerHeaders(headers);
}

// Sends the request to the largest model if the current model reports low confidence, nothing of its answer has been
// forwarded, and the largest model is expected to begin within the latency objective and to finish before the deadline.
bool relay_exchange::tryEscalation()
{
    if (!m_traits.anyModel || m_model + 1 >= m_admission.route->models.size() || m_status != statusOk
        || m_acceptAnyConfidence)
        return false;
    if (!m_answer.confidence || *m_answer.confidence >= m_dependencies.escalation.sufficientConfidence()
        || !hasAttemptsLeft())
        return false;
    const size_t model = std::exchange(m_model, m_admission.route->models.size() - 1);
    const time_point now = m_dependencies.time.now();
    placement_request placement = makePlacementRequest(m_dependencies, *m_admission.route, m_traits, m_model, m_start);
    const relay_service* service = m_admission.configuration->findService(placement.service);
    // An escalation is a second request for one caller; servers at their limit are left to first ones.
    excludeLimitedServers(placement);
    const auto choice = service
        ? m_dependencies.servers.choose(placement, m_dependencies.state.servers(), *service, now)
        : std::nullopt;
    const duration left = m_admission.route->latencyObjective - (now - m_start);
    const duration answerDuration = m_dependencies.largestModelPace.estimate(placement.service, expectedTokens());
    const bool shouldEscalate = choice && choice->wait + answerDuration < timeLeft()
        && m_dependencies.escalation.shouldEscalate(*m_answer.confidence, choice->wait, left);
    if (!shouldEscalate || !takeRepeat(placement.service)) {
        m_model = model;
        return false;
    }
    m_triedServers.clear();
    sendInstead(*choice, placement, "escalated");
    return true;
}

void relay_exchange::sendInstead(const placement_choice& choice, const placement_request& placement, const char* reason)
{
    // Cancels the current run immediately, so that the server generates no further tokens.
    m_exchange.reset();
    releaseServer();
    recordAttemptEnd(reason);
    m_lastReason = reason;
    send(choice, placement);
}

void relay_exchange::repeatIfSlow(time_point now)
{
    // Servers that are no longer among the tried ones, as after an escalation, could get the request twice.
    if (!m_exchange || m_status != 0 || m_streamStarted || !m_slowAnswers.checkIsSlow(now)
        || m_triedServers.size() != m_attempts || !hasAttemptsLeft(1)
        || m_dependencies.crashDetector.mayNotRunAgain(m_admission.fingerprint, m_admission.parts))
        return;
    placement_request placement = makePlacementRequest(m_dependencies, *m_admission.route, m_traits, m_model, m_start);
    // Servers of other versions stop once a roll-out is complete.
    if (!placement.onlyVersion.empty() && placement.onlyVersion != m_version)
        return;
    placement.excluded = m_triedServers;
    placement.onlyVersion = m_version;
    excludeLimitedServers(placement);
    const auto choice = m_slowAnswers.chooseServer(placement, *m_admission.configuration, m_traits.id, now);
    if (!choice)
        return;
    // The cancelled attempt counts as a first byte that took at least this long.
    m_firstByteTimer.stop(now);
    ++m_runs;
    sendInstead(*choice, placement, "slow_answer");
}

// The request may return to the smallest model if a larger one could not answer.
bool relay_exchange::canFallBack() const
{
    return m_model > 0 && !m_acceptAnyConfidence && !m_streamStarted && m_admission.route->mayRepeat()
        && hasAttemptsLeft();
}

void relay_exchange::fallBack()
{
    m_acceptAnyConfidence = true;
    m_model = 0;
    m_triedServers.clear();
    m_lastReason = "fell_back";
    attempt();
}

void relay_exchange::onData(std::string_view bytes)
{
    m_silence.onActivity(m_dependencies.time.now());
    if (m_discard) {
        m_discardedBytes += bytes.size();
        if (m_discardedBytes > maximumDiscardedBytes)
            stopAnswer(answerTooLargeReason);
        return;
    }
    if (!isStreamAnswer()) {
        if (!m_body.append(bytes))
            stopAnswer(answerTooLargeReason);
        return;
    }
    const size_t eventsBefore = m_events.completeEvents();
    const std::string events = m_events.feed(bytes);
    m_paceTimer.addEvents(m_events.completeEvents() - eventsBefore, m_dependencies.time.now());
    if (!events.empty())
        forwardEvents(events);
    const size_t partialBytes = m_events.partialEvent().size();
    if (m_events.fault() != stream_fault::None)
        stopAnswer(toText(m_events.fault()));
    else if (partialBytes > maximumEventBytes || !m_eventMemory.resize(partialBytes))
        stopAnswer(answerTooLargeReason);
}

// Stops reading an answer that exceeds a size limit or is no answer. Of a rejection, the part that has been read is
// sufficient.
void relay_exchange::stopAnswer(const char* reason)
{
    const auto self = shared_from_this();
    m_exchange.reset();
    if (m_isRefusal)
        m_evidence.attemptWasRefused();
    else
        m_dependencies.state.servers().reportFailure(*m_server, m_dependencies.time.now());
    if (!claimsRefusal())
        countAnswer(false);
    releaseServer();
    discardAnswer(reason);
    retryOrFail(m_isRefusal ? notRunReason : reason, true);
}

void relay_exchange::forwardEvents(const std::string& events)
{
    if (!m_streamStarted) {
        m_streamStarted = true;
        m_firstByteAt = m_dependencies.time.now();
        if (m_traits.anyModel)
            m_dependencies.escalation.countAnswer(m_firstByteAt - m_start <= m_admission.route->latencyObjective);
        m_dependencies.metrics.observeFirstByte(m_admission.route->name, teamName(), m_firstByteAt - m_start);
        startCallersStream(!m_exchange->endsWithConnection());
    }
    m_request->sendPart(events);
    if (m_paused || m_request->unsentBytes() < streamBufferBytes)
        return;
    m_paused = true;
    m_exchange->pauseReading();
    m_request->callWhenSent([self = shared_from_this()] {
        self->m_paused = false;
        self->m_silence.onActivity(self->m_dependencies.time.now());
        if (self->m_exchange)
            self->m_exchange->resumeReading();
    });
}

void relay_exchange::startCallersStream(bool isFramed)
{
    m_isCallerFramed = isFramed;
    if (isFramed)
        m_request->startStream(m_status, m_headers);
    else
        m_request->startUnframedStream(m_status, m_headers);
}

void relay_exchange::onFinished(const exchange_result& result)
{
    const auto self = shared_from_this();
    m_dependencies.loop.post([exchange = std::shared_ptr<exchange>(std::move(m_exchange))] {});
    if (!result.ok()) {
        onExchangeFailed(result);
        return;
    }
    const server_handle server = *m_server;
    releaseServer();
    if (m_isRefusal) {
        m_evidence.attemptWasRefused();
        retryOrFail(notRunReason, true);
        return;
    }
    // Such an answer says nothing of the request, and nothing of how the server's version answers.
    if (claimsRefusal()) {
        m_dependencies.state.servers().reportFailure(server, m_dependencies.time.now());
        retryOrFail(unnamedRefusalReason, true);
        return;
    }
    const answer_end ended = answerEnd(result);
    if (!isWhole(ended)) {
        m_dependencies.state.servers().reportFailure(server, m_dependencies.time.now());
        const char* reason = isStreamAnswer() ? streamCutReason : otherAnswerReason;
        discardAnswer(reason);
        countAnswer(false);
        retryOrFail(reason, true);
        return;
    }
    m_dependencies.state.servers().reportSuccess(server);
    recordAnswerForCrashes();
    countAnswer(m_status < firstServerErrorStatus);
    if (m_discard) {
        retryOrFail("server_error", true);
        return;
    }
    finishAnswer(ended.body);
}

bool relay_exchange::claimsRefusal() const { return m_answer.notRun || m_answer.misdirected; }

// Before the first answer there may be no route yet.
bool relay_exchange::isStreamAnswer() const { return isSuccess(m_status) && m_admission.route->streaming; }

answer_end relay_exchange::answerEnd(const exchange_result& result) const
{
    answer_end end;
    if (result.ok())
        end.body = result.endedWithConnection ? body_end::Connection : body_end::Framed;
    end.holdsOtherAnswer = holdsResponseHead(m_body.text(), m_dependencies.protocol.requestIdHeader());
    end.isStream = !m_discard && isStreamAnswer();
    end.fault = m_events.fault();
    end.events = m_events.completeEvents() - m_earlierEvents;
    end.isWithinEvent = m_events.isWithinEvent();
    return end;
}

void relay_exchange::discardAnswer(const char* reason)
{
    if (!m_discard && isStreamAnswer())
        recordBrokenStream(reason);
    m_events.endRun();
    m_eventMemory.resize(0);
    m_body.clear();
}

void relay_exchange::recordBrokenStream(const char* reason)
{
    m_dependencies.metrics.countBrokenStream(m_service.text(), reason);
    if (!m_dependencies.failureLogBudget.take(m_dependencies.time.now()))
        return;
    m_dependencies.log.write(log_level::Warning, "stream_broken_off",
        { { "request", m_traits.id.text() }, { "server", m_serverId.text() }, { "version", m_version.text() },
            { "attempt", static_cast<int64_t>(m_attempts) }, { "reason", reason },
            { "events", static_cast<int64_t>(m_events.completeEvents() - m_earlierEvents) },
            { "last_event", static_cast<int64_t>(m_events.lastEventId()) },
            { "within_event", m_events.isWithinEvent() },
            { "rest", m_events.partialEvent().substr(0, maximumLoggedBytes) } });
}

void relay_exchange::recordAnswerForCrashes()
{
    const int64_t now = m_dependencies.time.wallMilliseconds();
    m_dependencies.crashes.addAnswer(m_admission.fingerprint, now);
    for (const uint64_t part : m_admission.parts)
        m_dependencies.crashes.addAnswer(part, now);
}

bool relay_exchange::isSwitchingVersion() const
{
    const rollout_row* rollout = m_dependencies.rollouts.find(m_service);
    return rollout && rollout->moveStarted;
}

rollout_subject relay_exchange::subject() const
{
    return { m_service, m_version, m_underTrialLoad ? rollout_evidence::underLoad : m_admission.route->name };
}

// A request that has failed once often fails on every server, so its attempts after the first failure do not
// count in the comparison of versions.
void relay_exchange::countAnswer(bool good)
{
    if (!std::exchange(m_hasFailed, m_hasFailed || !good))
        m_dependencies.rolloutSystem.countAnswer(subject(), good);
}

void relay_exchange::recordAnswerPace()
{
    if (m_streamStarted && isLargestModel())
        m_dependencies.largestModelPace.count(m_service, expectedTokens(), m_dependencies.time.now() - m_firstByteAt);
}

void relay_exchange::finishAnswer(body_end bodyEnd)
{
    const bool isUnframed = bodyEnd == body_end::Connection;
    if (isStreamAnswer() || m_streamStarted) {
        // Blank lines and comments may follow the last event.
        m_request->sendPart(m_events.partialEvent());
        m_paceTimer.stop();
        recordAnswerPace();
        // The last server did not say that this is the end, so a response that has begun with chunks gets no last one.
        if (isUnframed && m_isCallerFramed) {
            m_lastReason = "end_not_framed";
            m_request->abort();
            end("stream_broken");
            return;
        }
        m_request->endStream();
    } else {
        m_dependencies.metrics.observeFirstByte(
            m_admission.route->name, teamName(), m_dependencies.time.now() - m_start);
        if (isUnframed) {
            startCallersStream(false);
            m_request->sendPart(m_body.text());
            m_request->endStream();
        } else {
            m_request->reply(m_status, m_headers, m_body.text());
        }
    }
    const bool answered = m_status < firstServerErrorStatus;
    if (!answered)
        m_lastReason = "server_error";
    end(answered ? "answered" : "server_error");
}

void relay_exchange::onExchangeFailed(const exchange_result& result)
{
    const time_point now = m_dependencies.time.now();
    const bool timedOut = result.failure == exchange_failure::TimedOut;
    server_table& servers = m_dependencies.state.servers();
    if (result.connectionRefused)
        m_dependencies.rateLimits.warmUps().recordRefusedConnection(m_serverId, m_service, now);
    if (result.failure == exchange_failure::ConnectFailed)
        servers.reportUnreachable(*m_server, now);
    else
        servers.reportFailure(*m_server, now);
    releaseServer();
    discardAnswer(toText(result.failure));
    if (result.failure == exchange_failure::ConnectFailed) {
        m_evidence.attemptWasNotSent();
    } else {
        m_runs += result.responseStarted ? 0 : 1;
        countAnswer(false);
        if (result.refused)
            suspectCrash("connection_lost");
        else if (timedOut && m_status == 0)
            suspectCrash("timed_out");
    }
    if (timedOut) {
        recordAnswerPace();
        recordAttemptEnd("timed_out");
        failRequest("timed_out");
        return;
    }
    retryOrFail(toText(result.failure), result.failure != exchange_failure::ConnectFailed);
}

// Such a server takes no new connections and finishes what runs.
bool relay_exchange::isServerLeaving() const { return m_dependencies.state.servers().row(*m_server).leaving; }

bool relay_exchange::takeContinuation()
{
    placement_request placement = makePlacementRequest(m_dependencies, *m_admission.route, m_traits, m_model, m_start);
    placement.excluded = m_triedServers;
    const relay_service* service = m_admission.configuration->findService(placement.service);
    return service && hasAttemptsLeft()
        && !m_dependencies.crashDetector.mayNotRunAgain(m_admission.fingerprint, m_admission.parts)
        && chooseServer(placement, *service) && takeRepeat(m_service);
}

void relay_exchange::onServerUnreachable()
{
    // A probe is no proof: servers that have enough connections refuse new ones as well. A stream that no other server
    // can go on with has nothing to gain from being cancelled.
    if (m_streamStarted && !takeContinuation()) {
        m_silence.onReachable(m_dependencies.time.now());
        return;
    }
    m_exchange.reset();
    m_dependencies.state.servers().reportUnreachable(*m_server, m_dependencies.time.now());
    releaseServer();
    discardAnswer(serverUnreachableReason);
    m_runs += m_status == 0 ? 1 : 0;
    suspectCrash("unreachable");
    // For a stream that has begun, the repeat is taken already.
    retryOrFail(serverUnreachableReason, !m_streamStarted);
}

void relay_exchange::retryOrFail(const char* reason, bool arrived)
{
    recordAttemptEnd(reason);
    m_lastReason = reason;
    if (m_evidence.mayHaveRun() && !m_admission.route->mayRepeat())
        m_noRetryReason = "may_have_run";
    else if (m_dependencies.crashDetector.mayNotRunAgain(m_admission.fingerprint, m_admission.parts))
        m_noRetryReason = "request_breaks_servers";
    else if (!hasAttemptsLeft())
        m_noRetryReason = "no_attempt_left";
    // An attempt that did not reach a server needs no repeat allowance.
    else if (arrived && !takeRepeat(m_service))
        m_noRetryReason = "repeats_spent";
    else
        m_noRetryReason = "";
    if (*m_noRetryReason) {
        failRequest(reason);
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

void relay_exchange::suspectCrash(const char* sign)
{
    m_dependencies.crashDetector.suspect({ m_admission.fingerprint, m_admission.parts, m_traits.id, m_serverId,
        m_serverAddress, m_service, sign, m_serverStarted });
}

void relay_exchange::failRequest(const char* reason)
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
    if (!m_evidence.mayHaveRun()) {
        refuse(statusUnavailable, reason,
            std::max({ retryAfterFull, m_permitDenied ? m_permitWait : duration(0), serverPause() }));
        return;
    }
    const bool late = timeLeft() < minimumTimeLeft;
    refuse(late ? statusGatewayTimeout : statusBadGateway, reason);
}

duration relay_exchange::serverPause() const
{
    if (!m_admission.route)
        return duration(0);
    const placement_request placement
        = makePlacementRequest(m_dependencies, *m_admission.route, m_traits, m_model, m_start);
    const auto earliest = m_dependencies.state.servers().earliestReturn(placement.service);
    return earliest ? std::max(*earliest - m_dependencies.time.now(), duration(0)) : duration(0);
}

void relay_exchange::refuse(int status, const char* type, std::optional<duration> retryAfter)
{
    const char* run = m_evidence.mayHaveRun() ? "unknown" : "not_run";
    http_headers headers { { "Content-Type", "application/json" } };
    if (retryAfter) {
        // Jitter, so that callers that were refused together do not retry together.
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
    cancelAttempts();
    end("caller_gone");
}

void relay_exchange::recordAttemptEnd(const char* reason)
{
    m_history.endAttempt(m_dependencies.time.now() - m_start, reason);
}

void relay_exchange::releaseServer()
{
    if (!m_server)
        return;
    server_table& servers = m_dependencies.state.servers();
    servers.removePendingPromptTokens(*m_server, std::exchange(m_unreadTokens, 0));
    servers.removeRequest(*std::exchange(m_server, std::nullopt));
    if (m_countsAsNonTarget)
        m_dependencies.rolloutSystem.removeOtherVersionRequest(m_service);
    m_countsAsNonTarget = false;
}

void relay_exchange::end(const std::string& outcome)
{
    if (!m_onEnd)
        return;
    const time_point now = m_dependencies.time.now();
    recordAttemptEnd(outcome.c_str());
    m_dependencies.metrics.countOutcome(
        m_admission.route ? m_admission.route->name : "", teamName(), outcome, m_lastReason);
    const bool good = outcome == "answered";
    log_budget& budget = good ? m_dependencies.logBudget : m_dependencies.failureLogBudget;
    if (budget.take(now)) {
        m_dependencies.log.write(good ? log_level::Info : log_level::Warning, "request_ended",
            { { "request", m_traits.id.text() }, { "route", m_admission.route ? m_admission.route->name : "" },
                { "outcome", outcome }, { "reason", m_lastReason }, { "status", m_status },
                { "server", m_serverId.text() }, { "version", m_version.text() },
                { "first_byte_ms", toMilliseconds(m_firstByteTime) },
                { "events", static_cast<int64_t>(m_paceTimer.pace().events()) },
                { "stream_ms", toMilliseconds(m_paceTimer.pace().elapsed()) },
                { "attempts", static_cast<int64_t>(m_attempts) }, { "history", m_history.text() },
                { "obstacle", m_noRetryReason }, { "fingerprint", fingerprintText(m_admission.fingerprint) },
                { "team", teamName() }, { "session", m_traits.session },
                { "parts", static_cast<int64_t>(m_traits.parts.size()) }, { "ms", toMilliseconds(now - m_start) },
                { "configuration", m_admission.configuration ? m_admission.configuration->configuration().version : 0 },
                { "configuration_age_ms", toMilliseconds(m_dependencies.state.configurationAge(now)) } });
    }
    const auto onEnd = std::exchange(m_onEnd, nullptr);
    onEnd();
}

} // namespace pollen
