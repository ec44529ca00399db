#pragma once

#include "keyvalue/kvclient.h"
#include "utils/time.h"

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace serving {

/// The platform lease that ends the retention of operation records. One lease serves all records of some
/// minutes: a lease for each record would cost a platform call for each payment. Not thread safe.
class retention_lease {
public:
    /// How long a record is kept at least: at most once holds for a key for this time.
    static constexpr std::chrono::hours retention { 24 };
    /// How long one lease takes new records.
    static constexpr std::chrono::minutes sharedFor { 10 };

    /// Precondition: the client outlives this.
    explicit retention_lease(keyvalue::kv_client& kv)
        : m_kv(kv)
    {
    }

    /// A lease with at least `retention` to go; 0 when the platform cannot grant one.
    boost::asio::awaitable<std::int64_t> current(utils::time_point now);

private:
    keyvalue::kv_client& m_kv;
    std::int64_t m_lease = 0;
    std::optional<utils::time_point> m_grantedAt;
};

} // namespace serving
