#include "fairness_meter.h"

#include <algorithm>

namespace lagoonwind::ctl {

void FairnessMeter::Sample(const std::map<std::string, CustomerSample>& customers) {
  for (auto first = customers.begin(); first != customers.end(); ++first) {
    for (auto second = std::next(first); second != customers.end(); ++second) {
      SamplePair(first->first, second->first, customers);
    }
  }
  last_ = customers;
}

void FairnessMeter::SamplePair(const std::string& first, const std::string& second,
                               const std::map<std::string, CustomerSample>& customers) {
  const auto backlogged = [&](const std::string& name) {
    const auto before = last_.find(name);
    return before != last_.end() && before->second.backlogged && customers.at(name).backlogged;
  };
  const std::pair key{first, second};
  if (!backlogged(first) || !backlogged(second)) {
    drifts_.erase(key);
    return;
  }
  const auto gained = [&](const std::string& name) {
    const CustomerSample& now = customers.at(name);
    return (now.service - last_.at(name).service) / now.share;
  };
  Drift& drift = drifts_[key];
  drift.now += gained(first) - gained(second);
  drift.least = std::min(drift.least, drift.now);
  drift.most = std::max(drift.most, drift.now);
  if (drift.most - drift.least > gap_) {
    gap_ = drift.most - drift.least;
    widest_ = key;
  }
}

}  // namespace lagoonwind::ctl
