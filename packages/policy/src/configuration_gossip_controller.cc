#include <algorithm>
#include <iterator>

#include "controller.h"
#include "lagoonwind/limits.h"

namespace lagoonwind::policy {
namespace {

/// Number of large changes that can be sent before the requests for them time out.
constexpr std::size_t kMaxDeferredRequests =
    limits::kConfigurationRequestTimeout / limits::kLargeConfigurationChangeInterval;

/// Requests newer configurations from other members and responds to their requests.
class ConfigurationGossipController final : public Controller {
 public:
  void OnEvent(const Event& event, Blackboard& board, ActionList& actions) override {
    if (const auto* received = std::get_if<VersionReceived>(&event)) {
      member_offsets_[received->member] = received->offset;
      if (received->offset >= board.configuration->offset) {
        deferred_requests_.erase(received->member);
      }
    } else if (const auto* down = std::get_if<LinkDown>(&event)) {
      member_offsets_.erase(down->member);
      deferred_requests_.erase(down->member);
    } else if (const auto* requested = std::get_if<ConfigurationRequested>(&event)) {
      Respond(*requested, board, actions);
    }
  }

  void Update(Blackboard& board, ActionList& actions) override {
    SendDeferred(board, actions);
    if (board.configuration->offset >= requested_offset_) {
      requested_offset_ = -1;
    }
    if (requested_offset_ >= 0 && board.now < next_request_) {
      return;
    }
    const auto newer = NewestMembers(board.configuration->offset);
    if (newer.empty()) {
      return;
    }
    const std::uint64_t index = CombineHashes(board.self.value, ++request_count_) % newer.size();
    const MemberId member = newer[index];
    requested_offset_ = member_offsets_[member];
    next_request_ = board.now + limits::kConfigurationRequestTimeout;
    actions.Add(RequestConfiguration{.member = member, .have = board.configuration->offset});
  }

 private:
  /// Members with the newest known configuration, if it is newer than `offset`.
  [[nodiscard]] std::vector<MemberId> NewestMembers(std::int64_t offset) const {
    std::int64_t newest = offset;
    std::vector<MemberId> members;
    for (const auto& [member, version] : member_offsets_) {
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

  /// Sends small changes immediately and large ones at least
  /// limits::kLargeConfigurationChangeInterval apart. A member whose request times out asks
  /// another member.
  void Respond(const ConfigurationRequested& requested, Blackboard& board, ActionList& actions) {
    const Configuration& current = *board.configuration;
    if (current.offset <= requested.have) {
      return;
    }
    const auto base = std::ranges::find_if(
        board.previous_configurations,
        [&](const auto& previous) { return previous->offset == requested.have; });
    const bool known = base != board.previous_configurations.end();
    TextPatch patch = MakePatch(known ? (*base)->text : std::string_view{}, current.text);
    if (patch.middle.size() > limits::kSmallConfigurationChangeBytes) {
      if (board.now < next_large_change_) {
        if (deferred_requests_.size() < kMaxDeferredRequests) {
          deferred_requests_[requested.member] = requested.have;
        }
        return;
      }
      next_large_change_ = board.now + limits::kLargeConfigurationChangeInterval;
    }
    actions.Add(SendConfiguration{.member = requested.member,
                                  .offset = current.offset,
                                  .through = board.rules.applied_end(),
                                  .base = known ? requested.have : -1,
                                  .patch = std::move(patch),
                                  .digest = ConfigurationDigest(current.offset, current.text)});
  }

  void SendDeferred(Blackboard& board, ActionList& actions) {
    if (deferred_requests_.empty() || board.now < next_large_change_) {
      return;
    }
    const auto first = deferred_requests_.begin();
    const ConfigurationRequested request{.member = first->first, .have = first->second};
    deferred_requests_.erase(first);
    Respond(request, board, actions);
  }

  /// Members that wait for a large change, with the offset of their configuration.
  absl::btree_map<MemberId, std::int64_t> deferred_requests_;
  /// Offset of the configuration that each linked member has.
  absl::btree_map<MemberId, std::int64_t> member_offsets_;
  std::int64_t requested_offset_ = -1;
  Time next_request_;
  std::uint64_t request_count_ = 0;
  Time next_large_change_;
};

}  // namespace

std::unique_ptr<Controller> MakeConfigurationGossipController() {
  return std::make_unique<ConfigurationGossipController>();
}

}  // namespace lagoonwind::policy
