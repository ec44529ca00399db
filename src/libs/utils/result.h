#pragma once

#include "errorkind.h"

#include <boost/leaf.hpp>

#include <string>
#include <utility>

namespace utils {

/// Result of a function that can fail; the error is a `utils::failure`, transported by LEAF.
/// Only for synchronous functions: LEAF's error objects do not survive the suspension of a coroutine.
template <class T> using result = boost::leaf::result<T>;

/// Makes an error to return as a `result`. Thread safe.
inline boost::leaf::error_id fail(error_kind kind, std::string detail)
{
    return boost::leaf::new_error(failure { kind, std::move(detail), {}, {} });
}

/// Calls `function`, which returns a result<T>, and returns its value. If it fails, returns
/// `onFailure(failure)` instead, which returns T. Any error that is not a `failure` becomes
/// error_kind::Internal. Thread safe.
template <class Function, class OnFailure> auto valueOr(Function&& function, OnFailure&& onFailure)
{
    return boost::leaf::try_handle_all(
        std::forward<Function>(function), [&](const failure& f) { return onFailure(f); },
        [&] {
            return onFailure(failure { error_kind::Internal, "unexpected error", {}, {} });
        });
}

} // namespace utils
