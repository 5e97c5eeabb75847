#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <array>

#include "load_result.h"

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

double MaxServicePerShare(const LoadResult& result) {
  double max_service = 1;
  for (const auto& sample : result.samples) {
    for (const double value : sample.service_per_share) {
      max_service = std::max(max_service, value);
    }
  }
  return max_service;
}

std::string Escape(std::string_view text) {
  std::string out;
  for (const char character : text) {
    switch (character) {
      case '<':
        out += "&lt;";
        break;
      case '&':
        out += "&amp;";
        break;
      default:
        out += character;
    }
  }
  return out;
}

std::string GridLines(double seconds, double max_service) {
  std::string text;
  for (int i = 0; i <= kGridLines; ++i) {
    const double fraction = static_cast<double>(i) / kGridLines;
    const double y = kTop + kPlotHeight * (1 - fraction);
    const double x = kLeft + kPlotWidth * fraction;
    text += absl::StrFormat(
        "<line x1='%g' y1='%g' x2='%g' y2='%g' stroke='#ddd'/>"
        "<text x='%g' y='%g' text-anchor='end'>%.0f</text>"
        "<text x='%g' y='%g' text-anchor='middle'>%.1f s</text>\n",
        kLeft, y, kLeft + kPlotWidth, y, kLeft - 6, y + 4, max_service * fraction, x,
        kTop + kPlotHeight + kLegendGap, seconds * fraction);
  }
  return text;
}

std::string CustomerLine(const LoadResult& result, std::size_t customer, double seconds,
                         double max_service) {
  std::string points;
  for (const auto& sample : result.samples) {
    const double x = kLeft + kPlotWidth * sample.seconds / seconds;
    const double y = kTop + kPlotHeight * (1 - sample.service_per_share[customer] / max_service);
    absl::StrAppend(&points, absl::StrFormat("%.1f,%.1f ", x, y));
  }
  return absl::StrFormat("<polyline fill='none' stroke='%s' stroke-width='2' points='%s'/>\n",
                         kColours[customer % kColours.size()], points);
}

}  // namespace

std::string FormatSvg(const LoadResult& result) {
  const double max_service = MaxServicePerShare(result);
  const double seconds = result.samples.empty() ? 1 : std::max(result.samples.back().seconds, 0.1);
  std::string text = absl::StrFormat(
      "<svg xmlns='http://www.w3.org/2000/svg' viewBox='0 0 %g %g' font-family='sans-serif' "
      "font-size='12'>\n<rect width='100%%' height='100%%' fill='white'/>\n"
      "<text x='%g' y='24' font-size='16'>Service per share of each customer</text>\n"
      "<text x='%g' y='42'>units of service; largest gap between backlogged customers "
      "%.1f</text>\n",
      kWidth, kHeight, kLeft, kLeft, result.fairness_gap);
  text += GridLines(seconds, max_service);
  std::size_t index = 0;
  for (const auto& [customer, tally] : result.tallies) {
    text += CustomerLine(result, index, seconds, max_service);
    text += absl::StrFormat(
        "<text x='%g' y='%g' fill='%s'>%s (share %g, %d of %d complete)</text>\n",
        kLeft + kPlotWidth + kLegendGap, kTop + kLegendLine * static_cast<double>(index + 1),
        kColours[index % kColours.size()], Escape(customer), tally.share, tally.complete,
        tally.sent);
    ++index;
  }
  return text + "</svg>\n";
}

}  // namespace lagoonwind::ctl
