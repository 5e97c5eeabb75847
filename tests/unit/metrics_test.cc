#include "metrics.h"

#include <doctest/doctest.h>

#include <fstream>
#include <set>
#include <sstream>

#include "lagoonwind/limits.h"

namespace lagoonwind::runtime {
namespace {

/// Names of the metric families on a page of metrics, read from its TYPE lines.
std::set<std::string> MetricFamilies(const std::string& page) {
  std::set<std::string> names;
  std::istringstream in(page);
  for (std::string line; std::getline(in, line);) {
    std::istringstream words(line);
    std::string comment_sign;
    std::string type;
    std::string name;
    if (words >> comment_sign >> type >> name && comment_sign == "#" && type == "TYPE") {
      names.insert(name);
    }
  }
  return names;
}

TEST_CASE("docs/METRICS.md lists exactly the exported metrics") {
  Metrics metrics;
  metrics.RequestFinished("a", policy::Outcome::kComplete, 1);
  metrics.Update({});
  std::set<std::string> documented;
  std::ifstream in(LAGOONWIND_SOURCE_DIR "/docs/METRICS.md");
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with("| `")) {
      documented.insert(line.substr(3, line.find('`', 3) - 3));
    }
  }
  CHECK(MetricFamilies(metrics.Page()) == documented);
}

TEST_CASE("customers beyond the series limit are counted in the series `other`") {
  Metrics metrics;
  for (std::size_t i = 0; i < limits::kMaxCustomerSeries + 100; ++i) {
    metrics.ServiceCharged("customer-" + std::to_string(i), 1);
  }
  const std::string page = metrics.Page();
  CHECK(page.find("lagoonwind_service_units_total{customer=\"other\"} 100") != std::string::npos);
  CHECK(page.find("customer-250") == std::string::npos);
}

TEST_CASE("the message kind is determined by the field that is set") {
  wire::Message grant;
  grant.__set_grant({});
  wire::Message hello;
  hello.__set_hello({});
  CHECK(kMessageKinds[MessageKindIndex(grant)] == "grant");
  CHECK(kMessageKinds[MessageKindIndex(hello)] == "handshake");
  CHECK(kMessageKinds[MessageKindIndex(wire::Message())] == "other");
}

}  // namespace
}  // namespace lagoonwind::runtime
