// The deadly request comes again each second, at the gateways in turn, while these are stopped and
// started in turn, once. TROUBLE=0: they are not stopped.
#include "poison.h"

namespace review {

namespace {

void RunCase() {
  PoisonCase world;
  std::atomic<bool> rolled = false;
  std::thread client([&] {
    for (int i = 0; !rolled; ++i) {
      world.SendDeadly(i % kGateways, "/book/7");
      Sleep(1);
    }
  });
  Sleep(6);
  for (int i = 0; i < kGateways; ++i) {
    Gateway& gateway = *world.gateways[i];
    if (Trouble()) {
      world.stopping = i;
      world.record("platform: SIGTERM to edge-%d, pid %d", i + 1, gateway.pid());
      gateway.Stop();
      gateway.Start();
      if (!gateway.AwaitReady()) {
        world.Finish(2);
      }
      world.stopping = -1;
      world.record("platform: edge-%d is started again as pid %d and ready", i + 1, gateway.pid());
    }
    Sleep(kContact + 6);
  }
  rolled = true;
  client.join();
  world.Judge();
}

}  // namespace
}  // namespace review

int main() {
  review::RunCase();
  return 2;
}
