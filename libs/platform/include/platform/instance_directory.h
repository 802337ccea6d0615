#pragma once

#include <base/endpoint.h>
#include <base/typed_id.h>
#include <functional>
#include <vector>

namespace pollen {

enum class instance_role {
    ModelEngine,
    PlainService,
    // An entry instance, which runs this system.
    Router,
};

// One instance on the platform's list.
struct listed_instance {
    instance_id id;
    instance_role role = instance_role::ModelEngine;
    failure_domain_name failureDomain;
    // Where it serves requests; for a router, where its peers reach it.
    endpoint address;
    // What an engine serves when nothing else is known.
    std::vector<version_ref> versions;
    service_name service;
    bool leaving = false;

    friend bool operator==(const listed_instance&, const listed_instance&) = default;
};

enum class directory_state {
    // The list is given.
    Changed,
    // It is the same as the last one given.
    Unchanged,
    // It cannot be had now.
    Unavailable,
};

struct directory_answer {
    directory_state state = directory_state::Unavailable;
    // Given when changed.
    std::vector<listed_instance> instances {};

    friend bool operator==(const directory_answer&, const directory_answer&) = default;
};

// The platform's list of live and leaving instances, which lags behind the truth.
class instance_directory {
public:
    virtual ~instance_directory() = default;

    using list_callback = std::function<void(const directory_answer&)>;
    virtual void list(list_callback callback) = 0;
};

} // namespace pollen
