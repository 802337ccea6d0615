#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace pollen {

// A string identifier with a distinct type per kind, so that the compiler rejects mixing kinds. Immutable; ordered as
// its text.
template <typename Tag> class typed_id {
public:
    typed_id() = default;
    explicit typed_id(std::string text)
        : m_text(std::move(text))
    {
    }

    const std::string& text() const { return m_text; }
    bool empty() const { return m_text.empty(); }

    friend bool operator==(const typed_id&, const typed_id&) = default;
    friend std::strong_ordering operator<=>(const typed_id&, const typed_id&) = default;
    friend std::ostream& operator<<(std::ostream& out, const typed_id& id) { return out << id.m_text; }

private:
    std::string m_text;
};

using team_name = typed_id<struct team_tag>;
using class_name = typed_id<struct class_tag>;
using model_name = typed_id<struct model_tag>;
using version_name = typed_id<struct version_tag>;
using service_name = typed_id<struct service_tag>;
using failure_domain_name = typed_id<struct failure_domain_tag>;
using instance_id = typed_id<struct instance_tag>;
using request_id = typed_id<struct request_tag>;

// One version of one model, written "model/version".
struct version_ref {
    model_name model;
    version_name version;

    std::string text() const { return model.text() + "/" + version.text(); }

    friend bool operator==(const version_ref&, const version_ref&) = default;
    friend std::strong_ordering operator<=>(const version_ref&, const version_ref&) = default;
};

// Splits "model/version" at its first slash; without a slash the version is empty.
version_ref parseVersionRef(const std::string& text);

} // namespace pollen

template <typename Tag> struct std::hash<pollen::typed_id<Tag>> {
    size_t operator()(const pollen::typed_id<Tag>& id) const noexcept { return std::hash<std::string>()(id.text()); }
};
