#pragma once

#include <control/bill_ledger.h>
#include <control/claim_ledger.h>
#include <deque>
#include <map>
#include <platform/memory_record_log.h>

namespace pollen {

enum class append_fault {
    None,
    // Rejected without effect.
    Refused,
    // The records are appended, but the answer is lost.
    AnswerLost,
    // The request is lost; the caller cannot tell whether it took effect.
    RequestLost,
};

// Wraps a working log and injects the append and read faults set by the test.
class faulty_record_log final : public record_log {
public:
    faulty_record_log(event_loop& loop, record_log& target)
        : m_loop(loop)
        , m_target(target)
    {
    }

    // Faults of the next appends, in order; defaultFault applies once the queue is empty.
    std::deque<append_fault> faults;
    append_fault defaultFault = append_fault::None;
    bool readsFail = false;
    size_t appends = 0;

    void append(const std::string& stream, std::vector<std::string> records, append_callback callback) override
    {
        ++appends;
        const append_fault fault = nextFault();
        if (fault == append_fault::None) {
            m_target.append(stream, std::move(records), std::move(callback));
            return;
        }
        if (fault == append_fault::AnswerLost)
            m_target.append(stream, std::move(records), [](const append_result&) {});
        const auto outcome = fault == append_fault::Refused ? append_outcome::NotAppended : append_outcome::Unknown;
        m_loop.post([callback = std::move(callback), outcome] { callback({ outcome, 0 }); });
    }

    void read(const std::string& stream, log_offset from, duration wait, read_callback callback) override
    {
        if (readsFail)
            m_loop.post([callback = std::move(callback)] { callback({}); });
        else
            m_target.read(stream, from, wait, std::move(callback));
    }

private:
    append_fault nextFault()
    {
        if (faults.empty())
            return defaultFault;
        const append_fault fault = faults.front();
        faults.pop_front();
        return fault;
    }

    event_loop& m_loop;
    record_log& m_target;
};

// Delivers datagrams between the daemons of a test; ports can be disconnected.
class memory_network {
public:
    explicit memory_network(event_loop& loop)
        : m_loop(loop)
    {
    }

    class port final : public peer_transport {
    public:
        port(memory_network& network, endpoint address)
            : m_network(network)
            , m_address(std::move(address))
        {
            m_network.m_ports[m_address] = this;
        }
        ~port() override { m_network.m_ports.erase(m_address); }
        port(const port&) = delete;
        port& operator=(const port&) = delete;

        void send(const endpoint& to, const std::string& datagram) override
        {
            m_network.deliver(m_address, to, datagram);
        }
        void setReceiver(receiver receiver) override { m_receiver = std::move(receiver); }

        bool isDisconnected = false;

    private:
        friend memory_network;
        memory_network& m_network;
        endpoint m_address;
        receiver m_receiver;
    };

private:
    void deliver(const endpoint& from, const endpoint& to, const std::string& datagram)
    {
        if (!m_ports.contains(from) || m_ports[from]->isDisconnected)
            return;
        m_loop.post([this, from, to, datagram] {
            const auto found = m_ports.find(to);
            if (found != m_ports.end() && !found->second->isDisconnected && found->second->m_receiver)
                found->second->m_receiver(from, datagram);
        });
    }

    event_loop& m_loop;
    std::map<endpoint, port*> m_ports;
};

// Ledgers and peer node of one daemon, running on fakes.
struct test_daemon {
    test_daemon(event_loop& loop, memory_network& network, record_log& target, const manual_clock& clock,
        const std::string& name, uint16_t number, uint64_t incarnation = 1)
        : log(loop, target)
        , random(number)
        , transport(network, { "127.0.0.1", number })
        , peers(instance_id(name), std::chrono::seconds(3))
        , node({ instance_id(name), failure_domain_name("domain-" + name), incarnation, "secret" }, transport, peers,
              clock, random, logger)
        , bills(loop, node, peers, log, random, clock, logger)
        , claims(loop, log, node, peers, random, clock, logger)
    {
    }

    null_logger logger;
    faulty_record_log log;
    random_source random;
    memory_network::port transport;
    peer_table peers;
    peer_node node;
    bill_ledger bills;
    claim_ledger claims;
};

} // namespace pollen
