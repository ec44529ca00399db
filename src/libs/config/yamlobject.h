#pragma once

#include "yamlcontext.h"

#include "utils/time.h"

#include <yaml-cpp/yaml.h>

#include <functional>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace config {

struct named_yaml_object;

/// Range of a number in a YAML field, both ends included.
struct number_range {
    double lowest = 0;
    double highest = std::numeric_limits<double>::max();
};

/// A YAML mapping read field by field against a schema. Each reading function reports a wrong value to
/// the context and returns the fallback, so that one run lists every problem of a file. refuseOthers()
/// at the end reports each field that was not read: a misspelt limit that is silently ignored would look
/// as if it were in force.
/// Not thread safe. Precondition: the context outlives this.
class yaml_object {
public:
    yaml_object(const YAML::Node& node, std::string path, yaml_context& context);

    /// Reads a whole text. A text that is not YAML is reported; empty text reads as an empty mapping.
    static yaml_object fromText(const std::string& text, std::string path, yaml_context& context);

    bool has(std::string_view key) const;
    const std::string& path() const { return m_path; }
    std::string pathOf(std::string_view key) const;

    std::string text(const std::string& key, std::string fallback = {});
    std::string requiredText(const std::string& key);
    /// A letter, digit, '.', '_' or '-', at most 64 of them.
    std::string requiredName(const std::string& key);
    double number(const std::string& key, double fallback, number_range range);
    unsigned count(const std::string& key, unsigned fallback, number_range range);
    bool flag(const std::string& key, bool fallback);
    /// "250ms", "30s", "5m" or "2h".
    utils::duration time(const std::string& key, utils::duration fallback, utils::duration highest);
    std::vector<std::string> texts(const std::string& key);
    /// "ip:port", IPv6 in brackets.
    std::string address(const std::string& key, bool isRequired);
    std::vector<std::string> addresses(const std::string& key);
    /// Lower-case hexadecimal SHA-256 digests.
    std::vector<std::string> digests(const std::string& key);
    /// The value that `fromName` finds; `expected` lists the names for the problem.
    template <class Value>
    Value choice(const std::string& key, Value fallback,
        const std::function<std::optional<Value>(std::string_view)>& fromName, const std::string& expected)
    {
        if (!has(key))
            return fallback;
        const std::optional<Value> value = fromName(text(key));
        if (!value)
            reportValue(key, "expected " + expected);
        return value.value_or(fallback);
    }

    /// The mapping in that field, empty when absent.
    yaml_object object(const std::string& key);
    /// A mapping from names to mappings.
    std::vector<named_yaml_object> objects(const std::string& key);
    /// A list of mappings.
    std::vector<yaml_object> list(const std::string& key);

    /// Reports each field that no call has read.
    void refuseOthers();
    /// Reports a problem with the value of a field.
    void reportValue(std::string_view key, std::string message);
    /// Reports a missing field.
    void reportMissing(std::string_view key, const std::string& expected);

private:
    std::optional<std::string> scalar(const std::string& key, const std::string& expected);
    std::optional<YAML::Node> sequence(const std::string& key, const std::string& expected);
    YAML::Node find(std::string_view key) const;

    YAML::Node m_node;
    std::string m_path;
    yaml_context* m_context;
    std::set<std::string, std::less<>> m_read;
};

/// One entry of a mapping from names to mappings.
struct named_yaml_object {
    std::string name;
    yaml_object object;
};

} // namespace config
