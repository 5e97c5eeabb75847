#pragma once

#include <random>
#include <span>
#include <string>
#include <string_view>

namespace lagoonwind::testing {

/// Mutates valid input for fuzz tests. Deterministic for a given seed and sequence of calls. Not
/// thread safe.
class Mutator {
 public:
  /// \param dictionary  Tokens of the input format, inserted at random; not empty, and must outlive
  ///   the mutator.
  Mutator(std::uint64_t seed, std::span<const std::string_view> dictionary)
      : random_(seed), dictionary_(dictionary) {}

  /// Applies one to eight random changes: replaces a byte, erases or duplicates a range, inserts a
  /// dictionary token, or truncates the text.
  std::string Mutate(std::string text) {
    constexpr std::size_t kMaxChanges = 8;
    for (std::size_t i = 0; i <= Below(kMaxChanges); ++i) {
      ApplyRandomChange(text);
    }
    return text;
  }

  /// \return A random number from 0 to `bound` - 1; `bound` must be positive.
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
