#pragma once

#include <random>
#include <span>
#include <string>
#include <string_view>

namespace lagoonwind::testing {

/// Makes malformed input out of valid input, the same way for the same seed. Not thread safe.
class Mutator {
 public:
  /// \param dictionary  Texts that the format gives a meaning to.
  Mutator(std::uint64_t seed, std::span<const std::string_view> dictionary)
      : random_(seed), dictionary_(dictionary) {}

  /// Applies one to eight changes: bytes flipped, removed, doubled, cut off, or words put in.
  std::string Mutate(std::string text) {
    constexpr std::size_t kMaxChanges = 8;
    for (std::size_t i = 0; i <= Below(kMaxChanges); ++i) {
      ApplyRandomChange(text);
    }
    return text;
  }

  /// A number from 0 to `bound` - 1.
  std::size_t Below(std::size_t bound) { return random_() % bound; }

 private:
  void ApplyRandomChange(std::string& text) {
    constexpr std::size_t kChangeKinds = 5;
    const std::size_t at = Below(text.size() + 1);
    const std::size_t length = Below(16);
    switch (Below(kChangeKinds)) {
      case 0:
        if (at < text.size()) {
          text[at] = static_cast<char>(random_());
        }
        break;
      case 1:
        text.erase(at, length);
        break;
      case 2:
        text.insert(at, text.substr(Below(text.size() + 1), length));
        break;
      case 3:
        text.insert(at, dictionary_[Below(dictionary_.size())]);
        break;
      default:
        text.resize(Below(4) == 0 ? at : text.size());
    }
  }

  std::mt19937_64 random_;
  std::span<const std::string_view> dictionary_;
};

}  // namespace lagoonwind::testing
