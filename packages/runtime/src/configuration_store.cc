#include "configuration_store.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <iterator>

namespace lagoonwind::runtime {

namespace asio = http::asio;

ConfigurationStore::ConfigurationStore(asio::io_context& io, platform::LogService& log,
                                       PolicyRunner& policy)
    : io_(io), log_(log), policy_(policy) {}

bool ConfigurationStore::Execute(const policy::Action& action) {
  if (const auto* read = std::get_if<policy::ReadRules>(&action)) {
    asio::co_spawn(io_, Read(read->from), asio::detached);
  } else if (const auto* append = std::get_if<policy::AppendRules>(&action)) {
    asio::co_spawn(io_, Append(append->record), asio::detached);
  } else if (const auto* publish = std::get_if<policy::PublishConfiguration>(&action)) {
    const std::scoped_lock lock(mutex_);
    if (publish->configuration != view_.configuration) {
      LOG(INFO) << "event=configuration_in_force offset=" << publish->configuration->offset;
    }
    view_ = {.configuration = publish->configuration, .applied_end = publish->through};
  } else {
    return false;
  }
  return true;
}

asio::awaitable<void> ConfigurationStore::Read(std::int64_t from) {
  auto read = co_await log_.Read(std::string(kRulesStream), from);
  policy::RulesRead event{.ok = read.ok()};
  if (read.ok()) {
    event.first_offset = read->first_offset;
    event.next_offset = read->next_offset;
    std::ranges::transform(
        read->records, std::back_inserter(event.records), [](platform::LogRecord& record) {
          return policy::RulesRecord{.offset = record.offset, .data = std::move(record.data)};
        });
  }
  policy_.Post(std::move(event));
}

asio::awaitable<void> ConfigurationStore::Append(std::string record) {
  std::vector<std::string> records{std::move(record)};
  const auto offset = co_await log_.Append(std::string(kRulesStream), std::move(records));
  LOG(INFO) << "event=rules_snapshot appended=" << offset.ok();
}

std::shared_ptr<const Configuration> ConfigurationStore::current() const {
  return view().configuration;
}

ConfigurationView ConfigurationStore::view() const {
  const std::scoped_lock lock(mutex_);
  return view_;
}

}  // namespace lagoonwind::runtime
