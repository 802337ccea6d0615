#pragma once

#include <base/random_source.h>
#include <base/socket_address.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <http/event_loop.h>
#include <http/http_message.h>
#include <map>
#include <random>
#include <set>

namespace pollen {

// A backend server over raw sockets that resets, freezes, answers late, twice or in part, and counts what it runs.
class hostile_server {
public:
    static constexpr int streamEvents = 6;

    hostile_server(event_loop& loop, random_source& random, std::string id)
        : m_loop(loop)
        , m_random(random)
        , m_id(std::move(id))
    {
        const auto onAccept = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
            static_cast<hostile_server*>(self)->accept(socket);
        };
        socket_address address = toSocketAddress({ "127.0.0.1", 0 });
        m_listener = evconnlistener_new_bind(
            loop.base(), onAccept, this, LEV_OPT_CLOSE_ON_FREE, 64, address.get(), static_cast<int>(address.length));
        socket_address bound;
        getsockname(evconnlistener_get_fd(m_listener), bound.get(), &bound.length);
        m_address = toEndpoint(bound);
    }
    ~hostile_server()
    {
        m_connections.clear();
        evconnlistener_free(m_listener);
    }
    hostile_server(const hostile_server&) = delete;
    hostile_server& operator=(const hostile_server&) = delete;

    const std::string& id() const { return m_id; }
    const endpoint& address() const { return m_address; }

    // How often the server has run each request, by its id.
    const std::map<std::string, int>& runs() const { return m_runs; }

    // A frozen server takes connections and bytes, and goes on with them later.
    void freeze(bool frozen)
    {
        m_frozen = frozen;
        (frozen ? evconnlistener_disable : evconnlistener_enable)(m_listener);
        for (const auto& connection : std::set(m_connections)) {
            if (frozen)
                continue;
            process(*connection);
            finishInput(*connection);
        }
    }

    static std::string streamEvent(int id)
    {
        return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
    }

private:
    struct connection {
        connection(hostile_server& owner, bufferevent* socketEvents)
            : server(owner)
            , events(socketEvents)
        {
        }
        ~connection() { bufferevent_free(events); }
        connection(const connection&) = delete;
        connection& operator=(const connection&) = delete;

        hostile_server& server;
        bufferevent* events;
        std::unique_ptr<timer> delay;
        // Bytes that are written once more before the next answer.
        std::string repeated;
        // The request that is being answered, by its id.
        std::string request;
        bool answered = true;
        bool busy = false;
        bool closed = false;
        // The other end has closed the connection.
        bool ended = false;
    };

    void accept(evutil_socket_t socket)
    {
        const auto accepted
            = std::make_shared<connection>(*this, bufferevent_socket_new(m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE));
        const auto onRead = [](bufferevent*, void* self) {
            auto& item = *static_cast<connection*>(self);
            item.server.process(item);
        };
        const auto onEvent = [](bufferevent*, short, void* self) {
            auto& item = *static_cast<connection*>(self);
            item.ended = true;
            item.server.finishInput(item);
        };
        bufferevent_setcb(accepted->events, onRead, nullptr, onEvent, accepted.get());
        bufferevent_enable(accepted->events, EV_READ | EV_WRITE);
        m_connections.insert(accepted);
    }

    void close(connection& item, bool reset)
    {
        if (std::exchange(item.closed, true))
            return;
        if (reset) {
            const linger now { 1, 0 };
            setsockopt(bufferevent_getfd(item.events), SOL_SOCKET, SO_LINGER, &now, sizeof now);
        }
        bufferevent_disable(item.events, EV_READ | EV_WRITE);
        const auto found = std::find_if(
            m_connections.begin(), m_connections.end(), [&](const auto& other) { return other.get() == &item; });
        m_loop.post([connection = *found] {});
        m_connections.erase(found);
    }

    // Runs what arrived before the connection ended, as a server does that looks at its input first.
    void finishInput(connection& item)
    {
        if (m_frozen || !item.ended || item.closed)
            return;
        process(item);
        if (item.delay && !item.answered)
            ++m_runs[item.request];
        close(item, false);
    }

    // Takes the next whole request from the input.
    void process(connection& item)
    {
        if (m_frozen || item.busy || item.closed)
            return;
        evbuffer* input = bufferevent_get_input(item.events);
        const std::string text(reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), evbuffer_get_length(input));
        const size_t head = text.find("\r\n\r\n");
        if (head == std::string::npos)
            return;
        const size_t length = std::strtoul(field(text, "Content-Length").c_str(), nullptr, 10);
        if (text.size() < head + 4 + length)
            return;
        evbuffer_drain(input, head + 4 + length);
        item.busy = true;
        const std::string request = text.substr(0, head);
        const bool late = draw(10) == 0;
        item.request = field(request, "Pollenroute-Request-Id");
        item.answered = false;
        item.delay = std::make_unique<timer>(m_loop, [this, &item, request] {
            item.answered = true;
            if (!item.closed)
                answer(item, request);
        });
        item.delay->startOnce(std::chrono::milliseconds(late ? 100 + draw(500) : draw(8)));
    }

    static std::string field(const std::string& text, const std::string& name)
    {
        const size_t at = text.find("\r\n" + name + ": ");
        if (at == std::string::npos)
            return "";
        const size_t start = at + name.size() + 4;
        return text.substr(start, text.find("\r\n", start) - start);
    }

    size_t draw(size_t bound) { return std::uniform_int_distribution<size_t>(0, bound - 1)(m_random); }

    std::string head(const std::string& id, const std::string& status, const std::string& more)
    {
        return "HTTP/1.1 " + status + "\r\nPollenroute-Request-Id: " + id + "\r\nPollenroute-Response-Seal: seal-" + id
            + "\r\n" + more + "\r\n";
    }

    std::string whole(
        const std::string& id, const std::string& status, const std::string& more, const std::string& body)
    {
        return head(id, status, more + "Content-Length: " + std::to_string(body.size()) + "\r\n") + body;
    }

    void write(connection& item, const std::string& bytes)
    {
        bufferevent_write(item.events, bytes.data(), bytes.size());
    }

    void finish(connection& item)
    {
        item.busy = false;
        m_loop.post([this, held = hold(item)] { process(*held); });
    }

    std::shared_ptr<connection> hold(connection& item)
    {
        return *std::find_if(
            m_connections.begin(), m_connections.end(), [&](const auto& other) { return other.get() == &item; });
    }

    // Writes the bytes, as far as the socket takes them, and closes.
    void writeAndClose(connection& item, const std::string& bytes)
    {
        send(bufferevent_getfd(item.events), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        close(item, false);
    }

    void answer(connection& item, const std::string& request)
    {
        const std::string id = field(request, "Pollenroute-Request-Id");
        const bool isStream = request.find(" /s/") != std::string::npos;
        const size_t choice = draw(100);
        write(item, std::exchange(item.repeated, ""));
        if (choice < 10) {
            const std::string refusal = whole(id, "503 Service Unavailable", "Pollenroute-Not-Executed: 1\r\n", "full");
            write(item, refusal);
            if (draw(2) == 0)
                item.repeated = refusal;
            finish(item);
            return;
        }
        if (choice < 13) {
            if (draw(2) == 0)
                close(item, true);
            else
                write(item, whole(id, "421 Misdirected Request", "", "")), finish(item);
            return;
        }
        ++m_runs[id];
        if (choice < 16) {
            close(item, true);
            return;
        }
        if (isStream) {
            answerStream(item, id, request, choice);
            return;
        }
        const std::string good = whole(id, "200 OK", "", "done-" + id);
        if (choice < 19)
            writeAndClose(item, good.substr(0, 1 + draw(good.size() - 1)));
        else if (choice < 22)
            write(item, whole(id, "500 Internal Server Error", "", "broken")), finish(item);
        else if (choice < 24)
            write(item, whole(id, "503 Service Unavailable", "", "bare")), finish(item);
        else if (choice < 27)
            writeAndClose(item, head(id, "200 OK", "") + "done-" + id);
        else if (choice < 29)
            // The end of an idle connection, as some servers tell it.
            writeAndClose(item, good + "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n");
        else if (choice < 32)
            write(item, good), item.repeated = good, finish(item);
        else
            write(item, good), finish(item);
    }

    void answerStream(connection& item, const std::string& id, const std::string& request, size_t choice)
    {
        const int last = std::atoi(field(request, "Last-Event-Id").c_str());
        const bool resumed = last > 0;
        if (choice < 22 || (resumed && choice < 40)) {
            write(item, whole(id, "500 Internal Server Error", "", "id: 99\ndata: broken\n\n"));
            finish(item);
            return;
        }
        std::string body;
        for (int i = last + 1; i <= streamEvents; ++i)
            body += streamEvent(i);
        const std::string start = head(id, "200 OK", "Pollenroute-Confidence: 90\r\n");
        if (choice < 50 && !body.empty()) {
            // Breaks off within an event, in an answer that ends with its connection.
            const size_t event = body.find("\n\n") + 2;
            writeAndClose(item, start + body.substr(0, event * draw(body.size() / event) + 1 + draw(event - 2)));
            return;
        }
        if (choice < 60 && !body.empty()) {
            write(item, whole(id, "200 OK", "Pollenroute-Confidence: 90\r\n", body).substr(0, start.size() + draw(60)));
            m_loop.post([this, held = hold(item)] { close(*held, true); });
            return;
        }
        write(item, whole(id, "200 OK", "Pollenroute-Confidence: 90\r\n", body));
        finish(item);
    }

    event_loop& m_loop;
    random_source& m_random;
    std::string m_id;
    evconnlistener* m_listener = nullptr;
    endpoint m_address;
    std::set<std::shared_ptr<connection>> m_connections;
    std::map<std::string, int> m_runs;
    bool m_frozen = false;
};

} // namespace pollen
