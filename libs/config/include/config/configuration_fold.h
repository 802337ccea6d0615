#pragma once

#include <config/configuration_record.h>
#include <config/fleet_document.h>
#include <deque>
#include <memory>
#include <optional>
#include <set>

namespace pollen {

// What became of one record of the configuration stream.
enum class verdict {
    Accepted,
    // The same change was accepted before; nothing changes.
    Duplicate,
    // Another change came first; the document was made from a version that is no longer in force.
    StaleBase,
    InvalidDocument,
    UnknownVersion,
    // A publication would put a withdrawn version back into service without saying so.
    ReinstatesWithdrawn,
    // Not a record of this format.
    Undecodable,
    // Older records have expired; decided when the next snapshot arrives.
    Pending,
};

const char* toText(verdict verdict);

// The configuration in force.
struct configuration_state {
    // Offset of the change that made this state; 0 before the first.
    log_offset version = 0;
    std::shared_ptr<const fleet_document> document;
    std::set<version_ref> withdrawn;
    // Ids of recent accepted changes, oldest first.
    std::deque<std::string> recentIds;
};

// One record with the decision on it.
struct folded_change {
    log_offset offset = 0;
    configuration_record record;
    verdict result = verdict::Undecodable;
    // For refused records: what is wrong.
    std::string detail;
    // Configuration version in force after the record.
    log_offset versionAfter = 0;
};

// Turns the configuration stream into the state in force. A pure function of the records and their offsets: whoever
// folds the same records reaches the same state and the same verdicts, whatever the time or place.
class configuration_fold {
public:
    // Applies the record at an offset. Offsets must rise; an offset that was applied before is ignored and gives none.
    // Returns the decided changes: usually one, several when a snapshot settles records that were pending.
    std::vector<folded_change> apply(log_offset offset, const std::string& text);

    const configuration_state& state() const { return m_state; }
    // Offset of the last record applied.
    log_offset position() const { return m_position; }

    // Says that the records before this offset have expired unread, so that a snapshot is needed to go on.
    void skipTo(log_offset oldest);

    // Takes over the state that a peer sent, as the text of a snapshot record, if it is newer than the one in force.
    // Records that it already contains are passed over when the log is read again. Throws record_error or
    // settings_error.
    bool adopt(const std::string& snapshotText);

    // A record that carries the present state forward.
    configuration_record snapshot(const std::string& id, const std::string& author) const;

private:
    struct pending_record {
        log_offset offset;
        configuration_record record;
    };

    folded_change decide(log_offset offset, const configuration_record& record);
    verdict applyPublish(const configuration_record& record, std::string& detail);
    verdict applyWithdraw(const configuration_record& record);
    verdict applyRollout(const configuration_record& record, std::string& detail);
    std::vector<folded_change> applySnapshot(log_offset offset, const configuration_record& record);
    void takeOver(const configuration_record& snapshot);
    void accept(log_offset offset, const configuration_record& record);

    configuration_state m_state;
    log_offset m_position = 0;
    bool m_needsSnapshot = false;
    std::vector<pending_record> m_pending;
};

} // namespace pollen
