#include <algorithm>
#include <iterator>

#include "controller.h"
#include "lagoonwind/limits.h"

namespace lagoonwind::policy {
namespace {

/// Larger changes that can be sent before those who wait ask another member.
constexpr std::size_t kMaxWaiting =
    limits::kConfigurationRequestTimeout / limits::kLargeConfigurationChangeInterval;

/// Asks members for newer configurations and answers those that ask.
class SpreadController final : public Controller {
 public:
  void OnEvent(const Event& event, Blackboard& board, ActionList& actions) override {
    if (const auto* heard = std::get_if<VersionHeard>(&event)) {
      heard_[heard->member] = heard->offset;
      if (heard->offset >= board.configuration->offset) {
        waiting_.erase(heard->member);
      }
    } else if (const auto* down = std::get_if<LinkDown>(&event)) {
      heard_.erase(down->member);
      waiting_.erase(down->member);
    } else if (const auto* requested = std::get_if<ConfigurationRequested>(&event)) {
      Answer(*requested, board, actions);
    }
  }

  void Update(Blackboard& board, ActionList& actions) override {
    AnswerWaiting(board, actions);
    if (board.configuration->offset >= asked_) {
      asked_ = -1;
    }
    if (asked_ >= 0 && board.now < ask_again_) {
      return;
    }
    const auto newer = NewestMembers(board.configuration->offset);
    if (newer.empty()) {
      return;
    }
    const std::uint64_t pick = CombineHashes(board.self.value, ++tries_) % newer.size();
    const MemberId member = newer[pick];
    asked_ = heard_[member];
    ask_again_ = board.now + limits::kConfigurationRequestTimeout;
    actions.Add(RequestConfiguration{.member = member, .have = board.configuration->offset});
  }

 private:
  /// Members that have the newest configuration heard of, if it is newer than `offset`.
  [[nodiscard]] std::vector<MemberId> NewestMembers(std::int64_t offset) const {
    std::int64_t newest = offset;
    std::vector<MemberId> members;
    for (const auto& [member, version] : heard_) {
      if (version > newest) {
        newest = version;
        members.clear();
      }
      if (version > offset && version == newest) {
        members.push_back(member);
      }
    }
    return members;
  }

  /// Sends a small change at once. Larger ones are spaced; a member that waits too long asks
  /// another.
  void Answer(const ConfigurationRequested& requested, Blackboard& board, ActionList& actions) {
    const Configuration& current = *board.configuration;
    if (current.offset <= requested.have) {
      return;
    }
    const auto base = std::ranges::find_if(
        board.former, [&](const auto& former) { return former->offset == requested.have; });
    const bool known = base != board.former.end();
    TextPatch patch = MakePatch(known ? (*base)->text : std::string_view{}, current.text);
    if (patch.middle.size() > limits::kSmallConfigurationChangeBytes) {
      if (board.now < next_text_) {
        if (waiting_.size() < kMaxWaiting) {
          waiting_[requested.member] = requested.have;
        }
        return;
      }
      next_text_ = board.now + limits::kLargeConfigurationChangeInterval;
    }
    actions.Add(SendConfiguration{.member = requested.member,
                                  .offset = current.offset,
                                  .through = board.rules.applied_end(),
                                  .base = known ? requested.have : -1,
                                  .patch = std::move(patch),
                                  .digest = ConfigurationDigest(current.offset, current.text)});
  }

  void AnswerWaiting(Blackboard& board, ActionList& actions) {
    if (waiting_.empty() || board.now < next_text_) {
      return;
    }
    const auto first = waiting_.begin();
    const ConfigurationRequested request{.member = first->first, .have = first->second};
    waiting_.erase(first);
    Answer(request, board, actions);
  }

  /// Members that wait for a larger change, with the offset of what they have.
  absl::btree_map<MemberId, std::int64_t> waiting_;
  /// Offset of the configuration that each linked member has.
  absl::btree_map<MemberId, std::int64_t> heard_;
  std::int64_t asked_ = -1;
  Time ask_again_;
  std::uint64_t tries_ = 0;
  Time next_text_;
};

}  // namespace

std::unique_ptr<Controller> MakeSpreadController() { return std::make_unique<SpreadController>(); }

}  // namespace lagoonwind::policy
