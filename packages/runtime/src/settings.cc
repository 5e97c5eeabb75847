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
constexpr std::size_t kMinKeyBytes = 12;
constexpr std::size_t kMaxKeyBytes = 256;

bool IsNameLetter(char letter) {
  return std::isalnum(static_cast<unsigned char>(letter)) != 0 || letter == '-' || letter == '_' ||
         letter == '.';
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes && std::ranges::all_of(text, IsNameLetter);
}

/// Reads typed values out of a TOML table and collects every fault.
class Reader {
 public:
  Reader(const toml::table& root, std::string_view file) : root_(root), file_(file) {}

  void String(std::string_view section, std::string_view key, bool required, std::string& out) {
    const toml::node* node = Take(section, key, required);
    if (node == nullptr) {
      return;
    }
    const auto value = node->value_exact<std::string>();
    if (!value || (required && value->empty())) {
      Fail(*node, section, key, "isn't valid; allowed is a text");
      return;
    }
    out = *value;
  }

  void Name(std::string_view section, std::string_view key, bool required, std::string& out) {
    String(section, key, required, out);
    const toml::node* node = Find(section, key);
    if (node != nullptr && node->is_string() && !out.empty() && !IsName(out)) {
      Fail(*node, section, key, "isn't valid; allowed are 1 to 64 letters, digits, '-', '_', '.'");
    }
  }

  /// A shared key; faults never show it.
  void Key(std::string_view section, std::string_view key, std::string& out) {
    String(section, key, true, out);
    const toml::node* node = Find(section, key);
    if (node != nullptr && !out.empty() &&
        (out.size() < kMinKeyBytes || out.size() > kMaxKeyBytes)) {
      Fail(*node, section, key, "isn't valid; allowed are 12 to 256 bytes");
    }
  }

  void Choice(std::string_view section, std::string_view key, std::string_view yes,
              std::string_view no, bool& out) {
    const toml::node* node = Take(section, key, true);
    if (node == nullptr) {
      return;
    }
    const auto value = node->value_exact<std::string>();
    if (!value || (*value != yes && *value != no)) {
      Fail(*node, section, key, absl::StrFormat("isn't valid; allowed are %s, %s", yes, no));
      return;
    }
    out = *value == yes;
  }

  void Integer(std::string_view section, std::string_view key, int least, int most, int& out) {
    const toml::node* node = Take(section, key, false);
    if (node == nullptr) {
      return;
    }
    const auto value = node->value_exact<std::int64_t>();
    if (!value || *value < least || *value > most) {
      Fail(*node, section, key, absl::StrFormat("isn't valid; allowed is %d to %d", least, most));
      return;
    }
    out = static_cast<int>(*value);
  }

  void Address(std::string_view section, std::string_view key, bool required, std::string& out) {
    String(section, key, required, out);
    const toml::node* node = Find(section, key);
    if (node != nullptr && node->is_string() && !http::ParseEndpoint(out).ok()) {
      Fail(*node, section, key, "isn't valid; allowed is IP:PORT");
    }
  }

  void Strings(std::string_view section, std::string_view key, std::vector<std::string>& out) {
    const toml::node* node = Take(section, key, false);
    if (node == nullptr) {
      return;
    }
    const toml::array* list = node->as_array();
    const bool valid = list != nullptr && std::all_of(list->begin(), list->end(),
                                                      [](auto& item) { return item.is_string(); });
    if (!valid) {
      Fail(*node, section, key, "isn't valid; allowed is a list of texts");
      return;
    }
    for (const auto& item : *list) {
      const std::string text = *item.value<std::string>();
      if (!IsName(text) || std::ranges::find(out, text) != out.end()) {
        Fail(item, section, key, "isn't valid; allowed are names, each once");
      }
      out.push_back(text);
    }
  }

  /// Reports every section and key that was never asked for.
  void RefuseUnknown() {
    for (const auto& [section, node] : root_) {
      const toml::table* table = node.as_table();
      if (table == nullptr) {
        FailAt(node, std::string(section.str()), "unknown key outside a section");
        continue;
      }
      for (const auto& [key, value] : *table) {
        const std::string path = absl::StrFormat("%s.%s", section.str(), key.str());
        if (std::ranges::find(taken_, path) == taken_.end()) {
          FailAt(value, path, "unknown key");
        }
      }
    }
  }

  [[nodiscard]] const std::vector<std::string>& faults() const { return faults_; }

 private:
  const toml::node* Find(std::string_view section, std::string_view key) {
    const toml::table* table = root_[section].as_table();
    return table == nullptr ? nullptr : table->get(key);
  }

  const toml::node* Take(std::string_view section, std::string_view key, bool required) {
    taken_.push_back(absl::StrFormat("%s.%s", section, key));
    const toml::node* node = Find(section, key);
    if (node == nullptr && required) {
      const toml::node* table = root_.get(section);
      const int line = table == nullptr ? 1 : static_cast<int>(table->source().begin.line);
      faults_.push_back(absl::StrFormat("%s:%d: %s.%s: missing", file_, line, section, key));
    }
    return node;
  }

  void Fail(const toml::node& node, std::string_view section, std::string_view key,
            std::string_view what) {
    FailAt(node, absl::StrFormat("%s.%s", section, key), what);
  }

  void FailAt(const toml::node& node, const std::string& path, std::string_view what) {
    faults_.push_back(
        absl::StrFormat("%s:%d: %s: %s", file_, node.source().begin.line, path, what));
  }

  const toml::table& root_;
  std::string file_;
  std::vector<std::string> taken_;
  std::vector<std::string> faults_;
};

Settings ReadAll(Reader& reader) {
  Settings settings;
  bool entry = true;
  reader.Choice("process", "role", "entry", "agent", entry);
  settings.role = entry ? policy::Role::kEntry : policy::Role::kAgent;
  reader.Name("process", "name", true, settings.name);
  reader.Name("process", "zone", true, settings.zone);
  reader.Integer("process", "threads", 1, kMaxThreads, settings.threads);
  reader.String("process", "address_file", false, settings.address_file);
  reader.Address("operator", "listen", false, settings.operator_listen);
  reader.Address("platform", "address", true, settings.platform_address);
  reader.Address("links", "listen", false, settings.link_listen);
  reader.Key("links", "key", settings.link_key);
  if (entry) {
    reader.Address("callers", "listen", false, settings.caller_listen);
  } else {
    settings.backend_name = settings.name;
    reader.Name("backend", "name", false, settings.backend_name);
    reader.Choice("backend", "kind", "model", "service", settings.backend_is_model);
    reader.Address("backend", "address", true, settings.backend_address);
    reader.Strings("backend", "tags", settings.backend_tags);
  }
  reader.RefuseUnknown();
  return settings;
}

}  // namespace

absl::StatusOr<Settings> ParseSettings(std::string_view text, std::string_view file) {
  const auto root = ParseToml(text, std::string(file));
  if (!root.ok()) {
    return root.status();
  }
  Reader reader(*root, file);
  Settings settings = ReadAll(reader);
  if (!reader.faults().empty()) {
    return absl::InvalidArgumentError(absl::StrJoin(reader.faults(), "\n"));
  }
  return settings;
}

absl::StatusOr<Settings> LoadSettings(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    return absl::NotFoundError(absl::StrFormat("can't read %s", path));
  }
  std::ostringstream text;
  text << in.rdbuf();
  return ParseSettings(text.str(), path);
}

}  // namespace lagoonwind::runtime
