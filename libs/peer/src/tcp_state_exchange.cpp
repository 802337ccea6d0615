#include <peer/tcp_state_exchange.h>

#include <base/error.h>
#include <base/socket_address.h>
#include <cerrno>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <map>
#include <peer/state_frame.h>

namespace pollen {

namespace {

constexpr int listenBacklog = 64;
constexpr size_t maximumConnections = 128;
// Maximum idle time of a connection in either direction.
constexpr time_t idleTimeoutSeconds = 2;
// A connection carries one request and one reply. A peer that sends or takes them in small pieces gains no more time.
constexpr duration maximumLifetime = std::chrono::seconds(8);
// Limit for the frames that are being received or sent, over all connections.
constexpr size_t maximumHeldBytes = 16U << 20;

} // namespace

struct tcp_state_exchange::details {
    details(event_loop& eventLoop, std::string sharedSecret, logger& logger, endpoint listenAddress)
        : loop(eventLoop)
        , secret(std::move(sharedSecret))
        , log(logger)
        , address(std::move(listenAddress))
    {
    }

    event_loop& loop;
    std::string secret;
    logger& log;
    endpoint address;
    evconnlistener* listener = nullptr;
    state_source source = [](const std::string&) { return std::string(); };
    std::map<connection*, std::unique_ptr<connection>> connections;
    // Bytes of the frames that are being received or sent.
    size_t heldBytes = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    // Destroys a connection from the loop, as the call may come from the connection's own callback.
    void destroyLater(connection* which)
    {
        loop.post([this, which, stillAlive = std::weak_ptr<bool>(alive)] {
            if (!stillAlive.expired())
                connections.erase(which);
        });
    }
};

// An outgoing or incoming connection: carries one request and its reply.
class tcp_state_exchange::connection {
public:
    // callback: set for a client connection, empty for a server connection.
    connection(details& owner, bufferevent* events, state_callback callback)
        : m_owner(owner)
        , m_events(events)
        , m_callback(std::move(callback))
        , m_lifetime(owner.loop, [this] { finish(std::nullopt); })
    {
        m_lifetime.startOnce(maximumLifetime);
        const timeval idle { idleTimeoutSeconds, 0 };
        bufferevent_set_timeouts(m_events, &idle, &idle);
        const auto onRead = [](bufferevent*, void* self) { static_cast<connection*>(self)->receive(); };
        const auto onEvent = [](bufferevent*, short what, void* self) {
            if (!(what & BEV_EVENT_CONNECTED))
                static_cast<connection*>(self)->finish(std::nullopt);
        };
        bufferevent_setcb(m_events, onRead, nullptr, onEvent, this);
        m_outputCallback = evbuffer_add_cb(bufferevent_get_output(m_events), onOutput, this);
        bufferevent_enable(m_events, EV_READ | EV_WRITE);
    }

    ~connection()
    {
        evbuffer_remove_cb_entry(bufferevent_get_output(m_events), m_outputCallback);
        m_owner.heldBytes -= m_heldBytes;
        bufferevent_free(m_events);
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    void send(const state_frame& frame)
    {
        const std::string bytes = encodeStateFrame(frame, m_owner.secret);
        bufferevent_write(m_events, bytes.data(), bytes.size());
    }

private:
    bool isServer() const { return !m_callback; }

    static void onOutput(evbuffer*, const evbuffer_cb_info*, void* self)
    {
        static_cast<connection*>(self)->updateHeldBytes();
    }

    void updateHeldBytes()
    {
        const size_t held = m_received.size() + evbuffer_get_length(bufferevent_get_output(m_events));
        m_owner.heldBytes += held - m_heldBytes;
        m_heldBytes = held;
    }

    void checkHeldBytes(size_t additional) const
    {
        if (m_owner.heldBytes + additional > maximumHeldBytes)
            throw datagram_error("too many bytes are held for all peers");
    }

    void receive()
    {
        evbuffer* input = bufferevent_get_input(m_events);
        const size_t before = m_received.size();
        m_received.resize(before + evbuffer_get_length(input));
        evbuffer_remove(input, m_received.data() + before, m_received.size() - before);
        updateHeldBytes();
        try {
            if (m_hasFrame)
                throw datagram_error("bytes follow the frame");
            checkHeldBytes(0);
            const size_t maximumBytes = isServer() ? maximumStateRequestBytes : maximumStateBytes;
            const auto frame = extractStateFrame(m_received, m_owner.secret, maximumBytes);
            if (!frame)
                return;
            m_hasFrame = true;
            updateHeldBytes();
            handle(*frame);
        } catch (const datagram_error& problem) {
            m_owner.log.write(log_level::Warning, "state_exchange_refused", { { "detail", problem.what() } });
            finish(std::nullopt);
        }
    }

    void handle(const state_frame& frame)
    {
        if (isServer() != frame.isRequest)
            throw datagram_error("unexpected frame: request instead of reply, or reply instead of request");
        if (!isServer()) {
            finish(frame.state.empty() ? std::nullopt : std::optional(frame.state));
            return;
        }
        const state_frame reply { false, m_owner.source(frame.state) };
        checkHeldBytes(reply.state.size());
        send(reply);
    }

    void finish(const std::optional<std::string>& state)
    {
        if (m_finished)
            return;
        m_finished = true;
        bufferevent_disable(m_events, EV_READ | EV_WRITE);
        if (m_callback)
            m_owner.loop.post([callback = m_callback, state] { callback(state); });
        m_owner.destroyLater(this);
    }

    details& m_owner;
    bufferevent* m_events;
    evbuffer_cb_entry* m_outputCallback;
    state_callback m_callback;
    timer m_lifetime;
    std::string m_received;
    size_t m_heldBytes = 0;
    // The frame of the peer has been received; nothing may follow it.
    bool m_hasFrame = false;
    bool m_finished = false;
};

tcp_state_exchange::tcp_state_exchange(
    event_loop& loop, const endpoint& listenAddress, std::string secret, logger& logger)
    : m_details(new details(loop, std::move(secret), logger, listenAddress))
{
    const auto onAccept = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* argument) {
        auto* owner = static_cast<details*>(argument);
        bufferevent* events = bufferevent_socket_new(owner->loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
        if (owner->connections.size() >= maximumConnections) {
            bufferevent_free(events);
            return;
        }
        auto accepted = std::make_unique<connection>(*owner, events, nullptr);
        connection* key = accepted.get();
        owner->connections.emplace(key, std::move(accepted));
    };
    socket_address address = toSocketAddress(listenAddress);
    constexpr unsigned flags = LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_CLOSE_ON_FREE;
    m_details->listener = evconnlistener_new_bind(
        loop.base(), onAccept, m_details.get(), flags, listenBacklog, address.get(), static_cast<int>(address.length));
    if (!m_details->listener)
        throw system_error("cannot listen for peers on " + listenAddress.text(), errno);
    socket_address bound;
    getsockname(evconnlistener_get_fd(m_details->listener), bound.get(), &bound.length);
    m_details->address = toEndpoint(bound);
}

tcp_state_exchange::~tcp_state_exchange() { evconnlistener_free(m_details->listener); }

void tcp_state_exchange::fetch(const endpoint& peer, const std::string& request, state_callback callback)
{
    socket_address address = toSocketAddress(peer);
    bufferevent* events = bufferevent_socket_new(m_details->loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    auto client = std::make_unique<connection>(*m_details, events, std::move(callback));
    connection* key = client.get();
    m_details->connections.emplace(key, std::move(client));
    key->send({ true, request });
    bufferevent_socket_connect(events, address.get(), static_cast<int>(address.length));
}

void tcp_state_exchange::setSource(state_source source) { m_details->source = std::move(source); }

const endpoint& tcp_state_exchange::address() const { return m_details->address; }

} // namespace pollen
