#include <algorithm>
#include <vector>

#include "controller.h"
#include "lagoonwind/limits.h"
#include "ledger_owner_map.h"
#include "usage_ledger.h"

namespace lagoonwind::policy {
namespace {

/// Reports the usage of this agent's customers to the owners of their ledgers, and maintains the
/// ledgers that this agent owns.
class LedgerController final : public Controller {
 public:
  void OnEvent(const Event& event, Blackboard& board, ActionList& actions) override {
    if (const auto* reported = std::get_if<LedgerReportReceived>(&event)) {
      actions.Add(SendLedgerTotals{.agent = reported->agent,
                                   .totals = ledger_.ApplyReport(reported->agent, reported->report,
                                                                 *board.configuration, board.now)});
    } else if (const auto* received = std::get_if<LedgerTotalsReceived>(&event)) {
      OnTotalsReceived(received->owner, received->totals, board);
    } else if (const auto* up = std::get_if<LinkUp>(&event)) {
      OnLinkChanged(up->member.id, board);
      suspects_.erase(up->member.id);
      down_since_.erase(up->member.id);
    } else if (const auto* down = std::get_if<LinkDown>(&event)) {
      OnLinkChanged(down->member, board);
    } else if (std::holds_alternative<MembersListed>(event)) {
      rebuild_ = true;
    }
  }

  void Update(Blackboard& board, ActionList& actions) override {
    SuspectUnreachable(board);
    if (std::exchange(rebuild_, false)) {
      owner_map_.Rebuild(board, suspects_);
      OpenLinks(board, actions);
    }
    if (board.now >= next_report_) {
      next_report_ = board.now + ReportInterval(board);
      SendReports(board, actions);
    }
  }

 private:
  /// State of the report exchange with one ledger owner.
  struct Channel {
    /// Records acknowledged by the owner.
    absl::btree_map<CustomerId, LedgerRecord> acknowledged;
    /// Records of the report that awaits its response.
    std::vector<LedgerRecord> pending;
    std::uint64_t number = 0;
    bool awaiting_response = false;
    Time sent_at;
  };

  /// Report interval. Small fleets report more often at the same total message rate.
  [[nodiscard]] Duration ReportInterval(const Blackboard& board) const {
    const Duration interval =
        limits::kLedgerReportIntervalPerAgent * static_cast<std::int64_t>(owner_map_.agent_count());
    return std::min(board.options.fair_share.report_interval,
                    std::max<Duration>(limits::kMinLedgerReportInterval, interval));
  }

  void OnLinkChanged(MemberId member, Blackboard& board) {
    channels_.erase(member);
    ledger_.RemoveAgent(member, board.now);
    rebuild_ = true;
  }

  /// Marks an owner that was not linked for limits::kLinkTimeout as a suspect; another agent
  /// replaces it until it is linked again.
  void SuspectUnreachable(const Blackboard& board) {
    for (const MemberId id : owner_map_.required_peers()) {
      if (board.Linked(id) || suspects_.contains(id)) {
        continue;
      }
      const Time since = down_since_.try_emplace(id, board.now).first->second;
      if (board.now - since >= limits::kLinkTimeout) {
        suspects_[id] = board.now;
        rebuild_ = true;
      }
    }
  }

  /// Opens missing links to ledger owners and closes unused ones. If two agents need a link to each
  /// other, the one with the smaller id opens it.
  void OpenLinks(Blackboard& board, ActionList& actions) {
    for (const MemberId id : owner_map_.required_peers()) {
      MemberState& state = board.members[id];
      const bool opens = !owner_map_.is_owner() || board.self < id;
      if (opens && state.listed && !state.opening && !state.linked) {
        state.opening = true;
        actions.Add(OpenLink{.member = state.member});
      }
    }
    for (auto& [id, state] : board.members) {
      if (state.opening && !state.listed && !state.linked) {
        state.opening = false;
        actions.Add(CloseLink{.member = id});
      }
    }
  }

  void SendReports(Blackboard& board, ActionList& actions) {
    const std::vector<CustomerId> backlogged = Backlogged(board);
    absl::btree_map<MemberId, std::vector<LedgerRecord>> changes;
    for (const auto& [customer, account] : board.accounts) {
      const MemberId id = owner_map_.OwnerOf(customer, board);
      if (!id.valid()) {
        continue;
      }
      const LedgerRecord record = MakeRecord(customer, account, backlogged, board);
      AppendIfChanged(record, channels_[id], changes[id]);
    }
    for (auto& [id, records] : changes) {
      Report(id, std::move(records), backlogged, board, actions);
    }
  }

  static std::vector<CustomerId> Backlogged(Blackboard& board) {
    std::vector<CustomerId> list;
    for (const auto& [key, demand] : board.demand) {
      if (list.empty() || list.back() != key.customer) {
        list.push_back(key.customer);
        board.accounts.try_emplace(key.customer);
      }
    }
    return list;
  }

  static LedgerRecord MakeRecord(CustomerId customer, const CustomerAccount& account,
                                 std::span<const CustomerId> backlogged, const Blackboard& board) {
    const double own_service = board.LocalService(customer);
    return LedgerRecord{
        .customer = customer,
        .service = own_service,
        .in_flight = account.in_flight,
        .estimated_total = account.total.service + own_service - account.included_service,
        .backlogged = std::ranges::binary_search(backlogged, customer)};
  }

  static void AppendIfChanged(LedgerRecord record, const Channel& channel,
                              std::vector<LedgerRecord>& changes) {
    const auto before = channel.acknowledged.find(record.customer);
    record.is_first = before == channel.acknowledged.end();
    const bool empty = record.service == 0 && record.estimated_total == 0 && !record.backlogged;
    const bool changed = record.is_first ? !empty
                                         : record.service != before->second.service ||
                                               record.in_flight != before->second.in_flight ||
                                               record.backlogged != before->second.backlogged;
    if (changed) {
      changes.push_back(record);
    }
  }

  /// Sends the changed records. A report without records is sent too, to obtain current totals.
  void Report(MemberId id, std::vector<LedgerRecord> records,
              std::span<const CustomerId> backlogged, Blackboard& board, ActionList& actions) {
    Channel& channel = channels_[id];
    if (channel.awaiting_response && board.now - channel.sent_at < limits::kLedgerResponseTimeout) {
      return;
    }
    LedgerReport report{.agent = board.options.incarnation, .number = ++channel.number};
    SetFloors(backlogged, board, report);
    report.records = records;
    channel.pending = std::move(records);
    channel.awaiting_response = true;
    channel.sent_at = board.now;
    if (id == board.self) {
      OnTotalsReceived(id, ledger_.ApplyReport(id, report, *board.configuration, board.now), board);
    } else {
      actions.Add(SendLedgerReport{.owner = id, .report = std::move(report)});
    }
  }

  /// Sets the floors of a report from the service per share of the backlogged customers. A newly
  /// backlogged customer starts at their minimum; none stays further behind their upper quartile
  /// than the catch-up limits allow.
  static void SetFloors(std::span<const CustomerId> backlogged, const Blackboard& board,
                        LedgerReport& report) {
    std::vector<double> levels;
    double max_mean_cost = 0;
    double in_flight = 0;
    for (const CustomerId customer : backlogged) {
      const CustomerAccount& account = board.accounts.at(customer);
      const double share = board.configuration->Share(customer);
      if (account.has_total) {
        levels.push_back(account.total.service / share);
        max_mean_cost = std::max(max_mean_cost, board.costs.MeanCost(customer) / share);
        in_flight = std::max(in_flight, account.total.in_flight / share);
      }
    }
    if (levels.empty()) {
      return;
    }
    report.activation_floor = std::ranges::min(levels);
    const auto quartile = levels.begin() + static_cast<std::ptrdiff_t>(levels.size() * 3 / 4);
    std::ranges::nth_element(levels, quartile);
    const double max_lag =
        limits::kCatchUpRequests * max_mean_cost + limits::kCatchUpInFlight * in_flight;
    report.floor = std::max(*quartile - max_lag, 0.0);
  }

  void OnTotalsReceived(MemberId owner_id, const LedgerTotals& totals, Blackboard& board) {
    const auto channel = channels_.find(owner_id);
    if (channel == channels_.end() || channel->second.number != totals.number) {
      return;
    }
    channel->second.awaiting_response = false;
    for (const auto& record : channel->second.pending) {
      CustomerAccount& account = board.accounts[record.customer];
      account.included = record.service + record.in_flight;
      account.included_service = record.service;
      channel->second.acknowledged[record.customer] = record;
    }
    channel->second.pending.clear();
    for (const auto& total : totals.totals) {
      CustomerAccount& account = board.accounts[total.customer];
      account.total = total;
      account.has_total = true;
    }
    ++board.ledger_round;
  }

  LedgerOwnerMap owner_map_;
  UsageLedger ledger_;
  absl::btree_map<MemberId, Channel> channels_;
  absl::btree_map<MemberId, Time> down_since_;
  absl::btree_map<MemberId, Time> suspects_;
  bool rebuild_ = true;
  Time next_report_;
};

}  // namespace

std::unique_ptr<Controller> MakeLedgerController() { return std::make_unique<LedgerController>(); }

}  // namespace lagoonwind::policy
