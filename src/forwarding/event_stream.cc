#include "forwarding/event_stream.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace martenyard::forwarding {
namespace {

/// @return the position after the first blank line at or after `from`, or npos. `from` is moved to
/// where a later search must begin.
std::size_t EndOfEvent(absl::string_view text, std::size_t& from) {
  for (std::size_t feed = text.find('\n', from); feed != absl::string_view::npos;
       feed = text.find('\n', feed + 1)) {
    std::size_t next = feed + 1;
    if (next < text.size() && text[next] == '\r') {
      ++next;
    }
    if (next >= text.size()) {
      from = feed;
      return absl::string_view::npos;
    }
    if (text[next] == '\n') {
      return next + 1;
    }
  }
  from = text.size();
  return absl::string_view::npos;
}

/// @return a field's value without the one blank that may follow its colon.
absl::string_view ValueOf(absl::string_view rest) {
  absl::ConsumePrefix(&rest, " ");
  return rest;
}

}  // namespace

std::string EventStream::Feed(absl::string_view bytes) {
  absl::StrAppend(&partial_, bytes);
  std::size_t taken = 0;
  while (true) {
    absl::string_view rest = absl::string_view(partial_).substr(taken);
    std::size_t from = taken == 0 ? scanned_ : 0;
    std::size_t end = EndOfEvent(rest, from);
    if (end == absl::string_view::npos) {
      scanned_ = from;
      break;
    }
    TakeEvent(rest.substr(0, end));
    taken += end;
    scanned_ = 0;
  }
  std::string whole = partial_.substr(0, taken);
  partial_.erase(0, taken);
  return whole;
}

void EventStream::DropPartial() {
  partial_.clear();
  scanned_ = 0;
}

void EventStream::TakeEvent(absl::string_view event) {
  bool has_data = false;
  for (absl::string_view line : absl::StrSplit(event, '\n')) {
    absl::ConsumeSuffix(&line, "\r");
    if (absl::ConsumePrefix(&line, "data:")) {
      if (has_data) {
        data_.push_back('\n');
      }
      absl::StrAppend(&data_, ValueOf(line));
      has_data = true;
    } else if (absl::ConsumePrefix(&line, "id:")) {
      last_event_id_ = std::string(ValueOf(line));
      if (first_event_id_.empty()) {
        first_event_id_ = last_event_id_;
      }
    }
  }
  if (has_data) {
    data_.push_back('\n');
    ++events_;
  }
}

}  // namespace martenyard::forwarding
