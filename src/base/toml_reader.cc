#include "base/toml_reader.h"

#include <utility>

namespace martenyard {

TomlReader::TomlReader(const toml::table& table, std::string path, std::string* fault)
    : table_(table), path_(std::move(path)), fault_(fault) {}

std::string TomlReader::PathOf(std::string_view key) const {
  return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

void TomlReader::ReportError(std::string_view key, const std::string& allowed) {
  if (fault_->empty()) {
    *fault_ = "key '" + PathOf(key) + "': " + allowed;
  }
}

const toml::node* TomlReader::MarkRead(std::string_view key) {
  read_keys_.insert(std::string(key));
  return table_.get(key);
}

std::string TomlReader::Text(std::string_view key, bool required, std::string fallback) {
  const toml::node* node = MarkRead(key);
  if (node == nullptr) {
    if (required) {
      ReportError(key, "is required and must be a string");
    }
    return fallback;
  }
  if (auto text = node->value_exact<std::string>()) {
    return *text;
  }
  ReportError(key, "must be a string in quotes");
  return fallback;
}

std::int64_t TomlReader::Integer(std::string_view key, std::int64_t low, std::int64_t high,
                                 std::int64_t fallback) {
  const toml::node* node = MarkRead(key);
  if (node == nullptr) {
    return fallback;
  }
  auto value = node->value_exact<std::int64_t>();
  if (!value || *value < low || *value > high) {
    ReportError(key,
                "must be an integer from " + std::to_string(low) + " to " + std::to_string(high));
    return fallback;
  }
  return *value;
}

double TomlReader::Number(std::string_view key, double low, double high, double fallback) {
  const toml::node* node = MarkRead(key);
  if (node == nullptr) {
    return fallback;
  }
  auto value = node->is_number() ? node->value<double>() : std::nullopt;
  if (!value || !(*value >= low && *value <= high)) {
    ReportError(key,
                "must be a number from " + std::to_string(low) + " to " + std::to_string(high));
    return fallback;
  }
  return *value;
}

bool TomlReader::Boolean(std::string_view key, bool fallback) {
  const toml::node* node = MarkRead(key);
  if (node == nullptr) {
    return fallback;
  }
  if (auto value = node->value_exact<bool>()) {
    return *value;
  }
  ReportError(key, "must be true or false");
  return fallback;
}

std::vector<std::string> TomlReader::Texts(std::string_view key) {
  std::vector<std::string> texts;
  const toml::node* node = MarkRead(key);
  if (node == nullptr) {
    return texts;
  }
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    ReportError(key, "must be a list of strings");
    return texts;
  }
  for (const toml::node& element : *array) {
    if (auto text = element.value_exact<std::string>()) {
      texts.push_back(*text);
    } else {
      ReportError(key, "must be a list of strings");
    }
  }
  return texts;
}

std::vector<const toml::table*> TomlReader::Tables(std::string_view key) {
  std::vector<const toml::table*> tables;
  const toml::node* node = MarkRead(key);
  if (node == nullptr) {
    return tables;
  }
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    ReportError(key, "must be a list of tables, written [[" + PathOf(key) + "]]");
    return tables;
  }
  for (const toml::node& element : *array) {
    if (const toml::table* table = element.as_table()) {
      tables.push_back(table);
    } else {
      ReportError(key, "must be a list of tables, written [[" + PathOf(key) + "]]");
    }
  }
  return tables;
}

const toml::table* TomlReader::Table(std::string_view key) {
  const toml::node* node = MarkRead(key);
  if (node == nullptr) {
    return nullptr;
  }
  const toml::table* table = node->as_table();
  if (table == nullptr) {
    ReportError(key, "must be a table, written [" + PathOf(key) + "]");
  }
  return table;
}

void TomlReader::ReportUnknownKeys() {
  for (const auto& [key, node] : table_) {
    if (!read_keys_.contains(key.str())) {
      std::string allowed;
      for (const std::string& known : read_keys_) {
        allowed += (allowed.empty() ? "" : ", ") + known;
      }
      ReportError(key.str(), "is not known; allowed here: " + allowed);
    }
  }
}

}  // namespace martenyard
