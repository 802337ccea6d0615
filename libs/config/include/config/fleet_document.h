#pragma once

#include <base/clock.h>
#include <base/endpoint.h>
#include <base/typed_id.h>
#include <config/settings_error.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pollen {

enum class version_state {
    Active,
    // Receives only the share of its roll-out.
    RollingOut,
    // Receives no new work.
    Withdrawn,
};

const char* toText(version_state state);

// A class of requests, such as tender drafts.
struct class_entry {
    class_name name;
    // 0 goes first.
    int64_t priority = 0;
    // Lowest acceptable expected quality, 0 to 1.
    double qualityTarget = 0;
    // Default time within which a request must be answered.
    duration deadline { 0 };

    friend bool operator==(const class_entry&, const class_entry&) = default;
};

// One version of a model with what is expected of it.
struct version_entry {
    version_ref ref;
    version_state state = version_state::Active;
    // Share of new work while rolling out, 0 to 1.
    double rolloutShare = 0;
    // Cost of 1,000 tokens read and of 1,000 tokens generated, in the fleet's currency.
    double inputCost = 0;
    double outputCost = 0;
    // Expected quality by class, 0 to 1; a class without an entry is not served by this version.
    std::map<class_name, double> quality;
    // Expected speeds of a server without other work.
    double promptTokensPerSecond = 0;
    double outputTokensPerSecond = 0;

    friend bool operator==(const version_entry&, const version_entry&) = default;
};

// A pattern such as "drafter/v2", "drafter/*" or "*".
struct version_pattern {
    std::string text;

    bool matches(const version_ref& ref) const;

    friend bool operator==(const version_pattern&, const version_pattern&) = default;
};

struct team_entry {
    team_name name;
    // SHA-256 of each bearer key, in hexadecimal; keys themselves never enter the log.
    std::vector<std::string> keyDigests;
    class_name defaultClass;
    // Raises or lowers the quality target of a class for this team.
    std::map<class_name, double> qualityTargets;
    std::vector<version_pattern> allowed;
    std::vector<service_name> services;
    int64_t maximumRequests = 0;

    friend bool operator==(const team_entry&, const team_entry&) = default;
};

// Departs from the fleet-wide defaults for one team, for a stated reason.
struct exception_entry {
    team_name team;
    std::vector<version_pattern> allow;
    std::vector<version_pattern> deny;
    std::string reason;

    friend bool operator==(const exception_entry&, const exception_entry&) = default;
};

// Calls of a service that must not be repeated: a method and a path prefix below the service's root.
struct call_pattern {
    std::string method;
    std::string pathPrefix;

    friend bool operator==(const call_pattern&, const call_pattern&) = default;
};

struct service_entry {
    service_name name;
    std::vector<call_pattern> nonRepeatable;
    double costPerCall = 0;
    duration timeout { 0 };

    friend bool operator==(const service_entry&, const service_entry&) = default;
};

enum class backend_kind {
    ModelEngine,
    PlainService,
};

// A backend server listed in the document itself, for fleets without an instance list.
struct server_entry {
    instance_id id;
    backend_kind kind = backend_kind::ModelEngine;
    failure_domain_name failureDomain;
    endpoint address;
    std::vector<version_ref> versions;
    service_name service;
    // Requests that it runs at once; 0 when that is not known.
    uint32_t slots = 0;

    friend bool operator==(const server_entry&, const server_entry&) = default;
};

// What operators publish: the whole configuration of a fleet. Never changed once parsed.
struct fleet_document {
    std::string name;
    std::string currency;
    std::vector<class_entry> classes;
    std::vector<version_entry> versions;
    std::vector<team_entry> teams;
    std::vector<exception_entry> exceptions;
    std::vector<service_entry> services;
    std::vector<server_entry> servers;

    const class_entry* findClass(const class_name& name) const;
    const version_entry* findVersion(const version_ref& ref) const;
    const team_entry* findTeam(const team_name& name) const;
    const service_entry* findService(const service_name& name) const;

    friend bool operator==(const fleet_document&, const fleet_document&) = default;
};

// True when the service says that this call must not be run twice. path is below the service's root.
bool isNonRepeatable(const service_entry& service, const std::string& method, const std::string& path);

// Parses and checks a document; file names the source in errors. Throws settings_error.
fleet_document parseFleetDocument(const std::string& text, const std::string& file);

// Writes a document as TOML; parsing the result gives an equal document.
std::string toToml(const fleet_document& document);

} // namespace pollen
