#pragma once

#include "request_record.h"
#include "site_sheet.h"

#include <base/random_source.h>
#include <base/socket_address.h>
#include <deque>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <http/event_loop.h>
#include <memory>
#include <netinet/in.h>
#include <random>
#include <set>

namespace pollen {

// A backend server with slots and a queue over raw sockets. It keeps its word on the requests that it says it has not
// run, and otherwise writes answers late, twice, in part or not at all, and refusals that name no request.
class queueing_server {
public:
    // Body of a failure that promises nothing.
    static constexpr const char* bareBody = "bare";

    // address: with port 0 the system chooses the port.
    queueing_server(event_loop& loop, random_source& random, request_record& record, const site_sheet& sheet,
        std::string id, std::string service, const endpoint& address)
        : m_loop(loop)
        , m_random(random)
        , m_record(record)
        , m_sheet(sheet)
        , m_id(std::move(id))
        , m_service(std::move(service))
        , m_slowness(1 + draw(3))
        , m_dropsClosed(draw(4) > 0)
        , m_watchesQueue(draw(2) == 0)
    {
        socket_address bound = listen(address);
        // Another socket may have the address by now.
        if (!m_listener)
            bound = listen({ address.address, 0 });
        getsockname(evconnlistener_get_fd(m_listener), bound.get(), &bound.length);
        m_address = toEndpoint(bound);
    }
    ~queueing_server() { stop(true); }
    queueing_server(const queueing_server&) = delete;
    queueing_server& operator=(const queueing_server&) = delete;

    const std::string& id() const { return m_id; }
    const std::string& service() const { return m_service; }
    const endpoint& address() const { return m_address; }
    bool isStopped() const { return !m_listener; }

    // How the server tells that it is cold: in its entry only, or in its answers only.
    enum class cold_channel { Entry, Header };
    void setCold(time_point until, cold_channel channel)
    {
        m_coldUntil = until;
        m_coldChannel = channel;
    }
    cold_channel coldChannel() const { return m_coldChannel; }
    bool isCold() const { return m_time.now() < m_coldUntil; }
    int64_t coldMilliseconds() const { return std::max<int64_t>(toMilliseconds(m_coldUntil - m_time.now()), 0); }
    // Called with each request that was meant for this server, unless it may have waited while the server was frozen.
    void setArrivalCallback(std::function<void()> callback) { m_onArrival = std::move(callback); }

    // The process ends: nothing that waits is run any more.
    void stop(bool reset)
    {
        if (!m_listener)
            return;
        evconnlistener_free(std::exchange(m_listener, nullptr));
        m_waiting.clear();
        m_running.clear();
        for (const auto& connection : std::set(m_connections))
            close(*connection, reset);
    }

    // A frozen server's kernel takes connections and bytes; the server goes on with them later.
    void freeze(bool frozen)
    {
        if (!m_listener || m_frozen == frozen)
            return;
        m_frozen = frozen;
        m_thawedAt = m_time.now();
        (frozen ? evconnlistener_disable : evconnlistener_enable)(m_listener);
        if (frozen)
            return;
        for (const auto& job : std::set(m_running)) {
            if (job->isDue)
                finishRun(job);
        }
        for (const auto& connection : std::set(m_connections)) {
            process(*connection);
            if (!connection->closed && connection->ended)
                finishInput(*connection);
        }
    }

private:
    // What arrived while the server was frozen is taken up within this time.
    static constexpr duration thawTime = std::chrono::milliseconds(300);
    static constexpr int shortBacklog = 2;
    static constexpr int usualBacklog = 128;
    static constexpr const char* notExecuted = "Pollenroute-Not-Executed: 1\r\n";

    struct connection {
        connection(queueing_server& owner, bufferevent* socketEvents, std::string name)
            : server(owner)
            , events(socketEvents)
            , place(std::move(name))
        {
        }
        ~connection() { bufferevent_free(events); }
        connection(const connection&) = delete;
        connection& operator=(const connection&) = delete;

        queueing_server& server;
        bufferevent* events;
        // Server and port of the other end, for the trace.
        std::string place;
        // Bytes that are written before the next answer.
        std::string repeated;
        // Refuses what comes first before reading it, and runs it nevertheless.
        bool refusesUnread = false;
        bool hasRefusedUnread = false;
        bool busy = false;
        bool closed = false;
        // The other end has closed the connection.
        bool ended = false;
    };
    struct job {
        std::weak_ptr<connection> from;
        std::string place;
        std::string id;
        std::string head;
        std::unique_ptr<timer> alarm;
        time_point deadline;
        bool isDue = false;
    };
    using job_handle = std::shared_ptr<job>;

    socket_address listen(const endpoint& address)
    {
        const auto onAccept = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
            static_cast<queueing_server*>(self)->accept(socket);
        };
        const int backlog = draw(3) == 0 ? shortBacklog : usualBacklog;
        socket_address bound = toSocketAddress(address);
        m_listener = evconnlistener_new_bind(m_loop.base(), onAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
            backlog, bound.get(), static_cast<int>(bound.length));
        return bound;
    }

    size_t draw(size_t bound) { return std::uniform_int_distribution<size_t>(0, bound - 1)(m_random); }

    void accept(evutil_socket_t socket)
    {
        socket_address peer;
        // The caller may have gone already.
        const bool isConnected = getpeername(socket, peer.get(), &peer.length) == 0;
        const auto accepted
            = std::make_shared<connection>(*this, bufferevent_socket_new(m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE),
                m_id + " (port " + std::to_string(m_address.port) + ", from "
                    + (isConnected ? toEndpoint(peer).text() : "a caller that has gone") + ")");
        const auto onRead = [](bufferevent*, void* self) {
            auto& item = *static_cast<connection*>(self);
            item.server.process(item);
        };
        const auto onEvent = [](bufferevent*, short, void* self) {
            auto& item = *static_cast<connection*>(self);
            item.ended = true;
            if (!item.server.m_frozen)
                item.server.finishInput(item);
        };
        bufferevent_setcb(accepted->events, onRead, nullptr, onEvent, accepted.get());
        bufferevent_enable(accepted->events, EV_READ | EV_WRITE);
        m_connections.insert(accepted);
        accepted->refusesUnread = draw(20) == 0;
        if (accepted->refusesUnread && draw(2) == 0)
            writeUnnamedRefusal(*accepted);
    }

    std::shared_ptr<connection> hold(connection& item)
    {
        return *std::find_if(
            m_connections.begin(), m_connections.end(), [&](const auto& other) { return other.get() == &item; });
    }

    void close(connection& item, bool reset)
    {
        if (std::exchange(item.closed, true))
            return;
        if (reset) {
            const linger now { 1, 0 };
            setsockopt(bufferevent_getfd(item.events), SOL_SOCKET, SO_LINGER, &now, sizeof now);
        }
        bufferevent_setcb(item.events, nullptr, nullptr, nullptr, nullptr);
        bufferevent_disable(item.events, EV_READ | EV_WRITE);
        const auto held = hold(item);
        m_loop.post([held] {});
        m_connections.erase(held);
    }

    // Takes up what arrived before the connection ended.
    void finishInput(connection& item)
    {
        const auto held = hold(item);
        process(item);
        if (!item.closed)
            close(item, false);
        if (m_dropsClosed)
            std::erase_if(m_waiting, [&](const job_handle& job) { return job->from.lock() == held; });
    }

    static std::string field(const std::string& text, const std::string& name)
    {
        const size_t at = text.find("\r\n" + name + ": ");
        if (at == std::string::npos)
            return "";
        const size_t start = at + name.size() + 4;
        return text.substr(start, text.find("\r\n", start) - start);
    }

    // Takes the next whole request from the input.
    void process(connection& item)
    {
        if (m_frozen || item.busy || item.closed)
            return;
        evbuffer* input = bufferevent_get_input(item.events);
        const std::string text(reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), evbuffer_get_length(input));
        if (item.refusesUnread && !item.hasRefusedUnread && !text.empty())
            writeUnnamedRefusal(item);
        const size_t head = text.find("\r\n\r\n");
        if (head == std::string::npos)
            return;
        const size_t length = std::strtoul(field(text, "Content-Length").c_str(), nullptr, 10);
        if (text.size() < head + 4 + length)
            return;
        evbuffer_drain(input, head + 4 + length);
        item.busy = true;
        const std::string request = text.substr(0, head);
        const job_handle taken = std::make_shared<job>();
        taken->from = hold(item);
        taken->place = item.place;
        taken->id = field(request, "Pollenroute-Request-Id");
        taken->head = request;
        if (std::exchange(item.refusesUnread, false))
            m_record.note(taken->id, item.place + " has written before reading it: 503 Service Unavailable, no id");
        admit(taken);
    }

    void admit(const job_handle& taken)
    {
        if (taken->head.starts_with("GET /health ")) {
            write(taken,
                "HTTP/1.1 200 OK\r\nPollenroute-Instance-Id: " + m_id + "\r\n" + load() + "Content-Length: 0\r\n\r\n");
            finish(taken);
            return;
        }
        const std::string expected = field(taken->head, "Pollenroute-Expect-Instance");
        if (!expected.empty() && expected != m_id) {
            const std::string statement = draw(2) == 0 ? notExecuted : "";
            write(taken, whole(taken->id, "421 Misdirected Request", statement, ""));
            finish(taken);
            return;
        }
        if (m_onArrival && m_time.now() - m_thawedAt > thawTime)
            m_onArrival();
        if (draw(100) < 3 || (m_running.size() >= m_sheet.slots && m_waiting.size() >= m_sheet.queueLength)) {
            refuse(taken);
            return;
        }
        if (m_running.size() < m_sheet.slots) {
            run(taken);
            return;
        }
        m_waiting.push_back(taken);
        const long allowed = std::strtol(field(taken->head, "Pollenroute-Deadline-Ms").c_str(), nullptr, 10);
        taken->deadline = m_time.now() + std::chrono::milliseconds(allowed);
        if (!m_watchesQueue)
            return;
        taken->alarm = std::make_unique<timer>(m_loop, [this, weak = std::weak_ptr(taken)] {
            const job_handle late = weak.lock();
            if (!late || m_frozen || std::erase(m_waiting, late) == 0)
                return;
            refuse(late);
            m_loop.post([late] {});
        });
        taken->alarm->startOnce(std::chrono::milliseconds(std::max(allowed, 1L)));
    }

    void run(const job_handle& taken)
    {
        m_record.addRun(taken->id, taken->place);
        m_running.insert(taken);
        taken->alarm = std::make_unique<timer>(m_loop, [this, weak = std::weak_ptr(taken)] {
            const job_handle due = weak.lock();
            if (!due)
                return;
            due->isDue = true;
            if (!m_frozen)
                finishRun(due);
        });
        const bool isLong = draw(20) == 0;
        taken->alarm->startOnce(
            m_sheet.work * (m_slowness + (isLong ? draw(20) : 0)) / 2 + std::chrono::milliseconds(draw(20)));
    }

    void finishRun(const job_handle& done)
    {
        m_running.erase(done);
        answer(done);
        m_loop.post([done] {});
        while (m_running.size() < m_sheet.slots && !m_waiting.empty()) {
            const job_handle next = m_waiting.front();
            m_waiting.pop_front();
            if (m_time.now() >= next->deadline)
                refuse(next);
            else
                run(next);
        }
    }

    std::string load() const
    {
        return "Pollenroute-Server-Load: " + std::to_string(m_running.size()) + "," + std::to_string(m_waiting.size())
            + "," + std::to_string(m_sheet.slots) + "\r\n";
    }

    std::string head(const std::string& id, const std::string& status, const std::string& more) const
    {
        const std::string name = id.empty() ? "" : "Pollenroute-Request-Id: " + id + "\r\n";
        return "HTTP/1.1 " + status + "\r\n" + name + "Pollenroute-Response-Seal: seal-" + id + "\r\n" + load()
            + (isCold() && m_coldChannel == cold_channel::Header
                    ? "Pollenroute-Cold-Ms: " + std::to_string(coldMilliseconds()) + "\r\n"
                    : "")
            + more + "\r\n";
    }

    std::string whole(
        const std::string& id, const std::string& status, const std::string& more, const std::string& body) const
    {
        return head(id, status, more + "Content-Length: " + std::to_string(body.size()) + "\r\n") + body;
    }

    void write(const job_handle& to, const std::string& bytes)
    {
        const auto connection = to->from.lock();
        m_record.note(to->id,
            to->place + (connection && !connection->closed ? " writes " : " would write ")
                + bytes.substr(0, bytes.find("\r\n"))
                + (bytes.find("Not-Executed") == std::string::npos ? "" : " (not executed)"));
        if (!connection || connection->closed)
            return;
        const std::string before = std::exchange(connection->repeated, "");
        if (!before.empty())
            m_record.note(
                to->id, to->place + " has written before it, once more: " + before.substr(0, before.find("Seal")));
        bufferevent_write(connection->events, before.data(), before.size());
        bufferevent_write(connection->events, bytes.data(), bytes.size());
    }

    // Writes bytes that belong to no request, after a while.
    void writeLate(const job_handle& to, const std::string& bytes)
    {
        const auto late = std::make_shared<std::unique_ptr<timer>>();
        *late = std::make_unique<timer>(m_loop, [weak = to->from, bytes] {
            const auto connection = weak.lock();
            if (connection && !connection->closed)
                bufferevent_write(connection->events, bytes.data(), bytes.size());
        });
        (*late)->startOnce(std::chrono::milliseconds(1 + draw(120)));
        m_late.push_back(late);
    }

    void writeUnnamedRefusal(connection& to)
    {
        to.hasRefusedUnread = true;
        const std::string refusal = whole("", "503 Service Unavailable", notExecuted, "full");
        bufferevent_write(to.events, refusal.data(), refusal.size());
    }

    void repeat(const job_handle& to, const std::string& bytes)
    {
        const auto connection = to->from.lock();
        if (connection && !connection->closed)
            connection->repeated = bytes;
    }

    // Goes on with the next request of the connection.
    void finish(const job_handle& done)
    {
        const auto connection = done->from.lock();
        if (!connection || connection->closed)
            return;
        connection->busy = false;
        m_loop.post([this, connection] { process(*connection); });
    }

    void writeAndClose(const job_handle& to, const std::string& bytes, bool reset)
    {
        const auto connection = to->from.lock();
        m_record.note(to->id, to->place + " breaks off after " + std::to_string(bytes.size()) + " bytes");
        if (!connection || connection->closed)
            return;
        send(bufferevent_getfd(connection->events), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        close(*connection, reset);
    }

    void refuse(const job_handle& refused)
    {
        const std::string status = draw(10) == 0 ? "429 Too Many Requests" : "503 Service Unavailable";
        const std::string refusal = whole(refused->id, status, notExecuted, "full");
        const std::string cut
            = head(refused->id, status, std::string(notExecuted) + "Content-Length: 200\r\n") + "full";
        const size_t choice = draw(100);
        if (choice < 5) {
            writeAndClose(refused, cut, draw(2) == 0);
            return;
        }
        if (choice < 8) {
            // The rest of the body never comes.
            write(refused, cut);
            return;
        }
        write(refused, refusal);
        if (choice < 13) {
            if (const auto connection = refused->from.lock(); connection && !connection->closed)
                m_loop.post([this, connection] { close(*connection, false); });
            return;
        }
        if (choice < 40)
            repeat(refused, refusal);
        else if (choice < 50)
            repeat(refused, whole("", status, notExecuted, "full"));
        else if (choice < 65)
            writeLate(refused, refusal);
        else if (choice < 70)
            writeLate(refused, whole("", status, notExecuted, "full"));
        finish(refused);
    }

    void answer(const job_handle& done)
    {
        const std::string good = whole(done->id, "200 OK", "", "done-" + done->id);
        const size_t choice = draw(200);
        if (choice < 6) {
            writeAndClose(done, "", true);
        } else if (choice < 10) {
            writeAndClose(done, good.substr(0, 1 + draw(good.size() - 1)), draw(2) == 0);
        } else if (choice < 14) {
            write(done, whole(done->id, "500 Internal Server Error", "", "broken"));
            finish(done);
        } else if (choice < 20) {
            static const std::vector<std::string> statuses { "503 Service Unavailable", "429 Too Many Requests",
                "408 Request Timeout" };
            write(done, whole(done->id, statuses[draw(statuses.size())], "", bareBody));
            finish(done);
        } else if (choice < 24) {
            // The end of an idle connection, as some servers tell it.
            write(done, good + "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n");
            if (const auto connection = done->from.lock(); connection && !connection->closed)
                m_loop.post([this, connection] { close(*connection, false); });
        } else if (choice < 26) {
            m_record.note(done->id, done->place + " never answers");
        } else {
            write(done, good);
            if (choice < 32)
                repeat(done, good);
            else if (choice < 38)
                writeLate(done, good);
            finish(done);
        }
    }

    event_loop& m_loop;
    random_source& m_random;
    request_record& m_record;
    const site_sheet& m_sheet;
    os_clock m_time;
    std::string m_id;
    std::string m_service;
    // Half the usual work time, this many times.
    size_t m_slowness;
    // Drops waiting requests whose connections have ended.
    bool m_dropsClosed;
    // Refuses waiting requests at their deadline; otherwise when their turn comes.
    bool m_watchesQueue;
    evconnlistener* m_listener = nullptr;
    endpoint m_address;
    std::set<std::shared_ptr<connection>> m_connections;
    std::set<job_handle> m_running;
    std::deque<job_handle> m_waiting;
    std::vector<std::shared_ptr<std::unique_ptr<timer>>> m_late;
    time_point m_coldUntil {};
    cold_channel m_coldChannel = cold_channel::Entry;
    time_point m_thawedAt {};
    std::function<void()> m_onArrival;
    bool m_frozen = false;
};

} // namespace pollen
