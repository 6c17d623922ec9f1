// Cuts a runner's event stream into whole events, so that only whole ones are passed on and a
// stream can go on elsewhere after the last of them.
#pragma once

#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"

namespace martenyard::forwarding {

class EventStream {
 public:
  /// Takes bytes as they come. @return the bytes of the events that are whole now, unchanged.
  std::string Feed(absl::string_view bytes);
  /// @return bytes of an event that has no end yet; they are dropped when the stream goes on
  /// elsewhere and passed on when the runner ended its answer properly.
  const std::string& partial() const { return partial_; }
  void DropPartial();
  /// Another run's bytes follow.
  void BeginRun() { first_event_id_.clear(); }

  /// Events that carried data and were whole, over all runs.
  std::uint64_t events() const { return events_; }
  /// The id of the last whole event that had one; empty before the first.
  const std::string& last_event_id() const { return last_event_id_; }
  /// The id of the present run's first whole event that had one; empty before it.
  const std::string& first_event_id() const { return first_event_id_; }
  /// The data of each whole event, each followed by a line feed.
  const std::string& data() const { return data_; }

 private:
  void TakeEvent(absl::string_view event);

  std::string partial_;
  std::size_t scanned_ = 0;  // Bytes of `partial_` known to hold no event's end.
  std::uint64_t events_ = 0;
  std::string last_event_id_;
  std::string first_event_id_;
  std::string data_;
};

}  // namespace martenyard::forwarding
