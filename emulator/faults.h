// Faults that a test or a person switches on, per emulated part.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>

#include "absl/time/time.h"

namespace martenyard::emulator {

struct Faults {
  absl::Duration delay;       ///< Added to every answer.
  bool refuse = false;        ///< 503 at once; nothing runs.
  bool hang = false;          ///< Takes the request and never answers.
  bool leaving = false;       ///< Engines: refuses new work as leaving.
  int lose_answers = 0;       ///< So many next requests take effect, then the connection breaks.
  int cut_after_tokens = -1;  ///< Engines: breaks streams off after so many tokens.
};

/// Sets the faults that `body` names; others stay. @return false for unknown or mistyped fields.
inline bool SetFaults(const nlohmann::json& body, Faults& faults) {
  Faults next = faults;
  for (const auto& [key, value] : body.items()) {
    if (key == "target") {
      continue;
    }
    if (key == "delay_ms" && value.is_number()) {
      next.delay = absl::Milliseconds(value.get<double>());
    } else if (key == "refuse" && value.is_boolean()) {
      next.refuse = value.get<bool>();
    } else if (key == "hang" && value.is_boolean()) {
      next.hang = value.get<bool>();
    } else if (key == "leaving" && value.is_boolean()) {
      next.leaving = value.get<bool>();
    } else if (key == "lose_answers" && value.is_number_integer()) {
      next.lose_answers = value.get<int>();
    } else if (key == "cut_after_tokens" && value.is_number_integer()) {
      next.cut_after_tokens = value.get<int>();
    } else {
      return false;
    }
  }
  faults = next;
  return true;
}

}  // namespace martenyard::emulator
