// The deadly request comes again with another query each time. TROUBLE=0: the same requests, but
// they crash no worker.
#include "poison.h"

int main() {
  review::PoisonCase world;
  for (int i = 0; i < 12; ++i) {
    world.SendDeadly(i % review::kGateways, "/book/7?try=" + std::to_string(i + 1),
                     review::Trouble() ? review::kDeadlyBody : "harmless");
    review::Sleep(2);
  }
  world.Judge();
}
