// Validating reader for TOML tables: rejects unknown keys, wrong types and values out of range.
// Keeps the first error, worded for the author of the file.
#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace martenyard {

/// Reads one table. Read every key, call ReportUnknownKeys(), then check the error string.
class TomlReader {
 public:
  /// @param path the table's path in the file, for messages; empty for the root table.
  /// @param fault receives the first error; shared with the readers of nested tables.
  TomlReader(const toml::table& table, std::string path, std::string* fault);

  std::string Text(std::string_view key, bool required, std::string fallback = "");
  std::int64_t Integer(std::string_view key, std::int64_t low, std::int64_t high,
                       std::int64_t fallback);
  double Number(std::string_view key, double low, double high, double fallback);
  bool Boolean(std::string_view key, bool fallback);
  std::vector<std::string> Texts(std::string_view key);
  /// @return the tables of the array `key`; empty when it is absent.
  std::vector<const toml::table*> Tables(std::string_view key);
  /// @return the table `key`, or null when it is absent.
  const toml::table* Table(std::string_view key);
  /// Reports keys that have not been read as unknown.
  void ReportUnknownKeys();
  /// Reports an error found by the caller.
  void ReportError(std::string_view key, const std::string& allowed);
  std::string PathOf(std::string_view key) const;

 private:
  const toml::node* MarkRead(std::string_view key);

  const toml::table& table_;
  std::string path_;
  std::string* fault_;
  std::set<std::string, std::less<>> read_keys_;
};

}  // namespace martenyard
