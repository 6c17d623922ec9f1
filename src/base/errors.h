// Error handling with Boost.LEAF: results carry one typed error of the failing layer. Each layer
// declares its own error struct next to its interface and translates errors of lower layers.
#pragma once

#include <boost/leaf.hpp>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <utility>

namespace martenyard {

namespace leaf = boost::leaf;

/// A value, or an error id whose typed payload is passed to a handler up the call stack.
template <typename T>
using Result = leaf::result<T>;

/// Runs `attempt`; on failure calls `on_error` with the layer's `Error` and returns its value.
/// Errors of another type, which a lower layer failed to translate, reach `on_error` as a
/// default-constructed `Error`.
template <typename Error, typename Attempt, typename OnError>
auto Recover(Attempt&& attempt, OnError&& on_error) {
  return leaf::try_handle_all(
      std::forward<Attempt>(attempt), [&](const Error& error) { return on_error(error); },
      [&] { return on_error(Error{}); });
}

/// @return the value of `attempt`. Throws std::runtime_error with the error's detail if there is
/// none; for tests and benchmarks, which cannot continue without it.
template <typename Error, typename Attempt>
auto ValueOrThrow(Attempt&& attempt) {
  using Value = std::decay_t<decltype(attempt().value())>;
  return Recover<Error>(std::forward<Attempt>(attempt), [](const Error& error) -> Value {
    throw std::runtime_error(error.detail.empty() ? "an error of another layer" : error.detail);
  });
}

/// Runs `attempt` and translates an `Error` of a lower layer into one of this layer.
/// @param translate takes the error and returns the result of `leaf::new_error` for the new one.
template <typename Error, typename Attempt, typename Translate>
auto TranslateError(Attempt&& attempt, Translate&& translate) -> decltype(attempt()) {
  using Outcome = decltype(attempt());
  return leaf::try_handle_some(std::forward<Attempt>(attempt),
                               [&](const Error& error) -> Outcome { return translate(error); });
}

}  // namespace martenyard
