// Line charts as SVG, for the reports.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace martenyard::bench {

/// One line of a chart.
struct Series {
  std::string name;
  std::vector<std::pair<double, double>> points;
};

struct Chart {
  std::string title;
  std::string x_label;
  std::string y_label;
  bool log_y = false;  ///< Logarithmic y axis; values must then be positive.
  std::vector<Series> series;
};

/// @return the chart as an SVG document.
std::string RenderSvg(const Chart& chart);
/// Writes the chart into `folder`/`name`.svg, if `folder` is not empty.
void WriteSvg(const std::string& folder, const std::string& name, const Chart& chart);

}  // namespace martenyard::bench
