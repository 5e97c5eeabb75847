#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

#include "lagoonwind/base.h"

/// \file
/// What a gateway believes about the load of model engines.
namespace lagoonwind::policy {

/// One run of a backend server; a restart is another one.
using ServerId = Handle<struct ServerTag>;

/// One part of a prompt. Requests that begin with the same parts share what was read of them.
struct PromptPart {
  std::uint64_t id = 0;
  std::int64_t tokens = 0;
};

struct Prompt {
  std::int64_t input_tokens = 0;
  std::int64_t max_output_tokens = 0;
  std::vector<PromptPart> parts;
};

/// Options of EngineLoad.
struct EngineLoadInit {
  /// Prompt tokens that an engine reads in a second until it is known better.
  double reading_rate = 40000;
  /// Time after its last use anywhere from which on a part counts as forgotten by all engines.
  Duration part_lifetime = std::chrono::seconds(6);
  /// Silence of a peer after which what it reported last no longer counts.
  Duration peer_timeout = std::chrono::seconds(5);
};

/// Load of one engine as a request would meet it.
struct EngineEstimate {
  /// Time until the engine has read what was sent before.
  Duration queueing_delay{0};
  /// Time to read what the engine doesn't keep of the prompt.
  Duration read{0};
  std::int64_t unread_tokens = 0;
  /// Tokens of shared parts that another engine keeps and this one doesn't.
  std::int64_t repeated_tokens = 0;
  /// The same, each part divided by how often this engine is expected to use it once it is read.
  double repeated_tokens_a_use = 0;
  /// Requests that wait or run, and the memory that they need beyond shared parts.
  std::int64_t running = 0;
  std::int64_t running_tokens = 0;
};

/// What one gateway has sent to one engine; all but `running` only grow, so that a lost or repeated
/// report does no harm.
struct EngineReport {
  ServerId server;
  std::uint64_t read_tokens = 0;
  std::int64_t running = 0;
  std::int64_t running_tokens = 0;
};

/// A part of a prompt that a gateway has lately sent to an engine.
struct PartReport {
  ServerId server;
  std::uint64_t part = 0;
};

/// Model of the engines' unread prompts, running requests and kept prompt parts, from this
/// gateway's own sends and from what its peers report. Load pattern: long prompts and bursts, under
/// which engines that are chosen blindly get more to read than they can within the objective.
/// Engines read prompts in order of arrival, so that one queue length per engine describes them.
/// Not thread safe.
class EngineLoad {
 public:
  using Sequence = std::uint64_t;

  explicit EngineLoad(const EngineLoadInit& init) : init_(init) {}

  /// What `prompt` would meet at `server` now.
  [[nodiscard]] EngineEstimate Expect(ServerId server, const Prompt& prompt, Time now) const {
    return ExpectAll(std::span(&server, 1), prompt, now).front();
  }
  /// What it would meet at each of `servers`, in their order.
  [[nodiscard]] std::vector<EngineEstimate> ExpectAll(std::span<const ServerId> servers,
                                                      const Prompt& prompt, Time now) const;

  /// Tells how much an engine keeps, in tokens.
  void SetMemory(ServerId server, std::int64_t tokens) { engines_[server].memory_tokens = tokens; }

  /// The prompt was sent to `server`.
  /// \return Names the request in the calls that follow.
  Sequence Sent(ServerId server, const Prompt& prompt, Time now);
  /// The answer began, so that the engine has read this prompt and all before it.
  void Began(ServerId server, Sequence request, Time now);
  /// The request is over. If it hadn't begun, the engine drops its prompt.
  void Ended(ServerId server, Sequence request, Time now);

  /// What this gateway has sent to engines.
  [[nodiscard]] std::vector<EngineReport> LocalReports() const;
  /// Parts that this gateway sent since `since`.
  [[nodiscard]] std::vector<PartReport> PartsSince(Time since) const;
  /// Takes in what a peer reports.
  /// \param peer  A run of a gateway.
  void MergePeerReport(Incarnation peer, std::span<const EngineReport> engines,
                       std::span<const PartReport> parts, Time now);

  /// No longer counts running requests of peers that have been silent for too long.
  void DropSilentPeers(Time now);

  /// Forgets an engine that is gone.
  void Forget(ServerId server) { engines_.erase(server); }
  /// Prompt tokens that an engine reads in a second, as learnt from answers.
  [[nodiscard]] double reading_rate() const { return reading_rate_; }

 private:
  struct Running {
    Sequence sequence = 0;
    Time sent;
    /// Value of `Engine::sent_tokens` after this request.
    std::uint64_t position = 0;
    std::int64_t unread = 0;
    std::int64_t ahead = 0;
    std::int64_t memory = 0;
    bool began = false;
  };
  struct PeerState {
    EngineReport last;
    Time heard;
  };
  struct PartUse {
    Time at;
    /// Value of `Engine::sent_tokens` then.
    std::uint64_t position = 0;
  };
  struct Engine {
    /// When the engine will have read all that it was sent.
    Time read_until{};
    /// Tokens to read that were ever sent by any gateway.
    std::uint64_t sent_tokens = 0;
    std::uint64_t own_tokens = 0;
    std::int64_t own_memory = 0;
    std::vector<Running> running;
    /// Memory for prompts and answers; 0 if unknown.
    std::int64_t memory_tokens = 0;
    absl::flat_hash_map<Incarnation, PeerState> peers;
    /// Sums of what peers reported last.
    std::int64_t peers_running = 0;
    std::int64_t peers_memory = 0;
    /// Last use of each part, by the hash of the prompt up to its end.
    absl::flat_hash_map<std::uint64_t, PartUse> parts;
  };
  struct SentPart {
    Time at;
    PartReport part;
  };
  /// A part that some engine has read lately.
  struct KnownPart {
    Time at{};
    /// Uses anywhere, of which those longer ago count less.
    double uses = 0;
  };
  /// A part of the prompt that is looked at.
  struct PartOutlook {
    /// Hash of the prompt up to its end.
    std::uint64_t prefix = 0;
    std::int64_t tokens = 0;
    bool known = false;
    double uses = 0;
    /// Engines looked at that keep it.
    int holders = 0;
  };

  [[nodiscard]] Duration ReadingTime(std::int64_t tokens) const;
  /// \param since  When the engine may have begun to read them.
  void AddUnread(Engine& engine, std::uint64_t tokens, Time since) const;
  [[nodiscard]] std::vector<PartOutlook> OutlookOf(const Prompt& prompt, Time now) const;
  /// How many of the first parts an engine keeps.
  [[nodiscard]] std::size_t KeptParts(const Engine* engine, std::span<const PartOutlook> parts,
                                      Time now) const;
  [[nodiscard]] EngineEstimate EstimateOf(const Engine* engine, const Prompt& prompt,
                                          std::span<const PartOutlook> parts, std::size_t kept,
                                          Time now) const;
  [[nodiscard]] double DecayedUses(const KnownPart& part, Time now) const;
  [[nodiscard]] const Engine* Find(ServerId server) const;
  [[nodiscard]] static std::int64_t RunningTokens(const Engine& engine) {
    return engine.own_memory + engine.peers_memory;
  }
  static void TakeReport(Engine& engine, PeerState& state, const EngineReport& report, Time now);
  [[nodiscard]] bool Kept(const Engine& engine, std::uint64_t part, Time now) const;
  void LearnRate(const Running& request, Time now);
  void UsePart(Engine& engine, std::uint64_t part, Time now);

  EngineLoadInit init_;
  double reading_rate_ = init_.reading_rate;
  Sequence last_sequence_ = 0;
  absl::flat_hash_map<ServerId, Engine> engines_;
  /// When each peer last reported.
  absl::flat_hash_map<Incarnation, Time> last_reports_;
  absl::flat_hash_map<std::uint64_t, KnownPart> known_parts_;
  std::deque<SentPart> sent_parts_;
};

}  // namespace lagoonwind::policy
