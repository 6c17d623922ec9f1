#include "clients/model_stream.h"

#include <algorithm>
#include <utility>

namespace martenyard::clients {
namespace {

using nlohmann::json;

constexpr char kDoneMarker[] = "[DONE]";
constexpr char kErrorEvent[] = "error";
/// Number of bytes of `resume_text` after which the engine continues.
constexpr char kResumedBytes[] = "resumed_bytes";

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
      parser_([this](const std::string& event, const std::string& data) {
        HandleEvent(event, data);
      }) {}

void ModelStream::Feed(std::string_view bytes) {
  parser_.Feed(bytes);
  if (parser_.too_large() && !finished_ && failure_.empty()) {
    failure_ = "an event of the stream is too large";
  }
}

void ModelStream::HandleEvent(const std::string& event, const std::string& data) {
  // Ignore data after the end of the stream or after a failure.
  if (finished_ || !failure_.empty()) {
    return;
  }
  if (event == kErrorEvent) {
    failure_ = "the engine reported an error";
    return;
  }
  if (data == kDoneMarker) {
    if (matched_bytes_ < resume_text_.size()) {
      failure_ = "the resumed stream ended before the resume position";
    }
    finished_ = true;
    return;
  }
  json chunk = json::parse(data, nullptr, /*allow_exceptions=*/false);
  if (!chunk.is_object()) {
    failure_ = "a chunk is not a JSON object";
    return;
  }
  HandleChunk(chunk);
}

void ModelStream::HandleChunk(const Json& chunk) {
  if (!MemberOrNull(chunk, kErrorEvent).is_null()) {
    failure_ = "the engine reported an error";
    return;
  }
  HandleResumePosition(chunk);
  const json& usage = MemberOrNull(chunk, "usage");
  bool valid_usage =
      usage.is_null() ||
      (usage.is_object() && ReadCount(usage, "prompt_tokens", &usage_.prompt_tokens) &&
       ReadCount(usage, "cached_tokens", &usage_.cached_tokens) &&
       ReadCount(usage, "completion_tokens", &usage_.completion_tokens));
  const json& choices = MemberOrNull(chunk, "choices");
  if (!valid_usage || (!choices.is_null() && !choices.is_array())) {
    failure_ = "a chunk has invalid usage or choices";
  }
  if (!choices.is_array()) {
    return;
  }
  for (const json& choice : choices) {
    if (!failure_.empty()) {
      return;
    }
    HandleChoice(choice);
  }
}

void ModelStream::HandleResumePosition(const Json& chunk) {
  if (MemberOrNull(chunk, kResumedBytes).is_null()) {
    return;
  }
  std::int64_t position = -1;
  bool valid = ReadCount(chunk, kResumedBytes, &position) &&
               position == static_cast<std::int64_t>(resume_text_.size()) && !text_received_;
  if (!valid) {
    failure_ = "the stream was resumed at the wrong position";
    return;
  }
  matched_bytes_ = resume_text_.size();
}

void ModelStream::HandleChoice(const Json& choice) {
  // Only one choice is requested; other choices are invalid.
  std::int64_t index = 0;
  if (!choice.is_object() || !ReadCount(choice, "index", &index) || index != 0) {
    failure_ = "a chunk has an invalid or unrequested choice";
    return;
  }
  const json& delta = MemberOrNull(choice, "delta");
  if (delta.is_null()) {
    return;
  }
  if (!delta.is_object()) {
    failure_ = "a chunk has an invalid delta";
    return;
  }
  const json& content = MemberOrNull(delta, "content");
  if (content.is_string()) {
    HandleText(content.get<std::string>());
  } else if (!content.is_null()) {
    failure_ = "a chunk's content is not a string";
  }
}

void ModelStream::HandleText(std::string text) {
  text_received_ = text_received_ || !text.empty();
  // An engine that reports no resume position starts over, since it may not support `resume_text`.
  // It must repeat the earlier text, which is not passed on twice.
  std::size_t repeated = std::min(text.size(), resume_text_.size() - matched_bytes_);
  if (resume_text_.compare(matched_bytes_, repeated, text, 0, repeated) != 0) {
    failure_ = "the resumed stream neither reports its position nor repeats the earlier text";
    return;
  }
  matched_bytes_ += repeated;
  text.erase(0, repeated);
  if (!text.empty()) {
    on_text_(std::move(text));
  }
}

}  // namespace martenyard::clients
