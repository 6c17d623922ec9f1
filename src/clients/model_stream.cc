#include "clients/model_stream.h"

#include <algorithm>
#include <utility>

namespace martenyard::clients {
namespace {

using nlohmann::json;

constexpr char kEnd[] = "[DONE]";
constexpr char kErrorEvent[] = "error";
/// Number of bytes of `resume_text` after which the engine continues.
constexpr char kPlace[] = "resumed_bytes";

/// @return the member, or null if missing; engines send null for absent values.
const json& MemberOrNull(const json& object, const char* name) {
  static const json kNull;
  auto found = object.find(name);
  return found == object.end() ? kNull : *found;
}

/// Reads a non-negative integer. @return false if the member is present but invalid.
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
  // Ignore data after the end of the stream or after a failure.
  if (finished_ || !fault_.empty()) {
    return;
  }
  if (event == kErrorEvent) {
    fault_ = "the engine reported an error";
    return;
  }
  if (data == kEnd) {
    if (accounted_ < resume_text_.size()) {
      fault_ = "the resumed stream ended before the resume position";
    }
    finished_ = true;
    return;
  }
  json chunk = json::parse(data, nullptr, /*allow_exceptions=*/false);
  if (!chunk.is_object()) {
    fault_ = "a chunk is not a JSON object";
    return;
  }
  TakeChunk(chunk);
}

void ModelStream::TakeChunk(const Json& chunk) {
  if (!MemberOrNull(chunk, kErrorEvent).is_null()) {
    fault_ = "the engine reported an error";
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
    fault_ = "a chunk has invalid usage or choices";
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
    fault_ = "the stream was resumed at the wrong position";
    return;
  }
  accounted_ = resume_text_.size();
}

void ModelStream::TakeChoice(const Json& choice) {
  // Only one choice is requested; other choices are invalid.
  std::int64_t index = 0;
  if (!choice.is_object() || !ReadCount(choice, "index", &index) || index != 0) {
    fault_ = "a chunk has an invalid or unrequested choice";
    return;
  }
  const json& delta = MemberOrNull(choice, "delta");
  if (delta.is_null()) {
    return;
  }
  if (!delta.is_object()) {
    fault_ = "a chunk has an invalid delta";
    return;
  }
  const json& content = MemberOrNull(delta, "content");
  if (content.is_string()) {
    TakeText(content.get<std::string>());
  } else if (!content.is_null()) {
    fault_ = "a chunk's content is not a string";
  }
}

void ModelStream::TakeText(std::string text) {
  text_came_ = text_came_ || !text.empty();
  // An engine that reports no resume position starts over, since it may not support `resume_text`.
  // It must repeat the earlier text, which is not passed on again.
  std::size_t again = std::min(text.size(), resume_text_.size() - accounted_);
  if (resume_text_.compare(accounted_, again, text, 0, again) != 0) {
    fault_ = "the resumed stream neither reports its position nor repeats the earlier text";
    return;
  }
  accounted_ += again;
  text.erase(0, again);
  if (!text.empty()) {
    on_text_(std::move(text));
  }
}

}  // namespace martenyard::clients
