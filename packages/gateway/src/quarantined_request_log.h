#pragma once

#include <absl/strings/str_format.h>

#include <string_view>

#include "event_log.h"
#include "lagoonwind/base.h"

namespace lagoonwind::gateway {

/// Logs that a request is quarantined from now on.
/// \param source  What showed it: crashes, a peer or the store.
inline void LogQuarantinedRequest(EventLog& log, Digest digest, std::string_view source) {
  log.Write(Severity::kState, "request_quarantined",
            {{"digest", absl::StrFormat("%x", digest.value)}, {"source", source}});
}

}  // namespace lagoonwind::gateway
