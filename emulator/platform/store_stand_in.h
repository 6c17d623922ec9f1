// A stand-in of the platform's metadata store, by its published calls, with faults.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "async_http/server.h"
#include "async_http/task.h"

namespace martenyard::emulator {

/// What goes wrong from now on.
struct StoreFaults {
  bool down = false;          ///< Answers 503 to everything.
  bool silent = false;        ///< Takes calls and never answers; watches that wait go on.
  bool hasty = false;         ///< Ends watches at once, without changes.
  bool reset = false;         ///< Closes without an answer; nothing was done.
  bool lose_answers = false;  ///< Does what is asked and closes without an answer.
  bool throttle = false;      ///< 429.
  bool garble = false;        ///< 200 with bytes that are no document.
  absl::Duration delay = {};  ///< Before every answer.
};

/// On the loop's thread only.
class StoreStandIn {
 public:
  /// Another port to the same keys, for callers that may be turned away while others are served.
  class Door {
   public:
    Door(async_http::asio::io_context& context, StoreStandIn& store);
    /// What goes wrong for its callers, besides what goes wrong for all.
    StoreFaults& faults() { return faults_; }
    std::uint16_t port() const { return server_.port(); }

   private:
    StoreFaults faults_;
    async_http::Server server_;
  };

  explicit StoreStandIn(async_http::asio::io_context& context);

  /// Opens one more; it lives as long as the store.
  Door& OpenDoor();
  StoreFaults& faults() { return faults_; }
  std::uint16_t port() const { return server_.port(); }
  /// As the operator or a runner writes. @return the revision.
  std::uint64_t Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  /// Forgets all history: watches from before are told that it is gone.
  void Compact();
  /// Watches that wait look again at what goes wrong.
  void WakeWaiting() { changed_.Notify(); }
  /// The connections of watches that wait now are closed without an answer.
  void ResetWaiting() { EndWaiting(Waiting::kReset); }
  /// The connections of watches that wait now stay open and say nothing more.
  void SilenceWaiting() { EndWaiting(Waiting::kSilent); }
  /// @return the key's value; empty when it is not there.
  std::string Value(const std::string& key) const;
  std::uint64_t calls() const { return calls_; }
  /// Stops answering for good.
  void Listen(std::uint16_t port);

 private:
  struct Record {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  struct Change {
    std::string key;
    std::uint64_t revision = 0;
    bool removed = false;
    std::string value;
  };

  /// What became of watches that waited.
  enum class Waiting { kServed, kReset, kSilent };

  void EndWaiting(Waiting end);
  /// @param own what goes wrong for this caller alone.
  async_http::Task<void> Answer(std::shared_ptr<async_http::Exchange> exchange,
                                const StoreFaults& own);
  async_http::Task<void> Watch(async_http::Exchange& exchange,
                               std::map<std::string, std::string> query, const StoreFaults& own);
  std::string ChangesAfter(std::uint64_t after, const std::string& prefix, bool* any) const;
  std::string Get(const std::string& key, unsigned* status) const;
  std::string Range(const std::string& prefix, const std::string& after) const;
  std::string Commit(const std::string& body, unsigned* status);

  async_http::asio::io_context& context_;
  StoreFaults faults_;
  async_http::Server server_;
  std::vector<std::unique_ptr<Door>> doors_;
  async_http::Signal changed_;
  std::map<std::string, Record> records_;
  std::vector<Change> history_;
  std::uint64_t revision_ = 1;
  std::uint64_t forgotten_ = 0;  // Changes up to this revision are gone.
  std::uint64_t calls_ = 0;
  Waiting waiting_end_ = Waiting::kServed;
  std::uint64_t waiting_ended_ = 0;  // How often watches that waited were not served.
};

}  // namespace martenyard::emulator
