#include "fairness_meter.h"

#include <algorithm>

namespace lagoonwind::ctl {

void FairnessMeter::Sample(const std::map<std::string, CustomerSample>& customers) {
  for (auto first = customers.begin(); first != customers.end(); ++first) {
    for (auto second = std::next(first); second != customers.end(); ++second) {
      SamplePair(first->first, second->first, customers);
    }
  }
  previous_ = customers;
}

void FairnessMeter::SamplePair(const std::string& first, const std::string& second,
                               const std::map<std::string, CustomerSample>& customers) {
  const auto backlogged = [&](const std::string& name) {
    const auto before = previous_.find(name);
    return before != previous_.end() && before->second.backlogged && customers.at(name).backlogged;
  };
  const std::pair key{first, second};
  if (!backlogged(first) || !backlogged(second)) {
    drifts_.erase(key);
    return;
  }
  const auto normalized_increase = [&](const std::string& name) {
    const CustomerSample& current = customers.at(name);
    return (current.service - previous_.at(name).service) / current.share;
  };
  Drift& drift = drifts_[key];
  drift.current += normalized_increase(first) - normalized_increase(second);
  drift.lowest = std::min(drift.lowest, drift.current);
  drift.highest = std::max(drift.highest, drift.current);
  if (drift.highest - drift.lowest > gap_) {
    gap_ = drift.highest - drift.lowest;
    widest_pair_ = key;
  }
}

}  // namespace lagoonwind::ctl
