#pragma once

#include "kvtypes.h"

#include <boost/asio/awaitable.hpp>

#include <concepts>

namespace keyvalue {

/// Operations of the platform's key-value service. Modelled by kv_client and by the fakes of the tests. After
/// a reply of kv_status::Unknown a writing transaction may have taken effect or may do so later: the caller
/// reads the keys back and compares.
template <class Store>
concept key_value = requires(Store& store, const kv_transaction& transaction, const kv_get& range)
{
    {
        store.transact(transaction)
        } -> std::same_as<boost::asio::awaitable<kv_reply>>;
    {
        store.get(range)
        } -> std::same_as<boost::asio::awaitable<kv_reply>>;
    {
        store.grantLease(std::int64_t())
        } -> std::same_as<boost::asio::awaitable<kv_lease_reply>>;
    {
        store.keepLease(std::int64_t())
        } -> std::same_as<boost::asio::awaitable<kv_lease_reply>>;
    {
        store.revokeLease(std::int64_t())
        } -> std::same_as<boost::asio::awaitable<kv_lease_reply>>;
};

} // namespace keyvalue
