#include <config/fleet_document.h>

#include <algorithm>

namespace pollen {

namespace {

template <typename Entry, typename Name> const Entry* findByName(const std::vector<Entry>& entries, const Name& name)
{
    for (const Entry& entry : entries) {
        if (entry.name == name)
            return &entry;
    }
    return nullptr;
}

} // namespace

const char* toText(version_state state)
{
    switch (state) {
    case version_state::Active:
        return "active";
    case version_state::RollingOut:
        return "rolling_out";
    case version_state::Withdrawn:
        return "withdrawn";
    }
    return "withdrawn";
}

bool version_pattern::matches(const version_ref& ref) const
{
    if (text == "*")
        return true;
    const version_ref pattern = parseVersionRef(text);
    return pattern.model == ref.model && (pattern.version.text() == "*" || pattern.version == ref.version);
}

const class_entry* fleet_document::findClass(const class_name& wanted) const { return findByName(classes, wanted); }

const team_entry* fleet_document::findTeam(const team_name& wanted) const { return findByName(teams, wanted); }

const service_entry* fleet_document::findService(const service_name& wanted) const
{
    return findByName(services, wanted);
}

const version_entry* fleet_document::findVersion(const version_ref& ref) const
{
    for (const version_entry& entry : versions) {
        if (entry.ref == ref)
            return &entry;
    }
    return nullptr;
}

bool isNonRepeatable(const service_entry& service, const std::string& method, const std::string& path)
{
    return std::any_of(service.nonRepeatable.begin(), service.nonRepeatable.end(),
        [&](const call_pattern& pattern) { return pattern.method == method && path.starts_with(pattern.pathPrefix); });
}

} // namespace pollen
