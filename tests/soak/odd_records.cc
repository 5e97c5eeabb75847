#include "odd_records.h"

#include <absl/strings/str_cat.h>

#include <array>
#include <functional>

namespace lagoonwind::testing {
namespace {

constexpr std::size_t kNestedLevels = 200000;

/// Returns the record of a sound backend server with one field replaced.
/// \param value  JSON text of the field's value.
std::string WithField(const std::string& name, const std::string& value,
                      const std::string& address) {
  struct Field {
    std::string name;
    std::string value;
  };
  const std::array<Field, 8> fields{{{"backend", R"("desk")"},
                                     {"addr", absl::StrCat("\"", address, "\"")},
                                     {"zone", R"("z1")"},
                                     {"slots", "8"},
                                     {"state", R"("ready")"},
                                     {"cold_left_ms", "0"},
                                     {"seq", "1"},
                                     {"born", "1"}}};
  std::string record = "{";
  for (const Field& field : fields) {
    absl::StrAppend(&record, record.size() > 1 ? "," : "", "\"", field.name,
                    "\":", field.name == name ? value : field.value);
  }
  return record + "}";
}

std::string Nested(char open, char close) {
  return std::string(kNestedLevels, open) + std::string(kNestedLevels, close);
}

}  // namespace

std::string OddServerRecord(int variant, const std::string& address) {
  using Make = std::function<std::string()>;
  const auto with = [&](std::string name, std::string value) -> Make {
    return [name = std::move(name), value = std::move(value), &address] {
      return WithField(name, value, address);
    };
  };
  const auto text = [](const std::string& value) -> Make { return [value] { return value; }; };
  const std::array kinds{
      with("zone", Nested('[', ']')),
      text(std::string(kNestedLevels, '[')),
      with("seq", "1e400"),
      with("seq", "99999999999999999999999999"),
      with("born", "-1e300"),
      with("cold_left_ms", "9223372036854775807"),
      with("slots", "-9223372036854775808"),
      with("addr", R"("127.0.0.1:70000")"),
      with("addr", R"("127.0.0.1:99999999999999999999")"),
      with("addr", R"("127.0.0.1:0")"),
      with("addr", R"("127.0.0.1:-1")"),
      with("addr", "[]"),
      with("backend", R"("")"),
      with("backend", "null"),
      with("state", R"("gone fishing")"),
      with("zone", "\"\xff\xfe\xc0\x80\""),
      text("\xff\xfe\x80 {"),
      text(std::string("\0\0\0\0", 4)),
      text("null"),
      text("[]"),
      text("{}"),
      text(R"({"backend":"desk","addr")"),
  };
  return kinds.at(static_cast<std::size_t>(variant) % kinds.size())();
}

}  // namespace lagoonwind::testing
