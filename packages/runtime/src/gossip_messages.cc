#include "gossip_messages.h"

#include <algorithm>
#include <chrono>

namespace lagoonwind::runtime {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Upper bound for the age in a heartbeat; prevents overflow of time arithmetic.
constexpr milliseconds kMaxLogAge = std::chrono::hours(24 * 365);

policy::VersionReceived VersionOf(MemberId from, const wire::gen::Ping& ping) {
  const auto age = std::clamp(milliseconds(ping.log_age_ms), milliseconds(0), kMaxLogAge);
  return policy::VersionReceived{.member = from,
                                 .offset = ping.configuration_offset,
                                 .through = ping.rules_through,
                                 .log_read_known = ping.log_age_ms >= 0,
                                 .log_age = age};
}

policy::ConfigurationReceived ConfigurationOf(MemberId from,
                                              const wire::gen::ConfigurationText& text) {
  return policy::ConfigurationReceived{.member = from,
                                       .offset = text.offset,
                                       .through = text.through,
                                       .base = text.base,
                                       .patch = {.prefix = static_cast<std::uint64_t>(text.prefix),
                                                 .suffix = static_cast<std::uint64_t>(text.suffix),
                                                 .middle = text.middle},
                                       .digest = {static_cast<std::uint64_t>(text.digest)}};
}

}  // namespace

std::optional<policy::Event> GossipEventOf(MemberId from, const wire::Message& message) {
  if (message.__isset.ping) {
    return VersionOf(from, message.ping);
  }
  if (message.__isset.leaving) {
    return policy::MemberLeaving{.member = from};
  }
  if (message.__isset.configuration_request) {
    return policy::ConfigurationRequested{.member = from,
                                          .have = message.configuration_request.have};
  }
  if (message.__isset.configuration_text) {
    return ConfigurationOf(from, message.configuration_text);
  }
  return std::nullopt;
}

wire::Message MessageOf(const policy::AnnounceVersion& version, Time now) {
  wire::Message message;
  message.__set_ping({});
  message.ping.configuration_offset = version.offset;
  message.ping.rules_through = version.through;
  message.ping.log_age_ms = version.log_read_known
                                ? duration_cast<milliseconds>(now - version.last_log_read).count()
                                : -1;
  return message;
}

wire::Message MessageOf(const policy::RequestConfiguration& request) {
  wire::Message message;
  message.__set_configuration_request({});
  message.configuration_request.have = request.have;
  return message;
}

wire::Message MessageOf(const policy::SendConfiguration& configuration) {
  wire::Message message;
  message.__set_configuration_text({});
  message.configuration_text.offset = configuration.offset;
  message.configuration_text.through = configuration.through;
  message.configuration_text.base = configuration.base;
  message.configuration_text.prefix = static_cast<std::int64_t>(configuration.patch.prefix);
  message.configuration_text.suffix = static_cast<std::int64_t>(configuration.patch.suffix);
  message.configuration_text.middle = configuration.patch.middle;
  message.configuration_text.digest = static_cast<std::int64_t>(configuration.digest.value);
  return message;
}

}  // namespace lagoonwind::runtime
