// The deadly request comes again with another query each time. TROUBLE=0: with the same query.
#include "poison.h"

int main() {
  review::PoisonCase world;
  for (int i = 0; i < 12; ++i) {
    const std::string query = review::Trouble() ? std::to_string(i + 1) : "1";
    world.SendDeadly(i % review::kGateways, "/book/7?try=" + query);
    review::Sleep(2);
  }
  world.Judge();
}
