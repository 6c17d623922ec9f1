// What experiments print: quantiles, a table for people, JSON for machines.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace martenyard::bench {

/// Numbers of one kind, for quantiles.
class Samples {
 public:
  void Add(double value) {
    values_.push_back(value);
    sorted_ = false;
  }
  std::size_t size() const { return values_.size(); }
  /// @return the smallest value that at least `share` (0 to 1) of all do not exceed; 0 if empty.
  double Quantile(double share) const;
  double Mean() const;
  double Max() const { return Quantile(1.0); }

 private:
  mutable std::vector<double> values_;
  mutable bool sorted_ = false;
};

/// A table with a title; cells are text.
class Table {
 public:
  Table(std::string title, std::vector<std::string> columns)
      : title_(std::move(title)), columns_(std::move(columns)) {}
  void AddRow(std::vector<std::string> cells) { rows_.push_back(std::move(cells)); }
  /// Prints it to standard output, columns aligned.
  void Print() const;
  nlohmann::json ToJson() const;

 private:
  std::string title_;
  std::vector<std::string> columns_;
  std::vector<std::vector<std::string>> rows_;
};

/// @return `value` with so many decimals.
std::string Number(double value, int decimals);
/// Writes `value` into `folder`/`name`.json, if `folder` is not empty.
void WriteJson(const std::string& folder, const std::string& name, const nlohmann::json& value);

/// The straight line through points, by least squares.
struct Line {
  double slope = 0.0;
  double intercept = 0.0;
  double r_squared = 0.0;
};
Line FitLine(const std::vector<std::pair<double, double>>& points);

}  // namespace martenyard::bench
