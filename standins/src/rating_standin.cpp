#include <standins/rating_standin.h>

namespace pollen {

rating_standin::rating_standin(event_loop& loop, const endpoint& listenAddress)
    : standin(loop, listenAddress)
{
}

void rating_standin::set(const std::string& name, int64_t value)
{
    if (name == "delay_ms")
        m_delayMilliseconds = value;
}

void rating_standin::handle(const std::shared_ptr<server_request>& request)
{
    const http_request& message = request->request();
    if (message.method == "POST") {
        auto sample = nlohmann::json::parse(message.body, nullptr, false);
        if (!sample.is_object() || !sample.contains("request")) {
            replyJson(*request, 400, { { "error", "no request" } });
            return;
        }
        // The rating is the quality that the engine stand-in wrote into its answer.
        sample["rating"] = sample.value("answer_quality", 1.0);
        sample["ready_ms"] = wallMilliseconds() + m_delayMilliseconds;
        sample["number"] = m_ratings.size() + 1;
        m_ratings.push_back(std::move(sample));
        replyJson(*request, 202, nlohmann::json::object());
        return;
    }
    const auto from = std::strtoull(std::string(queryParameter(message.target, "from")).c_str(), nullptr, 10);
    auto ratings = nlohmann::json::array();
    for (const auto& rating : m_ratings) {
        if (rating["number"].get<uint64_t>() >= from && rating["ready_ms"].get<int64_t>() <= wallMilliseconds())
            ratings.push_back(rating);
    }
    replyJson(*request, 200, { { "ratings", ratings } });
}

} // namespace pollen
