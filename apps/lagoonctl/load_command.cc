#include <unistd.h>

#include <fstream>
#include <iostream>

#include "commands.h"
#include "load_generator.h"

namespace lagoonwind::ctl {
namespace {

std::string Format(Output output, const LoadResult& result) {
  switch (output) {
    case Output::kJson:
      return FormatJson(result);
    case Output::kCsv:
      return FormatCsv(result);
    case Output::kTable:
      return FormatTable(result);
  }
  return {};
}

/// True if no request was run and every customer had a request without any response.
bool NoEntryReached(const LoadResult& result) {
  return std::ranges::all_of(result.tallies, [](const auto& item) {
    const Tally& tally = item.second;
    return tally.sent == tally.not_run && tally.failures.contains(0);
  });
}

}  // namespace

int Load(const CommonOptions& common, const LoadOptions& options) {
  const auto text = ReadFile(options.mix);
  if (!text) {
    return kExitUsage;
  }
  auto streams = ParseMix(*text, options.mix);
  if (!streams.ok()) {
    std::cerr << streams.status().message() << "\n";
    return kExitUsage;
  }
  LoadGenerator generator(LoadGeneratorOptions{.entries = options.entries,
                                               .daemons = common.daemons,
                                               .seconds = options.seconds,
                                               .max_requests = options.max_requests,
                                               .seed = options.seed,
                                               .progress = isatty(STDERR_FILENO) != 0},
                          *std::move(streams));
  const LoadResult result = generator.Run();
  std::cout << Format(common.output, result);
  if (!options.plot.empty()) {
    std::ofstream plot(options.plot);
    plot << FormatSvg(result);
    if (!plot.flush()) {
      std::cerr << "cannot write " << options.plot << "\n";
      return kExitUsage;
    }
  }
  if (AllComplete(result)) {
    return kExitDone;
  }
  return NoEntryReached(result) ? kExitUnreachable : kExitRefused;
}

}  // namespace lagoonwind::ctl
