namespace cpp lagoonwind.wire.gen

// One try at running a request.
struct Attempt {
  1: i64 entry_incarnation
  2: i64 number
  3: i32 attempt
}

// First message in both directions of a link.
struct Hello {
  1: i32 protocol
  2: string name
  3: i32 role
  4: string zone
  5: i64 incarnation
  6: i64 configuration_offset
  // Random bytes that the other side must prove the shared key on.
  7: binary nonce
  8: string address
}

// Second message in both directions: HMAC over both nonces and the sender's name.
struct Proof {
  1: binary mac
}

struct Ping {
  1: i64 configuration_offset
  // Every record of the stream of rules before this offset is accounted for.
  2: i64 rules_through
  // Time since the stream was last known to be read to its end; -1 if never.
  3: i64 log_age_ms
}

struct ConfigurationRequest {
  // Offset of the configuration that the sender has.
  1: i64 have
}

// A configuration as a change of the one at `base`; -1 is the empty text.
struct ConfigurationText {
  1: i64 offset
  2: i64 through
  3: i64 base
  4: i64 prefix
  5: i64 suffix
  6: binary middle
  7: i64 digest
}

// A process is about to leave.
struct Leaving {
}

// A request with its body, entry to agent.
struct Offer {
  1: Attempt attempt
  2: i64 customer
  3: i64 target
  4: double cost_hint
  5: i64 digest
  6: bool repeatable
  7: i64 key
  // 0 without a grant.
  8: i64 grant
  9: string method
  10: string path
  11: string content_type
  12: binary body
  13: string customer_name
  14: string idempotency_key
  // Microseconds since the key was made, 0 if the key doesn't tell.
  40: i64 key_age_us
}

// The attempt hasn't started and the agent has forgotten it.
struct Queued {
  1: Attempt attempt
}

struct Started {
  1: Attempt attempt
}

// Head of the backend server's answer.
struct Head {
  1: Attempt attempt
  2: i32 status
  3: string content_type
}

struct Chunk {
  1: Attempt attempt
  // Bytes of the answer before this chunk.
  2: i64 offset
  3: binary data
}

// Last message of an attempt.
struct End {
  1: Attempt attempt
  2: i32 result
  3: i32 reason
  // Bytes of the whole answer.
  4: i64 length
}

struct Cancel {
  1: Attempt attempt
}

struct DemandItem {
  1: i64 customer
  2: i64 target
  3: i32 count
  4: i64 oldest_age_us
  5: i32 reach
}

struct Demand {
  1: list<DemandItem> items
}

struct Grant {
  1: i64 id
  2: i64 customer
  3: i64 target
}

struct Decline {
  1: i64 id
}

struct AgentReport {
  1: list<i64> targets
  2: i32 free
  3: i32 window
  4: bool draining
  5: i64 configuration_offset
}

// A finished answer, kept for calls with the same key.
struct KeptAnswer {
  1: i32 status
  2: string content_type
  3: binary body
}

// A record of a claim stream in the platform's log.
struct Claim {
  1: i32 kind
  2: i64 key
  3: i64 content
  4: i64 customer
  5: i64 nonce
  6: i64 agent
  // Unix time in microseconds.
  7: i64 written_us
  8: optional KeptAnswer answer
}

// Bytes of an attempt's answer that the caller has taken, entry to agent.
struct Credit {
  1: Attempt attempt
  2: i64 taken
}

struct LedgerEntry {
  1: i64 customer
  2: double given
  3: double in_flight
  4: double known
  5: bool backlogged
  6: bool first
}

// Service of customers at an agent, agent to ledger keeper.
struct LedgerReport {
  1: i64 agent_incarnation
  2: i64 number
  3: double lift
  4: double floor
  5: list<LedgerEntry> entries
}

struct LedgerTotal {
  1: i64 customer
  2: double given
  3: double in_flight
  4: i32 reach
}

// Service of customers over the fleet, ledger keeper to agent.
struct LedgerTotals {
  1: i64 number
  2: list<LedgerTotal> totals
}

struct SuspectItem {
  1: i64 digest
  2: i32 level
  3: i64 remaining_us
}

// Digests of requests that ran when a backend server crashed.
struct Suspects {
  1: list<SuspectItem> items
}

// One frame on a link. Numbers of fields are never used again.
union Message {
  1: Hello hello
  2: Proof proof
  3: Ping ping
  4: Leaving leaving
  5: Offer offer
  6: Queued queued
  7: Started started
  8: Head head
  9: Chunk chunk
  10: End ended
  11: Cancel cancel
  12: Demand demand
  13: Grant grant
  14: Decline decline
  15: AgentReport agent_report
  50: ConfigurationRequest configuration_request
  51: ConfigurationText configuration_text
  40: Claim claim
  41: Credit credit
  20: LedgerReport ledger_report
  21: LedgerTotals ledger_totals
  30: Suspects suspects
}

// What one gateway has sent to one engine since its start.
struct EngineLoadReport {
  1: i64 server
  2: i64 read_tokens
  3: i64 running
  4: i64 running_tokens
  // Measured prefills since the gateway's start.
  5: optional i64 measured_tokens
  6: optional i64 measured_us
}

// A prompt part that a gateway has lately sent to an engine.
struct PromptPartReport {
  1: i64 server
  2: i64 part
}

// Tokens that a customer asked for and got at one gateway since its start.
struct CustomerShareReport {
  1: i64 customer
  2: i64 asked_tokens
  3: i64 admitted_tokens
}

// A request whose run ended with the crash of its backend server.
struct CrashReport {
  1: i64 digest
  2: i64 server
  // Time since the crash.
  3: optional i32 age_ms
}

// A quarantined request.
struct QuarantinedRequestReport {
  1: i64 digest
  // Time since the last crash.
  2: i32 age_ms
  // Trials that were begun since the request was quarantined.
  3: i32 trials
}

// Time since a response to a request that was a suspect.
struct RequestResponseReport {
  1: i64 digest
  2: i32 age_ms
}

// A request that an engine had not begun to respond to when it crashed.
struct CrashVictimReport {
  1: i64 server
  2: i64 request
  3: list<i64> segments
  // Time since the request was sent, and since the crash.
  4: i32 sent_age_ms
  5: i32 crash_age_ms
}

// Time since an event that concerns a prompt segment.
struct SegmentEventReport {
  1: i64 segment
  2: i32 age_ms
}

// A quarantined prompt segment.
struct QuarantinedSegmentReport {
  1: i64 segment
  // Time since the last crash.
  2: i32 age_ms
  // Trials that were begun since the segment was quarantined.
  3: optional i32 trials
}

// Responses of one version on one route. Histograms end at their last class that is not zero.
struct RolloutCountsReport {
  1: i32 responses
  2: i32 failures
  3: list<i32> first_byte
  4: list<i32> total
}

struct RolloutRouteReport {
  1: i64 route
  // Of the old and the target version.
  2: RolloutCountsReport old_version
  3: RolloutCountsReport target_version
}

// Responses that ended in one second since the order.
struct RolloutSecondReport {
  1: i32 second
  // Responses, failures and slow responses, each of the old and the target version.
  2: list<i32> counts
}

// What one gateway has seen of one roll-out since its start.
struct RolloutReport {
  1: i64 order
  2: i32 state
  // Time since the order.
  3: i64 elapsed_ms
  4: i64 requests
  // Attempts, and those that have not ended, of the old and the target version.
  5: i64 sent_old
  6: i64 sent_target
  7: i32 outstanding_old
  8: i32 outstanding_target
  9: bool left_old
  10: i64 longest_old_ms
  11: list<RolloutRouteReport> routes
  12: list<RolloutSecondReport> seconds
}

// Datagram that gateways send each other.
struct GatewayReport {
  1: i64 incarnation
  // Fields 2, 3, 4 and 10 to 13 are left out if they are as in an earlier report.
  2: optional i64 operator_offset
  3: optional i64 servers_offset
  4: optional bool leaving
  5: optional list<string> known_peers
  6: optional list<EngineLoadReport> engines
  7: optional list<PromptPartReport> parts
  8: optional list<CustomerShareReport> customers
  9: optional list<CrashReport> crashes
  // Time for which the store has answered all calls; 0 while it doesn't.
  10: optional i64 store_steady_ms
  // IP address, availability zone and CPU cores of the sender.
  11: optional string address
  12: optional string zone
  13: optional double cpu_cores
  // Number of the report within the sender's incarnation, from 1.
  14: i64 number
  // True if the sender asks the recipient to distribute the report.
  15: optional bool wants_relay
  // Encoded reports of other gateways.
  16: optional list<binary> relayed
  // Gateways that the sender hears directly.
  17: optional list<i64> heard
  18: optional list<CrashVictimReport> crash_victims
  // Responses that clear segments of suspicion.
  19: optional list<SegmentEventReport> segment_responses
  // All of the sender's, maybe none; left out of most reports.
  20: optional list<QuarantinedSegmentReport> quarantined_segments
  // Generations of the store's history that fields 2 and 3 belong to. Fields 21 to 24 are left out
  // together with 2 and 3, and by older versions.
  21: optional i64 operator_generation
  22: optional i64 servers_generation
  // Version of the configuration in force, -1 without one.
  23: optional i64 configuration_version
  // Identifies the evacuations in force that the store, brought back from a copy, lacks; 0 if none.
  24: optional i64 held_evacuations
  // Requests that the sender has quarantined; left out of most reports.
  25: optional list<QuarantinedRequestReport> quarantined_requests
  // Responses that clear requests of suspicion.
  26: optional list<RequestResponseReport> request_responses
  // All roll-outs in progress; left out of most reports.
  40: optional list<RolloutReport> rollouts
}
