#pragma once

#include <optional>

#include "lagoonwind/policy.h"
#include "lagoonwind/wire.h"

/// \file
/// Messages about the configuration and about members, as decisions know them.
namespace lagoonwind::runtime {

/// Event of a message about the configuration or a member; nothing for other messages.
/// Thread safe.
std::optional<policy::Event> GossipEventOf(MemberId from, const wire::Message& message);

// Messages of actions. All thread safe.

/// \param now  Time at which the heartbeat is sent.
wire::Message MessageOf(const policy::AnnounceVersion& version, Time now);
wire::Message MessageOf(const policy::RequestConfiguration& request);
wire::Message MessageOf(const policy::SendConfiguration& configuration);

}  // namespace lagoonwind::runtime
