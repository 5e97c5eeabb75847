#include <algorithm>
#include <optional>

#include "controller.h"
#include "lagoonwind/limits.h"

namespace lagoonwind::policy {
namespace {

/// Maintains the newest accepted configuration, received from the log or from other members. The
/// offset of the configuration in force never decreases.
class ConfigurationController final : public Controller {
 public:
  void OnEvent(const Event& event, Blackboard& board, ActionList& /*actions*/) override {
    if (const auto* accepted = std::get_if<ConfigurationAccepted>(&event)) {
      board.rules.Adopt(accepted->configuration, accepted->configuration->offset + 1);
    } else if (const auto* read = std::get_if<RulesRead>(&event)) {
      OnRulesRead(*read, board);
    } else if (const auto* version = std::get_if<VersionReceived>(&event)) {
      OnVersionReceived(*version, board);
    } else if (const auto* received = std::get_if<ConfigurationReceived>(&event)) {
      OnConfigurationReceived(*received, board);
    }
    ApplyCurrent(board);
  }

  void Update(Blackboard& board, ActionList& actions) override {
    const bool changed = board.configuration->offset != announced_.offset;
    const bool advanced = changed || board.rules.applied_end() != announced_.through;
    if (advanced) {
      actions.Add(PublishConfiguration{.configuration = board.configuration,
                                       .through = board.rules.applied_end()});
    }
    if (!advanced && board.log.last_read == announced_.last_log_read) {
      return;
    }
    announced_ = AnnounceVersion{.offset = board.configuration->offset,
                                 .through = board.rules.applied_end(),
                                 .log_read_known = board.log.read_known,
                                 .last_log_read = board.log.last_read,
                                 .urgent = changed};
    actions.Add(announced_);
  }

 private:
  static void OnRulesRead(const RulesRead& read, Blackboard& board) {
    if (!read.ok) {
      return;
    }
    board.rules.SetFirstAvailable(read.records.empty() ? read.first_offset
                                                       : read.records.front().offset);
    for (const auto& record : read.records) {
      if (record.offset >= board.rules.next()) {
        board.rules.Replay(record.offset, record.data);
      }
    }
    if (board.rules.gap_free() && board.rules.next() == read.next_offset) {
      UpdateLastRead(board.log.read_started, board);
    }
  }

  /// A member's progress on the rules stream applies only if it has the same configuration.
  static void OnVersionReceived(const VersionReceived& version, Blackboard& board) {
    if (version.offset != board.configuration->offset) {
      return;
    }
    board.rules.Adopt(board.configuration, version.through);
    if (version.log_read_known) {
      UpdateLastRead(board.now - version.log_age, board);
    }
  }

  static void UpdateLastRead(Time at, Blackboard& board) {
    board.log.last_read = board.log.read_known ? std::max(board.log.last_read, at) : at;
    board.log.read_known = true;
  }

  static void OnConfigurationReceived(const ConfigurationReceived& received, Blackboard& board) {
    if (received.offset <= board.configuration->offset) {
      return;
    }
    const auto text = DecodeText(received, board);
    if (!text || ConfigurationDigest(received.offset, *text) != received.digest) {
      return;
    }
    ParsedRules parsed = ParseRules(*text);
    if (!parsed.errors.empty()) {
      return;
    }
    parsed.configuration.offset = received.offset;
    board.rules.Adopt(std::make_shared<const Configuration>(std::move(parsed.configuration)),
                      received.through);
  }

  static std::optional<std::string> DecodeText(const ConfigurationReceived& received,
                                               const Blackboard& board) {
    if (received.base < 0) {
      return ApplyPatch({}, received.patch);
    }
    if (received.base != board.configuration->offset) {
      return std::nullopt;
    }
    return ApplyPatch(board.configuration->text, received.patch);
  }

  static void ApplyCurrent(Blackboard& board) {
    const auto& current = board.rules.current();
    if (current->offset <= board.configuration->offset) {
      return;
    }
    if (board.configuration->offset >= 0) {
      board.previous_configurations.push_back(board.configuration);
    }
    if (board.previous_configurations.size() > limits::kMaxFormerConfigurations) {
      board.previous_configurations.erase(board.previous_configurations.begin());
    }
    board.configuration = current;
    board.Record({.kind = DecisionKind::kConfigurationAccepted,
                  .value = static_cast<double>(current->offset)});
  }

  AnnounceVersion announced_;
};

}  // namespace

Digest ConfigurationDigest(std::int64_t offset, std::string_view text) {
  return Digest{StableHash(text, static_cast<std::uint64_t>(offset))};
}

std::unique_ptr<Controller> MakeConfigurationController() {
  return std::make_unique<ConfigurationController>();
}

}  // namespace lagoonwind::policy
