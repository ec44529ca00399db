#pragma once

#include "standinthread.h"

#include "standins_common/httplistener.h"

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

namespace platform_standin {

/// How the store treats those who call.
enum class store_mode {
    Serve,
    Refuse, ///< 503: nothing was done
    RefuseWrites, ///< the same for writes; reads are served
    Silent ///< no answer at all
};

/// The platform's store as its pages describe it, as far as a gateway uses it: range, single items, watch,
/// and writes of single items under a condition. Changes come from the test, as they come from operators and
/// backend servers. Thread safe.
class store_standin {
public:
    explicit store_standin(standin_thread& thread);

    /// A listener of its own for one node, so that nodes can be treated differently; its port.
    unsigned short listen();
    void setMode(unsigned short port, store_mode mode);
    /// Values read on that port have other texts, by the text in the store: another address of a replica, for
    /// one node alone.
    void setSubstitutions(unsigned short port, std::map<std::string, std::string> texts);
    std::uint64_t put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /// The value of an item; nothing if there is none.
    std::optional<std::string> value(const std::string& key) const;
    /// Watches from before now get 410.
    void forgetHistory();
    /// Watches that wait on that port hear nothing for as long as it is set.
    void setDeaf(unsigned short port, bool isDeaf);
    std::uint64_t callCount(unsigned short port) const;

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
    };
    struct change {
        std::string key;
        std::uint64_t revision = 0;
        std::optional<std::string> value; ///< nothing: removed
    };
    struct listener {
        store_mode mode = store_mode::Serve;
        bool isDeaf = false;
        std::uint64_t calls = 0;
        std::map<std::string, std::string> substitutions;
    };

    boost::asio::awaitable<bool> answer(
        unsigned short port, standins_common::http_request& request, standins_common::tcp_socket& socket);
    std::string rangeJson(unsigned short port, const std::string& prefix) const;
    /// Writes an item. Returns the status and the body of the answer.
    std::pair<int, std::string> write(const std::string& call);
    /// Nothing if there is no such item.
    std::optional<std::string> readJson(unsigned short port, const std::string& key) const;
    std::optional<std::string> changesJson(
        unsigned short port, const std::string& prefix, std::uint64_t after) const;
    bool isForgotten(std::uint64_t after) const;
    std::string substituted(unsigned short port, std::string value) const;

    standin_thread& m_thread;
    mutable std::mutex m_mutex;
    std::map<unsigned short, listener> m_listeners;
    std::map<std::string, item> m_items;
    std::deque<change> m_history;
    std::uint64_t m_revision = 1;
    std::uint64_t m_forgottenTo = 0;
};

} // namespace platform_standin
