// What one gateway learns of the speed of engines from its own responses.
#include <doctest/doctest.h>

#include "virtual_engines.h"

namespace lagoonwind::policy {

TEST_CASE("a gateway that handles events late does not take engines to be slow") {
  const std::vector<VirtualEngine> engines = UnevenEngines();
  VirtualGateways gateways(3, engines);
  gateways.MakeLate(0, milliseconds(150));
  gateways.Run(std::chrono::seconds(6), 0.6);
  for (const std::size_t gateway : {0U, 1U}) {
    for (std::size_t i = 0; i < engines.size(); ++i) {
      CAPTURE(gateway);
      CAPTURE(i);
      CHECK(gateways.Rate(gateway, i) > 0.85 * engines[i].rate);
      CHECK(gateways.Rate(gateway, i) < 1.15 * engines[i].rate);
    }
  }
}

TEST_CASE("the time per output token is learned from complete responses") {
  EngineLoad load(EngineLoadOptions{.prefill_rate = kInitialRate});
  const Prompt prompt{.input_tokens = 100,
                      .max_output_tokens = 1000,
                      .expected_output_tokens = 300,
                      .segments = {}};
  for (int i = 0; i < 200; ++i) {
    const Time sent_at = At(std::chrono::seconds(i));
    const auto sent = load.RecordSent(ServerId{1}, prompt, sent_at);
    load.RecordFirstByte(ServerId{1}, sent, sent_at + kOverhead);
    // Half of the responses are longer than expected.
    const int tokens = i % 2 == 0 ? 250 : 400;
    load.RecordComplete(ServerId{1}, sent, sent_at + kOverhead + milliseconds(3) * tokens);
    load.RecordEnd(ServerId{1}, sent, sent_at + kOverhead + milliseconds(3) * tokens);
  }
  const double ms = Seconds(load.time_per_output_token()).count() * 1000;
  CHECK(ms > 2.4);
  CHECK(ms < 4.1);
}

}  // namespace lagoonwind::policy
