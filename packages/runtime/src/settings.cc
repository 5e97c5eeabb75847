#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <fstream>
#include <functional>
#include <sstream>

#include "lagoonwind/http.h"
#include "lagoonwind/runtime.h"
#include "lagoonwind/toml.h"

namespace lagoonwind::runtime {
namespace {

constexpr int kMaxThreads = 64;
constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMinLinkKeyBytes = 12;
constexpr std::size_t kMaxLinkKeyBytes = 256;

bool IsNameCharacter(char character) {
  return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-' ||
         character == '_' || character == '.';
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::ranges::all_of(text, IsNameCharacter);
}

/// Reads typed values from a TOML table and collects all errors.
class SettingsReader {
 public:
  SettingsReader(const toml::table& root, std::string_view file) : root_(root), file_(file) {}

  void ReadString(std::string_view section, std::string_view key, bool required, std::string& out) {
    const toml::node* node = FindKnown(section, key, required);
    if (node == nullptr) {
      return;
    }
    const auto value = node->value_exact<std::string>();
    if (!value || (required && value->empty())) {
      AddError(*node, section, key, "invalid value; allowed: a string");
      return;
    }
    out = *value;
  }

  void ReadName(std::string_view section, std::string_view key, bool required, std::string& out) {
    ReadString(section, key, required, out);
    const toml::node* node = Find(section, key);
    if (node != nullptr && node->is_string() && !out.empty() && !IsName(out)) {
      AddError(*node, section, key,
               "invalid value; allowed: 1 to 64 letters, digits, '-', '_' or '.'");
    }
  }

  /// Reads the link key. Errors never contain its value.
  void ReadLinkKey(std::string_view section, std::string_view key, std::string& out) {
    ReadString(section, key, true, out);
    const toml::node* node = Find(section, key);
    if (node != nullptr && !out.empty() &&
        (out.size() < kMinLinkKeyBytes || out.size() > kMaxLinkKeyBytes)) {
      AddError(*node, section, key, "invalid value; allowed: 12 to 256 bytes");
    }
  }

  void ReadChoice(std::string_view section, std::string_view key, std::string_view true_value,
                  std::string_view false_value, bool& out) {
    const toml::node* node = FindKnown(section, key, true);
    if (node == nullptr) {
      return;
    }
    const auto value = node->value_exact<std::string>();
    if (!value || (*value != true_value && *value != false_value)) {
      AddError(*node, section, key,
               absl::StrFormat("invalid value; allowed: %s, %s", true_value, false_value));
      return;
    }
    out = *value == true_value;
  }

  void ReadInteger(std::string_view section, std::string_view key, int min_value, int max_value,
                   int& out) {
    const toml::node* node = FindKnown(section, key, false);
    if (node == nullptr) {
      return;
    }
    const auto value = node->value_exact<std::int64_t>();
    if (!value || *value < min_value || *value > max_value) {
      AddError(*node, section, key,
               absl::StrFormat("invalid value; allowed: %d to %d", min_value, max_value));
      return;
    }
    out = static_cast<int>(*value);
  }

  void ReadAddress(std::string_view section, std::string_view key, bool required,
                   std::string& out) {
    ReadString(section, key, required, out);
    const toml::node* node = Find(section, key);
    if (node != nullptr && node->is_string() && !http::ParseEndpoint(out).ok()) {
      AddError(*node, section, key, "invalid value; allowed: IP:PORT");
    }
  }

  void ReadStrings(std::string_view section, std::string_view key, std::vector<std::string>& out) {
    const toml::node* node = FindKnown(section, key, false);
    if (node == nullptr) {
      return;
    }
    const toml::array* list = node->as_array();
    const bool valid = list != nullptr && std::all_of(list->begin(), list->end(),
                                                      [](auto& item) { return item.is_string(); });
    if (!valid) {
      AddError(*node, section, key, "invalid value; allowed: a list of strings");
      return;
    }
    for (const auto& item : *list) {
      const std::string text = *item.value<std::string>();
      if (!IsName(text) || std::ranges::find(out, text) != out.end()) {
        AddError(item, section, key, "invalid value; allowed: names without duplicates");
      }
      out.push_back(text);
    }
  }

  /// Adds an error for every key outside a section and every key that no Read method has looked up.
  void RejectUnknownKeys() {
    for (const auto& [section, node] : root_) {
      const toml::table* table = node.as_table();
      if (table == nullptr) {
        AddErrorAt(node, std::string(section.str()), "unknown key outside a section");
        continue;
      }
      for (const auto& [key, value] : *table) {
        const std::string path = absl::StrFormat("%s.%s", section.str(), key.str());
        if (std::ranges::find(known_keys_, path) == known_keys_.end()) {
          AddErrorAt(value, path, "unknown key");
        }
      }
    }
  }

  [[nodiscard]] const std::vector<std::string>& errors() const { return errors_; }

 private:
  const toml::node* Find(std::string_view section, std::string_view key) {
    const toml::table* table = root_[section].as_table();
    return table == nullptr ? nullptr : table->get(key);
  }

  const toml::node* FindKnown(std::string_view section, std::string_view key, bool required) {
    known_keys_.push_back(absl::StrFormat("%s.%s", section, key));
    const toml::node* node = Find(section, key);
    if (node == nullptr && required) {
      const toml::node* table = root_.get(section);
      const int line = table == nullptr ? 1 : static_cast<int>(table->source().begin.line);
      errors_.push_back(
          absl::StrFormat("%s:%d: %s.%s: missing required key", file_, line, section, key));
    }
    return node;
  }

  void AddError(const toml::node& node, std::string_view section, std::string_view key,
                std::string_view message) {
    AddErrorAt(node, absl::StrFormat("%s.%s", section, key), message);
  }

  void AddErrorAt(const toml::node& node, const std::string& path, std::string_view message) {
    errors_.push_back(
        absl::StrFormat("%s:%d: %s: %s", file_, node.source().begin.line, path, message));
  }

  const toml::table& root_;
  std::string file_;
  std::vector<std::string> known_keys_;
  std::vector<std::string> errors_;
};

Settings ReadSettings(SettingsReader& reader) {
  Settings settings;
  bool entry = true;
  reader.ReadChoice("process", "role", "entry", "agent", entry);
  settings.role = entry ? policy::Role::kEntry : policy::Role::kAgent;
  reader.ReadName("process", "name", true, settings.name);
  reader.ReadName("process", "zone", true, settings.zone);
  reader.ReadInteger("process", "threads", 1, kMaxThreads, settings.threads);
  reader.ReadString("process", "address_file", false, settings.address_file);
  reader.ReadAddress("operator", "listen", false, settings.operator_listen);
  reader.ReadAddress("platform", "address", true, settings.platform_address);
  reader.ReadAddress("links", "listen", false, settings.link_listen);
  reader.ReadLinkKey("links", "key", settings.link_key);
  if (entry) {
    reader.ReadAddress("callers", "listen", false, settings.caller_listen);
  } else {
    settings.backend_name = settings.name;
    reader.ReadName("backend", "name", false, settings.backend_name);
    reader.ReadChoice("backend", "kind", "model", "service", settings.backend_is_model);
    reader.ReadAddress("backend", "address", true, settings.backend_address);
    reader.ReadStrings("backend", "tags", settings.backend_tags);
  }
  reader.RejectUnknownKeys();
  return settings;
}

}  // namespace

absl::StatusOr<Settings> ParseSettings(std::string_view text, std::string_view file) {
  const auto root = ParseToml(text, std::string(file));
  if (!root.ok()) {
    return root.status();
  }
  SettingsReader reader(*root, file);
  Settings settings = ReadSettings(reader);
  if (!reader.errors().empty()) {
    return absl::InvalidArgumentError(absl::StrJoin(reader.errors(), "\n"));
  }
  return settings;
}

absl::StatusOr<Settings> LoadSettings(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    return absl::NotFoundError(absl::StrFormat("cannot read the settings file %s", path));
  }
  std::ostringstream text;
  text << in.rdbuf();
  return ParseSettings(text.str(), path);
}

}  // namespace lagoonwind::runtime
