// One run of a model call at an engine: reads its stream of chat-completion chunks and decides what
// of it belongs to the answer.
//
// What a run sends is part of the answer only where that is proven: every chunk up to `[DONE]` was
// read, and a run that was to go on after an earlier one either says where it goes on or makes the
// earlier one's text again. Text carries no ids, so an engine that says the right place and goes on
// elsewhere can't be found out.
#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "clients/backends.h"
#include "clients/sse.h"

namespace martenyard::clients {

/// Decision code: takes the body's bytes as they come and hands on the answer's new text.
class ModelStream {
 public:
  using TextCallback = std::function<void(std::string)>;

  /// @param resume_text what earlier runs had generated; empty for a run from the start.
  ModelStream(std::string resume_text, TextCallback on_text);
  ModelStream(const ModelStream&) = delete;
  ModelStream& operator=(const ModelStream&) = delete;

  /// Takes more of a successful answer's body. What comes after the end or a fault is dropped.
  void Feed(std::string_view bytes) { parser_.Feed(bytes); }
  /// @return true if the engine said that the answer is complete, and nothing speaks against it.
  bool finished() const { return finished_ && fault_.empty(); }
  /// @return why the run's text can't be relied on, or nothing. Nothing was handed on since then.
  const std::string& fault() const { return fault_; }
  const ModelUsage& usage() const { return usage_; }

 private:
  using Json = nlohmann::json;

  void TakeEvent(const std::string& event, const std::string& data);
  void TakeChunk(const Json& chunk);
  void TakePlace(const Json& chunk);
  void TakeChoice(const Json& choice);
  void TakeText(std::string text);

  std::string resume_text_;
  TextCallback on_text_;
  SseParser parser_;
  /// How much of `resume_text_` this run has accounted for, by saying so or by making it again.
  std::size_t accounted_ = 0;
  bool text_came_ = false;
  bool finished_ = false;
  std::string fault_;
  ModelUsage usage_;
};

}  // namespace martenyard::clients
