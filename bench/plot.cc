#include "bench/plot.h"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <limits>
#include <sstream>

#include "bench/report.h"

namespace martenyard::bench {
namespace {

constexpr double kWidth = 760.0;
constexpr double kHeight = 440.0;
constexpr double kLeft = 70.0;
constexpr double kRight = 210.0;
constexpr double kTop = 40.0;
constexpr double kBottom = 50.0;
constexpr int kTicks = 5;
constexpr double kSmallestShown = 1e-3;
constexpr const char* kColours[] = {"#1b6ca8", "#d1495b", "#2e8b57", "#edae49",
                                    "#6a4c93", "#444444", "#00798c", "#a44a3f"};

/// Maps values onto the drawing area.
class Axis {
 public:
  Axis(double low, double high, double from, double to, bool logarithmic)
      : logarithmic_(logarithmic), low_(Scale(low)), high_(Scale(high)), from_(from), to_(to) {
    if (high_ <= low_) {
      high_ = low_ + 1.0;
    }
  }
  double Place(double value) const {
    return from_ + (Scale(value) - low_) / (high_ - low_) * (to_ - from_);
  }
  double TickValue(int tick) const {
    double scaled = low_ + (high_ - low_) * tick / kTicks;
    return logarithmic_ ? std::pow(10.0, scaled) : scaled;
  }

 private:
  double Scale(double value) const {
    return logarithmic_ ? std::log10(std::max(kSmallestShown, value)) : value;
  }
  bool logarithmic_;
  double low_;
  double high_;
  double from_;
  double to_;
};

std::string Text(double x, double y, const std::string& anchor, const std::string& text) {
  return "<text x=\"" + Number(x, 1) + "\" y=\"" + Number(y, 1) + "\" text-anchor=\"" + anchor +
         "\">" + text + "</text>\n";
}

std::string LineSegment(double x1, double y1, double x2, double y2) {
  return "<line x1=\"" + Number(x1, 1) + "\" y1=\"" + Number(y1, 1) + "\" x2=\"" + Number(x2, 1) +
         "\" y2=\"" + Number(y2, 1) + "\" stroke=\"#dddddd\"/>\n";
}

std::string TickLabel(double value) { return Number(value, std::abs(value) < 10.0 ? 2 : 0); }

}  // namespace

std::string RenderSvg(const Chart& chart) {
  double x_low = std::numeric_limits<double>::max();
  double x_high = std::numeric_limits<double>::lowest();
  double y_low = chart.log_y ? std::numeric_limits<double>::max() : 0.0;
  double y_high = std::numeric_limits<double>::lowest();
  for (const Series& series : chart.series) {
    for (const auto& [x, y] : series.points) {
      x_low = std::min(x_low, x);
      x_high = std::max(x_high, x);
      y_low = std::min(y_low, y);
      y_high = std::max(y_high, y);
    }
  }
  Axis x_axis(x_low, x_high, kLeft, kWidth - kRight, false);
  Axis y_axis(y_low, y_high, kHeight - kBottom, kTop, chart.log_y);
  std::ostringstream svg;
  svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kWidth << "\" height=\"" << kHeight
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
      << "<text x=\"" << kLeft << "\" y=\"22\" font-size=\"15\">" << chart.title << "</text>\n";
  for (int tick = 0; tick <= kTicks; ++tick) {
    double y = y_axis.Place(y_axis.TickValue(tick));
    double x = x_axis.Place(x_axis.TickValue(tick));
    svg << LineSegment(kLeft, y, kWidth - kRight, y)
        << Text(kLeft - 8, y + 4, "end", TickLabel(y_axis.TickValue(tick)))
        << LineSegment(x, kTop, x, kHeight - kBottom)
        << Text(x, kHeight - kBottom + 18, "middle", TickLabel(x_axis.TickValue(tick)));
  }
  svg << Text((kLeft + kWidth - kRight) / 2, kHeight - 10, "middle", chart.x_label)
      << "<text transform=\"translate(16," << kHeight / 2
      << ") rotate(-90)\" text-anchor=\"middle\">" << chart.y_label << "</text>\n";
  for (std::size_t number = 0; number < chart.series.size(); ++number) {
    const Series& series = chart.series[number];
    const char* colour = kColours[number % std::size(kColours)];
    svg << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << colour << "\" points=\"";
    for (const auto& [x, y] : series.points) {
      svg << Number(x_axis.Place(x), 1) << "," << Number(y_axis.Place(y), 1) << " ";
    }
    svg << "\"/>\n";
    double y = kTop + 10 + 20.0 * static_cast<double>(number);
    svg << "<rect x=\"" << kWidth - kRight + 14 << "\" y=\"" << y - 9
        << "\" width=\"12\" height=\"12\" fill=\"" << colour << "\"/>\n"
        << Text(kWidth - kRight + 32, y + 2, "start", series.name);
  }
  svg << "</svg>\n";
  return svg.str();
}

void WriteSvg(const std::string& folder, const std::string& name, const Chart& chart) {
  if (folder.empty()) {
    return;
  }
  std::filesystem::create_directories(folder);
  std::ofstream(std::filesystem::path(folder) / (name + ".svg")) << RenderSvg(chart);
}

}  // namespace martenyard::bench
