#include "yamlobject.h"

#include "fieldformats.h"

#include <charconv>
#include <cmath>

namespace config {

namespace {

std::string kindOf(const YAML::Node& node)
{
    switch (node.Type()) {
    case YAML::NodeType::Null:
        return "nothing";
    case YAML::NodeType::Scalar:
        return '"' + node.Scalar() + '"';
    case YAML::NodeType::Sequence:
        return "a list";
    case YAML::NodeType::Map:
        return "a mapping";
    case YAML::NodeType::Undefined:
        break;
    }
    return "nothing";
}

std::string joined(const std::string& path, std::string_view key)
{
    return path.empty() ? std::string(key) : path + '.' + std::string(key);
}

std::string shortNumber(double value)
{
    std::array<char, 32> buffer {};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value).ptr;
    return { buffer.data(), end };
}

std::string rangeText(number_range range)
{
    if (range.highest == std::numeric_limits<double>::max())
        return "at least " + shortNumber(range.lowest);
    return "from " + shortNumber(range.lowest) + " to " + shortNumber(range.highest);
}

} // namespace

yaml_object::yaml_object(const YAML::Node& node, std::string path, yaml_context& context)
    : m_node(node)
    , m_path(std::move(path))
    , m_context(&context)
{
    if (!m_node.IsDefined() || m_node.IsNull()) {
        m_node.reset(YAML::Node(YAML::NodeType::Map)); // an assignment would change the text's tree
        return;
    }
    if (!m_node.IsMap()) {
        m_context->report(m_node.Mark(), m_path, "expected a mapping, found " + kindOf(m_node));
        m_node.reset(YAML::Node(YAML::NodeType::Map)); // an assignment would change the text's tree
        return;
    }
    std::set<std::string> seen;
    for (const auto& field : m_node) {
        const std::string key = field.first.IsScalar() ? field.first.Scalar() : std::string();
        m_context->remember(pathOf(key), field.second.IsScalar() ? field.second.Mark() : field.first.Mark());
        if (!field.first.IsScalar())
            m_context->report(field.first.Mark(), m_path, "expected a name, found " + kindOf(field.first));
        else if (!seen.insert(key).second)
            m_context->report(field.first.Mark(), pathOf(key), "the field stands here twice");
    }
}

yaml_object yaml_object::fromText(const std::string& text, std::string path, yaml_context& context)
{
    try {
        return { YAML::Load(text), std::move(path), context };
    } catch (const YAML::Exception& e) {
        context.report(e.mark, path, "not YAML: " + e.msg);
    }
    return { YAML::Node(YAML::NodeType::Map), std::move(path), context };
}

YAML::Node yaml_object::find(std::string_view key) const
{
    for (const auto& field : m_node) {
        if (field.first.IsScalar() && field.first.Scalar() == key)
            return field.second;
    }
    return YAML::Node(YAML::NodeType::Undefined);
}

bool yaml_object::has(std::string_view key) const
{
    return find(key).IsDefined();
}

std::string yaml_object::pathOf(std::string_view key) const
{
    return joined(m_path, key);
}

void yaml_object::reportValue(std::string_view key, std::string message)
{
    const YAML::Node value = find(key);
    if (value.IsDefined())
        message += ", found " + kindOf(value);
    m_context->reportAt(pathOf(key), std::move(message));
}

void yaml_object::reportMissing(std::string_view key, const std::string& expected)
{
    m_context->reportAt(pathOf(key), "the field is missing, expected " + expected);
}

std::optional<std::string> yaml_object::scalar(const std::string& key, const std::string& expected)
{
    m_read.insert(key);
    const YAML::Node value = find(key);
    if (!value.IsDefined())
        return std::nullopt;
    if (!value.IsScalar()) {
        reportValue(key, "expected " + expected);
        return std::nullopt;
    }
    return value.Scalar();
}

std::optional<YAML::Node> yaml_object::sequence(const std::string& key, const std::string& expected)
{
    m_read.insert(key);
    YAML::Node value = find(key);
    if (!value.IsDefined())
        return std::nullopt;
    if (!value.IsSequence()) {
        reportValue(key, "expected " + expected);
        return std::nullopt;
    }
    return value;
}

std::string yaml_object::text(const std::string& key, std::string fallback)
{
    return scalar(key, "text").value_or(std::move(fallback));
}

std::string yaml_object::requiredText(const std::string& key)
{
    if (!has(key)) {
        reportMissing(key, "text");
        return {};
    }
    std::string value = text(key);
    if (value.empty() && find(key).IsScalar())
        reportValue(key, "expected text");
    return value;
}

std::string yaml_object::requiredName(const std::string& key)
{
    std::string value = requiredText(key);
    if (!value.empty() && !isName(value))
        reportValue(key, std::string("expected ") + nameFormat);
    return value;
}

double yaml_object::number(const std::string& key, double fallback, number_range range)
{
    const std::string expected = "a number " + rangeText(range);
    const std::optional<std::string> value = scalar(key, expected);
    if (!value)
        return fallback;
    double parsed = 0;
    const auto [end, error] = std::from_chars(value->data(), value->data() + value->size(), parsed);
    const bool isWhole = error == std::errc() && end == value->data() + value->size();
    if (!isWhole || !std::isfinite(parsed) || parsed < range.lowest || parsed > range.highest) {
        reportValue(key, "expected " + expected);
        return fallback;
    }
    return parsed;
}

unsigned yaml_object::count(const std::string& key, unsigned fallback, number_range range)
{
    range.highest = std::min(range.highest, double(std::numeric_limits<unsigned>::max()));
    const double value = number(key, fallback, range);
    if (value != std::floor(value)) {
        reportValue(key, "expected a whole number " + rangeText(range));
        return fallback;
    }
    return static_cast<unsigned>(value);
}

bool yaml_object::flag(const std::string& key, bool fallback)
{
    const std::optional<std::string> value = scalar(key, "true or false");
    if (!value || *value == "true" || *value == "false")
        return value ? *value == "true" : fallback;
    reportValue(key, "expected true or false");
    return fallback;
}

utils::duration yaml_object::time(const std::string& key, utils::duration fallback, utils::duration highest)
{
    const std::optional<std::string> value = scalar(key, "a time such as 250ms, 30s or 5m");
    if (!value)
        return fallback;
    const std::optional<utils::duration> parsed = durationFromText(*value);
    if (parsed && *parsed > utils::duration::zero() && *parsed <= highest)
        return *parsed;
    reportValue(
        key, "expected a time such as 250ms, 30s or 5m, above 0 and at most " + durationText(highest));
    return fallback;
}

std::vector<std::string> yaml_object::texts(const std::string& key)
{
    std::vector<std::string> found;
    const std::optional<YAML::Node> items = sequence(key, "a list of texts");
    if (!items)
        return found;
    for (std::size_t i = 0; i < items->size(); ++i) {
        const YAML::Node item = (*items)[i];
        const std::string itemPath = pathOf(key) + '[' + std::to_string(i) + ']';
        m_context->remember(itemPath, item.Mark());
        if (item.IsScalar() && !item.Scalar().empty())
            found.push_back(item.Scalar());
        else
            m_context->report(item.Mark(), itemPath, "expected text, found " + kindOf(item));
    }
    return found;
}

std::string yaml_object::address(const std::string& key, bool isRequired)
{
    std::string value = isRequired ? requiredText(key) : text(key);
    if (!value.empty() && !isAddress(value))
        reportValue(key, std::string("expected ") + addressFormat);
    return value;
}

std::vector<std::string> yaml_object::addresses(const std::string& key)
{
    std::vector<std::string> found = texts(key);
    for (const std::string& item : found) {
        if (!isAddress(item))
            m_context->reportAt(
                pathOf(key), std::string("expected ") + addressFormat + ", found \"" + item + '"');
    }
    return found;
}

std::vector<std::string> yaml_object::digests(const std::string& key)
{
    std::vector<std::string> found = texts(key);
    for (const std::string& item : found) {
        if (!isDigest(item))
            m_context->reportAt(
                pathOf(key), std::string("expected ") + digestFormat + ", found \"" + item + '"');
    }
    return found;
}

yaml_object yaml_object::object(const std::string& key)
{
    m_read.insert(key);
    return { find(key), pathOf(key), *m_context };
}

std::vector<named_yaml_object> yaml_object::objects(const std::string& key)
{
    std::vector<named_yaml_object> found;
    const yaml_object entries = object(key);
    for (const auto& entry : entries.m_node) {
        if (!entry.first.IsScalar())
            continue;
        const std::string name = entry.first.Scalar();
        if (!isName(name))
            m_context->report(
                entry.first.Mark(), entries.pathOf(name), std::string("expected ") + nameFormat);
        else
            found.push_back({ name, yaml_object(entry.second, entries.pathOf(name), *m_context) });
    }
    return found;
}

std::vector<yaml_object> yaml_object::list(const std::string& key)
{
    std::vector<yaml_object> found;
    const std::optional<YAML::Node> items = sequence(key, "a list of mappings");
    if (!items)
        return found;
    for (std::size_t i = 0; i < items->size(); ++i) {
        const std::string itemPath = pathOf(key) + '[' + std::to_string(i) + ']';
        m_context->remember(itemPath, (*items)[i].Mark());
        found.emplace_back((*items)[i], itemPath, *m_context);
    }
    return found;
}

void yaml_object::refuseOthers()
{
    for (const auto& field : m_node) {
        if (field.first.IsScalar() && !m_read.contains(field.first.Scalar()))
            m_context->report(field.first.Mark(), pathOf(field.first.Scalar()), "there is no such field");
    }
}

} // namespace config
