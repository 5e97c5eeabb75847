#pragma once

#include <optional>

#include "lagoonwind/policy.h"
#include "lagoonwind/wire.h"

/// \file
/// Conversion between wire messages and the policy's events and actions for gossip: heartbeats with
/// configuration versions, configuration texts and leaving members.
namespace lagoonwind::runtime {

/// Returns the event for a gossip message, or nothing for any other message. Thread safe.
std::optional<policy::Event> GossipEventOf(MemberId from, const wire::Message& message);

// Return the message that an action sends. All are thread safe.

/// \param now  Time at which the heartbeat is sent.
wire::Message MessageOf(const policy::AnnounceVersion& version, Time now);
wire::Message MessageOf(const policy::RequestConfiguration& request);
wire::Message MessageOf(const policy::SendConfiguration& configuration);

}  // namespace lagoonwind::runtime
