#include "load_mix.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <array>

#include "lagoonwind/toml.h"

namespace lagoonwind::ctl {
namespace {

constexpr double kMostRate = 100'000;
constexpr int kMostTokens = 1'000'000;
constexpr int kMostPromptBytes = 4'000'000;
constexpr std::array<std::string_view, 6> kKeys{
    "customer", "token", "target", "max_tokens", "prompt_bytes", "requests_per_second"};

/// Reads the rows of a mix and collects every fault.
class MixReader {
 public:
  explicit MixReader(std::string file) : file_(std::move(file)) {}

  LoadStream Row(const toml::table& row) {
    LoadStream stream{
        .customer = Text(row, "customer", ""),
        .target = Text(row, "target", ""),
        .rate = Number(row, "requests_per_second", 1, kMostRate),
        .max_tokens = static_cast<int>(Number(row, "max_tokens", 0, kMostTokens)),
        .prompt_bytes = static_cast<int>(Number(row, "prompt_bytes", 0, kMostPromptBytes))};
    stream.token = Text(row, "token", "token-" + stream.customer);
    for (const auto& [key, node] : row) {
      if (std::ranges::find(kKeys, key.str()) == kKeys.end()) {
        Fail(node, absl::StrCat(std::string(key.str()), ": unknown key; allowed are ",
                                absl::StrJoin(kKeys, ", ", AppendText)));
      }
    }
    return stream;
  }

  void Fail(const toml::node& node, const std::string& what) {
    faults_.push_back(absl::StrCat(file_, ":", node.source().begin.line, ": ", what));
  }

  [[nodiscard]] const std::vector<std::string>& faults() const { return faults_; }

 private:
  static void AppendText(std::string* out, std::string_view text) { out->append(text); }

  std::string Text(const toml::table& row, std::string_view key, const std::string& otherwise) {
    const auto value = row[key].value_exact<std::string>();
    if (value && !value->empty()) {
      return *value;
    }
    if (row.contains(key) || otherwise.empty()) {
      Fail(row, absl::StrCat(std::string(key), ": missing or no text; allowed is a text"));
    }
    return otherwise;
  }

  double Number(const toml::table& row, std::string_view key, double otherwise, double most) {
    if (!row.contains(key)) {
      return otherwise;
    }
    const auto value = row[key].value<double>();
    if (!value || !(*value >= 0) || *value > most || (otherwise > 0 && *value == 0)) {
      Fail(*row.get(key), absl::StrCat(std::string(key), ": isn't valid; allowed is up to ", most));
      return otherwise;
    }
    return *value;
  }

  std::string file_;
  std::vector<std::string> faults_;
};

}  // namespace

absl::StatusOr<std::vector<LoadStream>> ParseMix(std::string_view text, const std::string& file) {
  const auto root = ParseToml(text, file);
  if (!root.ok()) {
    return root.status();
  }
  MixReader reader(file);
  std::vector<LoadStream> streams;
  for (const auto& [key, node] : *root) {
    if (key.str() != "stream" || !node.is_array_of_tables()) {
      reader.Fail(node, absl::StrCat(std::string(key.str()), ": unknown; allowed is [[stream]]"));
      continue;
    }
    for (const auto& row : *node.as_array()) {
      streams.push_back(reader.Row(*row.as_table()));
    }
  }
  if (!reader.faults().empty()) {
    return absl::InvalidArgumentError(absl::StrJoin(reader.faults(), "\n"));
  }
  if (streams.empty()) {
    return absl::InvalidArgumentError(absl::StrCat(file, ":1: no [[stream]]"));
  }
  return streams;
}

}  // namespace lagoonwind::ctl
