#include "clients/model_stream.h"

#include <algorithm>
#include <utility>

namespace martenyard::clients {
namespace {

using nlohmann::json;

constexpr char kEnd[] = "[DONE]";
constexpr char kErrorEvent[] = "error";
/// The engine's word that it goes on after so many bytes of `resume_text`.
constexpr char kPlace[] = "resumed_bytes";

/// @return the member, or null where it is missing: engines send null for what they don't have.
const json& MemberOrNull(const json& object, const char* name) {
  static const json kNull;
  auto found = object.find(name);
  return found == object.end() ? kNull : *found;
}

/// Reads a count. @return false if the member is there and is none.
bool ReadCount(const json& object, const char* name, std::int64_t* count) {
  const json& member = MemberOrNull(object, name);
  if (member.is_null()) {
    return true;
  }
  if (!member.is_number_integer() || member.get<std::int64_t>() < 0) {
    return false;
  }
  *count = member.get<std::int64_t>();
  return true;
}

}  // namespace

ModelStream::ModelStream(std::string resume_text, TextCallback on_text)
    : resume_text_(std::move(resume_text)),
      on_text_(std::move(on_text)),
      parser_(
          [this](const std::string& event, const std::string& data) { TakeEvent(event, data); }) {}

void ModelStream::TakeEvent(const std::string& event, const std::string& data) {
  // Nothing is owed to what comes after the end that the engine told, or after a fault.
  if (finished_ || !fault_.empty()) {
    return;
  }
  if (event == kErrorEvent) {
    fault_ = "the engine told an error";
    return;
  }
  if (data == kEnd) {
    if (accounted_ < resume_text_.size()) {
      fault_ = "the resumed run ended before the place where it was to go on";
    }
    finished_ = true;
    return;
  }
  json chunk = json::parse(data, nullptr, /*allow_exceptions=*/false);
  if (!chunk.is_object()) {
    fault_ = "a chunk is no JSON object";
    return;
  }
  TakeChunk(chunk);
}

void ModelStream::TakeChunk(const Json& chunk) {
  if (!MemberOrNull(chunk, kErrorEvent).is_null()) {
    fault_ = "the engine told an error";
    return;
  }
  TakePlace(chunk);
  const json& usage = MemberOrNull(chunk, "usage");
  bool good_usage =
      usage.is_null() ||
      (usage.is_object() && ReadCount(usage, "prompt_tokens", &usage_.prompt_tokens) &&
       ReadCount(usage, "cached_tokens", &usage_.cached_tokens) &&
       ReadCount(usage, "completion_tokens", &usage_.completion_tokens));
  const json& choices = MemberOrNull(chunk, "choices");
  if (!good_usage || (!choices.is_null() && !choices.is_array())) {
    fault_ = "a chunk's usage or choices can't be read";
  }
  if (!choices.is_array()) {
    return;
  }
  for (const json& choice : choices) {
    if (!fault_.empty()) {
      return;
    }
    TakeChoice(choice);
  }
}

void ModelStream::TakePlace(const Json& chunk) {
  if (MemberOrNull(chunk, kPlace).is_null()) {
    return;
  }
  std::int64_t place = -1;
  bool right = ReadCount(chunk, kPlace, &place) &&
               place == static_cast<std::int64_t>(resume_text_.size()) && !text_came_;
  if (!right) {
    fault_ = "the run goes on elsewhere than it was to";
    return;
  }
  accounted_ = resume_text_.size();
}

void ModelStream::TakeChoice(const Json& choice) {
  // One choice is asked for; another one's text is no part of the answer.
  std::int64_t index = 0;
  if (!choice.is_object() || !ReadCount(choice, "index", &index) || index != 0) {
    fault_ = "a chunk's choice can't be read or was not asked for";
    return;
  }
  const json& delta = MemberOrNull(choice, "delta");
  if (delta.is_null()) {
    return;
  }
  if (!delta.is_object()) {
    fault_ = "a chunk's delta can't be read";
    return;
  }
  const json& content = MemberOrNull(delta, "content");
  if (content.is_string()) {
    TakeText(content.get<std::string>());
  } else if (!content.is_null()) {
    fault_ = "a chunk's content is no text";
  }
}

void ModelStream::TakeText(std::string text) {
  text_came_ = text_came_ || !text.empty();
  // A run that did not say that it goes on is held to begin anew, as an engine does that does not
  // know `resume_text`. It must make the earlier text again; that part is not handed on twice.
  std::size_t again = std::min(text.size(), resume_text_.size() - accounted_);
  if (resume_text_.compare(accounted_, again, text, 0, again) != 0) {
    fault_ = "the resumed run neither says where it goes on nor makes the earlier text again";
    return;
  }
  accounted_ += again;
  text.erase(0, again);
  if (!text.empty()) {
    on_text_(std::move(text));
  }
}

}  // namespace martenyard::clients
