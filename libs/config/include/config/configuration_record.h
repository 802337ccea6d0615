#pragma once

#include <base/error.h>
#include <base/log_offset.h>
#include <base/typed_id.h>
#include <cstdint>
#include <string>
#include <vector>

namespace pollen {

enum class change_kind {
    // Replaces the whole document.
    Publish,
    // Stops new work on one version at once. Needs no base: it must win any race, and is harmless twice.
    Withdraw,
    // Sets the share of a version that is rolling out.
    Rollout,
    // Carries the state forward before older records expire.
    Snapshot,
};

const char* toText(change_kind kind);

// One record of the configuration stream.
struct configuration_record {
    change_kind kind = change_kind::Publish;
    // Chosen by whoever made the change; a repeated append carries the same id and counts once.
    std::string id;
    std::string author;
    std::string reason;
    // The configuration version that the change was made from; unused by Withdraw.
    log_offset base = 0;
    // Document as TOML, for Publish and Snapshot.
    std::string document;
    // Versions that Publish may put back into service after a withdrawal.
    std::vector<version_ref> reinstate;
    // For Withdraw and Rollout.
    version_ref version;
    double share = 0;
    // For Snapshot: versions under withdrawal and the ids of recent changes.
    std::vector<version_ref> withdrawn;
    std::vector<std::string> recentIds;

    friend bool operator==(const configuration_record&, const configuration_record&) = default;
};

// The text is not a configuration record.
class record_error final : public error {
public:
    using error::error;
};

// JSON text of a record, as stored in the log.
std::string encodeRecord(const configuration_record& record);

// Throws record_error.
configuration_record decodeRecord(const std::string& text);

} // namespace pollen
