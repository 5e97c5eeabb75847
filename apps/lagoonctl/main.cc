#include <cxxopts.hpp>
#include <iostream>

#include "commands.h"

namespace {

using lagoonwind::ctl::CommonOptions;
using lagoonwind::ctl::kExitDone;
using lagoonwind::ctl::kExitUsage;
using lagoonwind::ctl::LoadOptions;

constexpr std::string_view kUsage = R"(
Commands:
  rules check FILE           check a rules file
  rules apply FILE [--wait]  propose a rules file, and wait until it is in force
  status                     what a daemon knows
  explain SUBJECT            decisions about request=ID, customer=NAME or backend=NAME
  load                       send a mix of requests to --entry and report

Examples:
  lagoonctl --daemon 127.0.0.1:7000 rules apply rules.txt --wait
  lagoonctl --daemon 127.0.0.1:7000 explain customer=saltline-erie
  lagoonctl --entry 127.0.0.1:8000 --mix load.toml --seconds 5 load
)";

using Words = std::vector<std::string>;

int Usage(const cxxopts::Options& options) {
  std::cerr << options.help() << kUsage;
  return kExitUsage;
}

int Run(const cxxopts::Options& options, const cxxopts::ParseResult& parsed) {
  const auto words = parsed.count("command") > 0 ? parsed["command"].as<Words>() : Words{};
  CommonOptions common{.json = parsed["output"].as<std::string>() == "json"};
  if (parsed.count("daemon") > 0) {
    common.daemons = parsed["daemon"].as<Words>();
  }
  if (words.size() == 3 && words[0] == "rules" && words[1] == "check") {
    return lagoonwind::ctl::RulesCheck(words[2]);
  }
  if (words.size() == 3 && words[0] == "rules" && words[1] == "apply") {
    return lagoonwind::ctl::RulesApply(common, words[2], parsed["wait"].as<bool>());
  }
  if (words == Words{"status"}) {
    return lagoonwind::ctl::ShowStatus(common);
  }
  if (words.size() == 2 && words[0] == "explain") {
    return lagoonwind::ctl::Explain(common, words[1]);
  }
  if (words == Words{"load"} && parsed.count("entry") > 0 && parsed.count("mix") > 0) {
    return lagoonwind::ctl::Load(common, LoadOptions{.entries = parsed["entry"].as<Words>(),
                                                     .mix = parsed["mix"].as<std::string>(),
                                                     .seconds = parsed["seconds"].as<double>(),
                                                     .seed = parsed["seed"].as<std::uint64_t>()});
  }
  return Usage(options);
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("lagoonctl", "Operators' tool of the lagoonwind router fleet.");
  options.positional_help("COMMAND").add_options()(
      "daemon", "operators' port of a daemon, IP:PORT; repeatable", cxxopts::value<Words>())(
      "output", "table or json", cxxopts::value<std::string>()->default_value("table"))(
      "wait", "wait until the rules are in force", cxxopts::value<bool>())(
      "entry", "callers' port of an entry, IP:PORT; repeatable", cxxopts::value<Words>())(
      "mix", "TOML file with the streams of requests", cxxopts::value<std::string>())(
      "seconds", "how long requests are sent", cxxopts::value<double>()->default_value("5"))(
      "seed", "seed of arrivals", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "help", "print this help")("command", "command", cxxopts::value<Words>());
  options.parse_positional({"command"});
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help() << kUsage;
      return kExitDone;
    }
    return Run(options, parsed);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << error.what() << "\n";
    return Usage(options);
  }
}
