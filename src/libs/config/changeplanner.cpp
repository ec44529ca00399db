#include "changeplanner.h"

#include "documentchecks.h"
#include "documentwriter.h"
#include "textdiff.h"

#include "utils/crypto.h"

#include <algorithm>

namespace config {

namespace {

/// Sections named in the history; a first apply of thousands would blow the head up.
constexpr std::size_t sectionsInHistory = 8;

/// A section as a change leaves it; no text: deleted.
struct wanted_section {
    std::string name;
    std::optional<std::string> text;
    bool isMerged = false; ///< made from the present section, so it cannot undo another's edit
};

/// Whose keys may edit a section; nothing if there is no such section.
std::optional<std::string> ownerOf(const document& whole, const std::string& name)
{
    const std::string id = name.substr(name.find('/') + 1);
    if (name.starts_with("teams/")) {
        const auto team = whole.teams.find(utils::team_id(id));
        return team == whole.teams.end() ? std::nullopt : std::optional(team->second.owner);
    }
    if (name.starts_with("pools/")) {
        const auto pool = whole.pools.find(utils::pool_id(id));
        return pool == whole.pools.end() ? std::nullopt : std::optional(pool->second.owner);
    }
    // Who may edit operators could make itself owner of everything.
    return whole.operators.contains(id) ? std::optional<std::string>("*") : std::nullopt;
}

class planner {
public:
    planner(const config_snapshot& snapshot, const change_request& request)
        : m_snapshot(snapshot)
        , m_request(request)
    {
    }

    plan_outcome run()
    {
        const std::optional<operator_entry> who
            = findOperator(*m_snapshot.whole, m_request.keyHash, m_request.firstKeyHash);
        if (!who)
            return refuse(utils::error_kind::OperatorUnknown, "the key belongs to no operator");
        for (const section_edit& edit : m_request.edits) {
            if (!std::visit([&](const auto& e) { return add(e); }, edit))
                return std::move(m_refused);
        }
        if (m_wanted.empty())
            return unchanged();
        m_next = *m_snapshot.whole;
        for (const wanted_section& section : m_wanted) {
            if (!accept(section, *who))
                return std::move(m_refused);
        }
        if (!isSound())
            return std::move(m_refused);
        return plan(who->name);
    }

private:
    plan_outcome refuse(utils::error_kind kind, std::string detail)
    {
        plan_outcome refused;
        refused.verdict.failure = { kind, std::move(detail), {}, {} };
        return refused;
    }

    bool fails(utils::error_kind kind, std::string detail)
    {
        m_refused = refuse(kind, std::move(detail));
        return false;
    }

    plan_outcome unchanged() const
    {
        plan_outcome outcome;
        outcome.verdict.verdict = change_verdict::Unchanged;
        outcome.verdict.revision = m_snapshot.head.revision;
        return outcome;
    }

    /// Notes a section, unless it already is as wanted.
    bool want(wanted_section section)
    {
        const auto present = m_snapshot.texts.find(section.name);
        const bool isPresent = present != m_snapshot.texts.end();
        if (isPresent != section.text.has_value() || (isPresent && present->second != *section.text))
            m_wanted.push_back(std::move(section));
        return true;
    }

    bool add(const put_section& edit) { return want({ edit.name, edit.text, false }); }
    bool add(const delete_section& edit) { return want({ edit.name, std::nullopt, false }); }

    bool add(const set_approval& edit)
    {
        const auto pool = m_snapshot.whole->pools.find(edit.pool);
        if (pool == m_snapshot.whole->pools.end())
            return fails(utils::error_kind::InvalidDocument, "there is no pool \"" + edit.pool.str() + '"');
        server_pool changed = pool->second;
        if (edit.isApproved)
            changed.approved.insert(edit.team);
        else
            changed.approved.erase(edit.team);
        return want({ "pools/" + edit.pool.str(), sectionText(changed), true });
    }

    bool add(const set_leaving& edit)
    {
        for (const auto& [id, pool] : m_snapshot.whole->pools) {
            server_pool changed = pool;
            const auto server = std::ranges::find(changed.servers, edit.server, &backend_server::id);
            if (server == changed.servers.end())
                continue;
            server->isLeaving = edit.isLeaving;
            return want({ "pools/" + id.str(), sectionText(changed), true });
        }
        return fails(
            utils::error_kind::InvalidDocument, "there is no backend server \"" + edit.server.str() + '"');
    }

    /// Checks one section and puts it into the next document.
    bool accept(const wanted_section& section, const operator_entry& who)
    {
        if (!checkOwner(section.name, *m_snapshot.whole, who) || !checkConflict(section))
            return false;
        const std::vector<problem> found = replaceSection(m_next, section.name, section.text);
        m_problems.insert(m_problems.end(), found.begin(), found.end());
        return !found.empty() || checkOwner(section.name, m_next, who);
    }

    bool checkOwner(const std::string& name, const document& whole, const operator_entry& who)
    {
        const std::optional<std::string> owner = ownerOf(whole, name);
        if (!owner || mayEdit(who, *owner))
            return true;
        return fails(
            utils::error_kind::NotOwner, name + " belongs to \"" + *owner + "\", not to " + who.name);
    }

    /// A section that was changed, or deleted, after the operator read it is not written over: the change
    /// in between would vanish without anybody having seen it.
    bool checkConflict(const wanted_section& section)
    {
        const auto entry = m_snapshot.entries.find(section.name);
        const bool isChangedSince
            = entry != m_snapshot.entries.end() && entry->second.changedAt > m_request.baseRevision;
        if (!isChangedSince || section.isMerged || m_request.overwrites)
            return true;
        fails(utils::error_kind::EditConflict,
            section.name + " was changed at revision " + std::to_string(entry->second.changedAt)
                + ", after revision " + std::to_string(m_request.baseRevision) + " that was edited");
        const auto present = m_snapshot.texts.find(section.name);
        m_refused.verdict.diff
            = diffLines(present == m_snapshot.texts.end() ? "" : present->second, section.text.value_or(""));
        m_refused.verdict.sections = { section.name };
        return false;
    }

    bool isSound()
    {
        if (m_problems.empty()) {
            for (const document_fault& fault : checkDocument(m_next))
                m_problems.push_back({ "document", 0, 0, fault.path, fault.message });
        }
        if (m_problems.empty())
            return true;
        fails(utils::error_kind::InvalidDocument, toString(m_problems.front()));
        m_refused.verdict.problems = std::move(m_problems);
        return false;
    }

    plan_outcome plan(const std::string& who)
    {
        planned_change change;
        change.head = m_snapshot.head;
        change.head.revision = m_snapshot.head.revision + 1;
        change.expectedModRevision = m_snapshot.headModRevision;
        section_entries entries = m_snapshot.entries;
        std::set<std::size_t> buckets;
        for (const wanted_section& section : m_wanted) {
            section_entry& entry = entries[section.name];
            if (!entry.hash.empty())
                change.deletes.insert(entry.hash);
            entry.hash = section.text ? blobHash(section.name, *section.text) : std::string();
            entry.changedAt = change.head.revision;
            if (section.text)
                change.puts[entry.hash] = *section.text;
            buckets.insert(bucketOf(section.name));
            change.updates.push_back({ section.name, entry, section.text.value_or("") });
            change.sections.push_back(section.name);
        }
        for (const std::size_t bucket : buckets)
            rewrite(bucket, entries, change);
        for (const auto& [hash, text] : change.puts)
            change.deletes.erase(hash);
        remember(who, change);
        return { std::move(change), {} };
    }

    static void rewrite(std::size_t bucket, const section_entries& entries, planned_change& change)
    {
        std::string& hash = change.head.buckets.at(bucket);
        if (!hash.empty())
            change.deletes.insert(hash);
        std::string text = bucketText(entries, bucket);
        hash = blobHash(bucketName(bucket), text);
        change.puts[hash] = std::move(text);
    }

    void remember(const std::string& who, planned_change& change) const
    {
        change_record record { m_request.id, who, change.head.revision, m_request.wallSeconds,
            change.sections, change.sections.size() };
        record.sections.resize(std::min(record.sections.size(), sectionsInHistory));
        std::vector<change_record>& history = change.head.history;
        history.push_back(std::move(record));
        if (history.size() > historyLength)
            history.erase(history.begin());
    }

    const config_snapshot& m_snapshot;
    const change_request& m_request;
    std::vector<wanted_section> m_wanted;
    document m_next;
    std::vector<problem> m_problems;
    plan_outcome m_refused;
};

} // namespace

plan_outcome planChange(const config_snapshot& snapshot, const change_request& request)
{
    return planner(snapshot, request).run();
}

std::optional<operator_entry> findOperator(
    const document& whole, std::string_view keyHash, std::string_view firstKeyHash)
{
    if (const operator_entry* known = whole.operatorByKeyHash(keyHash))
        return *known;
    const bool isFirst
        = whole.operators.empty() && !firstKeyHash.empty() && utils::equalConstantTime(keyHash, firstKeyHash);
    if (!isFirst)
        return std::nullopt;
    return operator_entry { "first-key", {}, { "*" } };
}

} // namespace config
