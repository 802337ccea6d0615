#include <control/rating_system.h>

namespace pollen {

namespace {

constexpr double sampledShare = 0.05;
constexpr uint32_t maximumSamplesPerSecond = 10;
constexpr duration readInterval = std::chrono::seconds(1);
constexpr size_t maximumSummaries = 1000;

} // namespace

rating_system::rating_system(rating_service& service, random_source& random)
    : m_service(service)
    , m_random(random)
    , m_alive(std::make_shared<bool>(true))
{
}

bool rating_system::shouldSample(time_point now)
{
    if (now - m_secondStart >= std::chrono::seconds(1)) {
        m_secondStart = now;
        m_samplesInSecond = 0;
    }
    if (m_samplesInSecond == maximumSamplesPerSecond || !std::bernoulli_distribution(sampledShare)(m_random))
        return false;
    ++m_samplesInSecond;
    return true;
}

void rating_system::tick(time_point now)
{
    if (m_reading || now < m_nextRead)
        return;
    m_reading = true;
    m_nextRead = now + readInterval;
    m_service.ratings(m_nextNumber, [this, alive = std::weak_ptr<bool>(m_alive)](const auto& ratings) {
        if (alive.expired())
            return;
        m_reading = false;
        if (!ratings)
            return;
        for (const rating& rating : *ratings) {
            if (rating.number < m_nextNumber)
                continue;
            m_nextNumber = rating.number + 1;
            const rated_version key { rating.version, rating.requestClass };
            if (m_summaries.size() >= maximumSummaries && !m_summaries.contains(key))
                continue;
            ++m_summaries[key].count;
            m_summaries[key].sum += rating.quality;
        }
    });
}

} // namespace pollen
