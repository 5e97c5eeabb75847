#include "configuration_store.h"

#include <glog/logging.h>

#include "lagoonwind/limits.h"

namespace lagoonwind::runtime {

namespace asio = http::asio;

ConfigurationStore::ConfigurationStore(platform::LogService& log, PolicyHost& policy)
    : log_(log), policy_(policy) {}

asio::awaitable<void> ConfigurationStore::Tail() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  std::int64_t next = 0;
  for (;;) {
    const auto read = co_await log_.Read(std::string(kRulesStream), next);
    if (read.ok()) {
      next = Replay(*read);
    }
    timer.expires_after(limits::kConfigurationPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

std::int64_t ConfigurationStore::Replay(const platform::LogRead& read) {
  for (const auto& record : read.records) {
    if (history_.Replay(record.offset, record.data) != Verdict::kAccepted) {
      continue;
    }
    {
      const std::scoped_lock lock(mutex_);
      current_ = history_.current();
    }
    LOG(INFO) << "event=configuration_accepted offset=" << record.offset;
    policy_.Post(policy::ConfigurationAccepted{.configuration = history_.current()});
  }
  return read.records.empty() ? std::max<std::int64_t>(read.first_offset, read.next_offset)
                              : read.records.back().offset + 1;
}

std::shared_ptr<const Configuration> ConfigurationStore::current() const {
  const std::scoped_lock lock(mutex_);
  return current_;
}

}  // namespace lagoonwind::runtime
