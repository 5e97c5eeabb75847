#include "load_mix.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <array>

#include "lagoonwind/toml.h"

namespace lagoonwind::ctl {
namespace {

constexpr double kMaxRate = 100'000;
constexpr int kMaxTokens = 1'000'000;
constexpr int kMaxPromptBytes = 4'000'000;
constexpr std::array<std::string_view, 6> kAllowedKeys{
    "customer", "token", "target", "max_tokens", "prompt_bytes", "requests_per_second"};

/// Reads the streams of a mix and collects all errors.
class MixReader {
 public:
  explicit MixReader(std::string file) : file_(std::move(file)) {}

  LoadStream ReadStream(const toml::table& row) {
    LoadStream stream{
        .customer = ReadString(row, "customer", ""),
        .target = ReadString(row, "target", ""),
        .rate = ReadNumber(row, "requests_per_second", 1, kMaxRate),
        .max_tokens = static_cast<int>(ReadNumber(row, "max_tokens", 0, kMaxTokens)),
        .prompt_bytes = static_cast<int>(ReadNumber(row, "prompt_bytes", 0, kMaxPromptBytes))};
    stream.token = ReadString(row, "token", "token-" + stream.customer);
    for (const auto& [key, node] : row) {
      if (std::ranges::find(kAllowedKeys, key.str()) == kAllowedKeys.end()) {
        AddError(node, absl::StrCat(std::string(key.str()), ": unknown key; allowed keys are ",
                                    absl::StrJoin(kAllowedKeys, ", ", AppendText)));
      }
    }
    return stream;
  }

  void AddError(const toml::node& node, const std::string& message) {
    errors_.push_back(absl::StrCat(file_, ":", node.source().begin.line, ": ", message));
  }

  [[nodiscard]] const std::vector<std::string>& errors() const { return errors_; }

 private:
  static void AppendText(std::string* out, std::string_view text) { out->append(text); }

  std::string ReadString(const toml::table& row, std::string_view key,
                         const std::string& default_value) {
    const auto value = row[key].value_exact<std::string>();
    if (value && !value->empty()) {
      return *value;
    }
    if (row.contains(key) || default_value.empty()) {
      AddError(row,
               absl::StrCat(std::string(key), ": missing or invalid; must be a non-empty string"));
    }
    return default_value;
  }

  double ReadNumber(const toml::table& row, std::string_view key, double default_value,
                    double max_value) {
    if (!row.contains(key)) {
      return default_value;
    }
    const auto value = row[key].value<double>();
    if (!value || !(*value >= 0) || *value > max_value || (default_value > 0 && *value == 0)) {
      AddError(*row.get(key), absl::StrCat(std::string(key),
                                           ": invalid value; must be a number up to ", max_value));
      return default_value;
    }
    return *value;
  }

  std::string file_;
  std::vector<std::string> errors_;
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
      reader.AddError(
          node, absl::StrCat(std::string(key.str()), ": unknown; only [[stream]] is allowed"));
      continue;
    }
    for (const auto& row : *node.as_array()) {
      streams.push_back(reader.ReadStream(*row.as_table()));
    }
  }
  if (!reader.errors().empty()) {
    return absl::InvalidArgumentError(absl::StrJoin(reader.errors(), "\n"));
  }
  if (streams.empty()) {
    return absl::InvalidArgumentError(
        absl::StrCat(file, ":1: at least one [[stream]] is required"));
  }
  return streams;
}

}  // namespace lagoonwind::ctl
