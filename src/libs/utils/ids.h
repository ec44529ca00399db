#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace utils {

/// A strongly typed identifier: ids with different tags are different types.
template <class Tag> class strong_id {
public:
    strong_id() = default;
    explicit strong_id(std::string value)
        : m_value(std::move(value))
    {
    }

    /// Returns the id as text. Thread safe.
    const std::string& str() const { return m_value; }
    /// Thread safe.
    bool isEmpty() const { return m_value.empty(); }

    auto operator<=>(const strong_id&) const = default;

    friend std::ostream& operator<<(std::ostream& out, const strong_id& id) { return out << id.m_value; }

    template <class Archive> void serialize(Archive& archive) { archive(m_value); }

private:
    std::string m_value;
};

/// One lycheefrontd process on a VM, by the name in its settings.
using node_id = strong_id<struct node_tag>;
/// A data centre, e.g. "arequipa-1".
using data_centre_id = strong_id<struct data_centre_tag>;
/// A calling team.
using team_id = strong_id<struct team_tag>;
/// A set of interchangeable backend servers: a pool of model engines or a plain service.
using pool_id = strong_id<struct pool_tag>;
/// One backend server: a model engine or a replica of a plain service.
using server_id = strong_id<struct server_tag>;

/// Revision of the operators' configuration; each accepted change increments it by one.
using config_revision = std::uint64_t;

} // namespace utils

template <class Tag> struct std::hash<utils::strong_id<Tag>> {
    std::size_t operator()(const utils::strong_id<Tag>& id) const noexcept
    {
        return std::hash<std::string> {}(id.str());
    }
};
