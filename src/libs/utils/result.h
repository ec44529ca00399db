#pragma once

#include "errorkind.h"

#include <boost/leaf.hpp>

#include <string>
#include <utility>

namespace utils {

/// Result of a function that can fail; carries a `utils::failure` through LEAF.
/// Functions that return it are synchronous: LEAF's error objects do not cross a coroutine's suspension.
template <class T> using result = boost::leaf::result<T>;

/// Makes the error of a `result`. Thread safe.
inline boost::leaf::error_id fail(error_kind kind, std::string detail)
{
    return boost::leaf::new_error(failure { kind, std::move(detail), {}, {} });
}

/// Runs `function`, which returns a result<T>, and hands its failure to `onFailure`, which returns T.
/// Any error that is not a `failure` becomes error_kind::Internal. Thread safe.
template <class Function, class OnFailure> auto valueOr(Function&& function, OnFailure&& onFailure)
{
    return boost::leaf::try_handle_all(
        std::forward<Function>(function), [&](const failure& f) { return onFailure(f); },
        [&] {
            return onFailure(failure { error_kind::Internal, "unexpected error", {}, {} });
        });
}

} // namespace utils
