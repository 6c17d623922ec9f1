// Keeps a copy of all keys under a prefix, by reading them once and watching on.
//
// While the store can't be reached the last known copy stays: silence is no removal.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "store/metadata_store.h"

namespace martenyard::store {

class PrefixMirror {
 public:
  /// Told of each key that changed; the value is absent when the key was removed.
  using ChangeHandler = std::function<void(const StoreChange& change)>;
  /// Told when the store is lost (false) and regained (true).
  using ContactHandler = std::function<void(bool reachable, StoreStatus status)>;

  PrefixMirror(async_http::asio::io_context& context, MetadataStore& store, std::string prefix,
               ChangeHandler on_change, ContactHandler on_contact);

  /// Starts following; runs until the loop ends.
  void Start();
  bool complete() const { return complete_; }
  const std::map<std::string, StoreItem>& items() const { return items_; }
  /// @return for how long the store has not confirmed the copy.
  absl::Duration Staleness() const;

 private:
  async_http::Task<void> Follow();
  async_http::Task<bool> ReadAll();
  async_http::Task<bool> WatchOnce();
  void Take(const StoreChange& change);
  void NoteContact(bool reachable, StoreStatus status);

  async_http::asio::io_context& context_;
  MetadataStore& store_;
  std::string prefix_;
  ChangeHandler on_change_;
  ContactHandler on_contact_;
  std::map<std::string, StoreItem> items_;
  Revision revision_ = 0;
  bool complete_ = false;
  bool reachable_ = false;
  absl::Time confirmed_ = absl::InfinitePast();
  absl::Duration backoff_;
};

}  // namespace martenyard::store
