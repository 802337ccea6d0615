#pragma once

#include <base/typed_id.h>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace pollen {

// One answer that is to be rated.
struct rating_sample {
    request_id request;
    version_ref version;
    class_name requestClass;
    // The caller's request and the answer it got, as JSON or server-sent events.
    std::string prompt;
    std::string answer;

    friend bool operator==(const rating_sample&, const rating_sample&) = default;
};

// What an answer was found to be worth; arrives seconds after the sample.
struct rating {
    // Counts up from 1 in the order in which the service gave its ratings.
    uint64_t number = 0;
    version_ref version;
    class_name requestClass;
    // 0 to 1.
    double quality = 0;

    friend bool operator==(const rating&, const rating&) = default;
};

// The service that rates answers.
class rating_service {
public:
    virtual ~rating_service() = default;

    // Hands in an answer. A sample that does not get through is lost; nothing depends on any single one.
    virtual void submit(const rating_sample& sample) = 0;

    // Reports the ratings from a number on, or none when the service does not answer.
    using ratings_callback = std::function<void(const std::optional<std::vector<rating>>&)>;
    virtual void ratings(uint64_t from, ratings_callback callback) = 0;
};

} // namespace pollen
