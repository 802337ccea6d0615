#include <peer/exchange_channels.h>

namespace pollen {

class exchange_channels::channel final : public state_exchange {
public:
    channel(exchange_channels& owner, std::string prefix)
        : m_owner(owner)
        , m_prefix(std::move(prefix))
    {
    }

    void fetch(const endpoint& peer, const std::string& request, state_callback callback) override
    {
        m_owner.m_exchange.fetch(peer, m_prefix + request, std::move(callback));
    }
    void setSource(state_source source) override { m_owner.m_sources[m_prefix] = std::move(source); }

private:
    exchange_channels& m_owner;
    std::string m_prefix;
};

exchange_channels::exchange_channels(state_exchange& exchange)
    : m_exchange(exchange)
{
    m_exchange.setSource([this](const std::string& request) { return reply(request); });
}

state_exchange& exchange_channels::open(const std::string& prefix)
{
    std::unique_ptr<state_exchange>& opened = m_channels[prefix];
    if (!opened)
        opened = std::make_unique<channel>(*this, prefix);
    return *opened;
}

std::string exchange_channels::reply(const std::string& request) const
{
    for (const auto& [prefix, source] : m_sources) {
        if (!prefix.empty() && request.starts_with(prefix))
            return source(request.substr(prefix.size()));
    }
    const auto other = m_sources.find("");
    return other == m_sources.end() ? std::string() : other->second(request);
}

} // namespace pollen
