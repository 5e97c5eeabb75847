#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <array>

#include "load_tally.h"

namespace lagoonwind::ctl {
namespace {

// Sizes in pixels.
constexpr double kWidth = 900;
constexpr double kHeight = 480;
constexpr double kLeft = 70;
constexpr double kTop = 50;
constexpr double kPlotWidth = 560;
constexpr double kPlotHeight = 370;
constexpr double kLegendLine = 18;
constexpr double kLegendGap = 20;
constexpr int kGridLines = 5;
constexpr std::array<const char*, 8> kColours{"#1b6ca8", "#d1495b", "#3c8d40", "#8a5a9e",
                                              "#c77d0a", "#2a9d9d", "#6b6b6b", "#a3462f"};

double MostService(const LoadResult& result) {
  double most = 1;
  for (const auto& sample : result.samples) {
    for (const double value : sample.service_per_share) {
      most = std::max(most, value);
    }
  }
  return most;
}

std::string Escape(std::string_view text) {
  std::string out;
  for (const char letter : text) {
    switch (letter) {
      case '<':
        out += "&lt;";
        break;
      case '&':
        out += "&amp;";
        break;
      default:
        out += letter;
    }
  }
  return out;
}

std::string Grid(double seconds, double most) {
  std::string text;
  for (int i = 0; i <= kGridLines; ++i) {
    const double part = static_cast<double>(i) / kGridLines;
    const double y = kTop + kPlotHeight * (1 - part);
    const double x = kLeft + kPlotWidth * part;
    text += absl::StrFormat(
        "<line x1='%g' y1='%g' x2='%g' y2='%g' stroke='#ddd'/>"
        "<text x='%g' y='%g' text-anchor='end'>%.0f</text>"
        "<text x='%g' y='%g' text-anchor='middle'>%.1f s</text>\n",
        kLeft, y, kLeft + kPlotWidth, y, kLeft - 6, y + 4, most * part, x,
        kTop + kPlotHeight + kLegendGap, seconds * part);
  }
  return text;
}

std::string Line(const LoadResult& result, std::size_t customer, double seconds, double most) {
  std::string points;
  for (const auto& sample : result.samples) {
    const double x = kLeft + kPlotWidth * sample.seconds / seconds;
    const double y = kTop + kPlotHeight * (1 - sample.service_per_share[customer] / most);
    absl::StrAppend(&points, absl::StrFormat("%.1f,%.1f ", x, y));
  }
  return absl::StrFormat("<polyline fill='none' stroke='%s' stroke-width='2' points='%s'/>\n",
                         kColours[customer % kColours.size()], points);
}

}  // namespace

std::string FormatSvg(const LoadResult& result) {
  const double most = MostService(result);
  const double seconds = result.samples.empty() ? 1 : std::max(result.samples.back().seconds, 0.1);
  std::string text = absl::StrFormat(
      "<svg xmlns='http://www.w3.org/2000/svg' viewBox='0 0 %g %g' font-family='sans-serif' "
      "font-size='12'>\n<rect width='100%%' height='100%%' fill='white'/>\n"
      "<text x='%g' y='24' font-size='16'>Service per share of each customer</text>\n"
      "<text x='%g' y='42'>units of service; largest gap between backlogged customers "
      "%.1f</text>\n",
      kWidth, kHeight, kLeft, kLeft, result.fairness_gap);
  text += Grid(seconds, most);
  std::size_t number = 0;
  for (const auto& [customer, tally] : result.tallies) {
    text += Line(result, number, seconds, most);
    text += absl::StrFormat(
        "<text x='%g' y='%g' fill='%s'>%s (share %g, %d of %d complete)</text>\n",
        kLeft + kPlotWidth + kLegendGap, kTop + kLegendLine * static_cast<double>(number + 1),
        kColours[number % kColours.size()], Escape(customer), tally.share, tally.complete,
        tally.sent);
    ++number;
  }
  return text + "</svg>\n";
}

}  // namespace lagoonwind::ctl
