#pragma once

#include <base/typed_id.h>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace pollen {

// The recorded answer to a non-idempotent call.
struct recorded_answer {
    int status = 0;
    std::string contentType;
    std::string body;
    // False when the body was too large to record.
    bool bodyKept = true;

    friend bool operator==(const recorded_answer&, const recorded_answer&) = default;
};

enum class claim_record_kind {
    // Requests the right to run a call. The first claim of a key in the log wins.
    Claim,
    // The call was run; carries its answer.
    Result,
    // The owner has not run the call and will not run it.
    Release,
};

// One record of the claim stream.
struct claim_record {
    claim_record_kind kind = claim_record_kind::Claim;
    // Digest of team, service and idempotency key.
    std::string key;
    request_id request;
    instance_id daemon;
    uint64_t incarnation = 0;
    // Digest of method, path and body, which detects a key reused for a different call.
    std::string fingerprint;
    recorded_answer answer;

    friend bool operator==(const claim_record&, const claim_record&) = default;
};

std::string encodeClaim(const claim_record& record);

// Throws record_error.
claim_record decodeClaim(const std::string& text);

// Owner of one key and, once recorded, the answer to its call.
struct claim_entry {
    request_id owner;
    instance_id daemon;
    uint64_t incarnation = 0;
    std::string fingerprint;
    int64_t claimedMilliseconds = 0;
    std::optional<recorded_answer> answer;
};

// Derives the owner of each key from the claim stream. Depends only on the records and their log times, so every daemon
// gets the same result.
class claim_reducer {
public:
    // Keys expire lifetimeMilliseconds after their claim, in log time.
    explicit claim_reducer(int64_t lifetimeMilliseconds);

    // logMilliseconds: timestamp of the record in the log.
    void apply(const claim_record& record, int64_t logMilliseconds);

    const claim_entry* find(const std::string& key) const;
    size_t size() const { return m_entries.size(); }

private:
    void expire(int64_t logMilliseconds);

    struct claimed_key {
        int64_t claimedMilliseconds;
        std::string key;
    };

    int64_t m_lifetimeMilliseconds;
    std::unordered_map<std::string, claim_entry> m_entries;
    std::deque<claimed_key> m_claimOrder;
};

} // namespace pollen
