#include "bench/report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <numeric>

namespace martenyard::bench {

double Samples::Quantile(double share) const {
  if (values_.empty()) {
    return 0.0;
  }
  if (!sorted_) {
    std::sort(values_.begin(), values_.end());
    sorted_ = true;
  }
  double rank = std::ceil(share * static_cast<double>(values_.size()));
  auto index = static_cast<std::size_t>(std::max(1.0, rank)) - 1;
  return values_[std::min(index, values_.size() - 1)];
}

double Samples::Mean() const {
  if (values_.empty()) {
    return 0.0;
  }
  return std::accumulate(values_.begin(), values_.end(), 0.0) / static_cast<double>(values_.size());
}

void Table::Print() const {
  std::vector<std::size_t> widths;
  for (std::size_t column = 0; column < columns_.size(); ++column) {
    std::size_t width = columns_[column].size();
    for (const auto& row : rows_) {
      width = std::max(width, row[column].size());
    }
    widths.push_back(width);
  }
  auto print_row = [&](const std::vector<std::string>& cells) {
    for (std::size_t column = 0; column < cells.size(); ++column) {
      std::string padding(widths[column] - cells[column].size(), ' ');
      std::cout << (column == 0 ? cells[column] + padding : "  " + padding + cells[column]);
    }
    std::cout << "\n";
  };
  std::cout << "\n" << title_ << "\n";
  print_row(columns_);
  for (const auto& row : rows_) {
    print_row(row);
  }
  std::cout << std::flush;
}

nlohmann::json Table::ToJson() const {
  nlohmann::json rows = nlohmann::json::array();
  for (const auto& row : rows_) {
    nlohmann::json object;
    for (std::size_t column = 0; column < columns_.size(); ++column) {
      object[columns_[column]] = row[column];
    }
    rows.push_back(std::move(object));
  }
  return {{"title", title_}, {"rows", std::move(rows)}};
}

std::string Number(double value, int decimals) {
  char text[64];
  std::snprintf(text, sizeof(text), "%.*f", decimals, value);
  return text;
}

void WriteJson(const std::string& folder, const std::string& name, const nlohmann::json& value) {
  if (folder.empty()) {
    return;
  }
  std::filesystem::create_directories(folder);
  std::ofstream(std::filesystem::path(folder) / (name + ".json")) << value.dump(2) << "\n";
}

Line FitLine(const std::vector<std::pair<double, double>>& points) {
  double n = static_cast<double>(points.size());
  double sum_x = 0.0;
  double sum_y = 0.0;
  double sum_xx = 0.0;
  double sum_xy = 0.0;
  double sum_yy = 0.0;
  for (const auto& [x, y] : points) {
    sum_x += x;
    sum_y += y;
    sum_xx += x * x;
    sum_xy += x * y;
    sum_yy += y * y;
  }
  double spread_x = n * sum_xx - sum_x * sum_x;
  double spread_y = n * sum_yy - sum_y * sum_y;
  Line line;
  if (spread_x <= 0.0) {
    return line;
  }
  double together = n * sum_xy - sum_x * sum_y;
  line.slope = together / spread_x;
  line.intercept = (sum_y - line.slope * sum_x) / n;
  line.r_squared = spread_y <= 0.0 ? 1.0 : together * together / (spread_x * spread_y);
  return line;
}

}  // namespace martenyard::bench
