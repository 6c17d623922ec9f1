// How layers report failures: Boost.LEAF results that carry one typed error of the failing layer.
// Each layer declares its own error struct beside its interface and converts errors from below.
#pragma once

#include <boost/leaf.hpp>
#include <string>
#include <utility>

namespace martenyard {

namespace leaf = boost::leaf;

/// A value, or the id of an error whose typed payload a handler further up receives.
template <typename T>
using Result = leaf::result<T>;

/// Runs `attempt`; on failure calls `on_error` with the layer's `Error` and returns its value.
/// Errors of another type reach `on_error` as a default `Error` (the layer below forgot to
/// convert).
template <typename Error, typename Attempt, typename OnError>
auto Recover(Attempt&& attempt, OnError&& on_error) {
  return leaf::try_handle_all(
      std::forward<Attempt>(attempt), [&](const Error& error) { return on_error(error); },
      [&] { return on_error(Error{}); });
}

/// Runs `attempt`; turns the layer below's `Error` into one of this layer's.
/// @param translate takes the error and returns what `leaf::new_error` gave for the new one.
template <typename Error, typename Attempt, typename Translate>
auto TranslateError(Attempt&& attempt, Translate&& translate) -> decltype(attempt()) {
  using Outcome = decltype(attempt());
  return leaf::try_handle_some(std::forward<Attempt>(attempt),
                               [&](const Error& error) -> Outcome { return translate(error); });
}

}  // namespace martenyard
