#include <cxxopts.hpp>
#include <iostream>
#include <span>

#include "commands.h"

namespace {

namespace ctl = lagoonwind::ctl;
using Strings = std::vector<std::string>;

constexpr std::string_view kUsage = R"(Commands:
  rules check FILE           validate a rules file without contacting a daemon
  rules diff FILE            show how a rules file differs from the rules in force
  rules apply FILE [--wait]  propose a rules file; with --wait, wait until it is in force
  rules history              list proposals, and why they were refused if they were
  status                     show the state of daemons, availability zones and customers
  explain SUBJECT            show decisions about request=ID, customer=NAME or backend=NAME; with
                             --log, the timeline of request=ID from the logs of gateways
  load                       send a mix of requests to --entry and print a report

With several --daemon, rules commands use the first that responds; status and explain query all.

Examples:
  lagoonctl rules check rules.txt
  lagoonctl rules apply rules.txt --wait --daemon 127.0.0.1:7000
  lagoonctl status --daemon 127.0.0.1:7000 --daemon 127.0.0.1:7001
  lagoonctl explain customer=saltline-erie --daemon 127.0.0.1:7000
  lagoonctl explain request=93d09e962c6b2d6f --log edge-1.log --log edge-2.log
  lagoonctl load --entry 127.0.0.1:8000 --mix load.toml --seconds 5 --plot load.svg

Exit codes: 0 done, 1 refused, 2 usage error, 3 not reachable.
)";

cxxopts::Options MakeOptions() {
  cxxopts::Options options("lagoonctl", "Operators' tool of the lagoonwind router fleet.");
  options.positional_help("COMMAND").add_options()(
      "daemon", "operators' port of a daemon, IP:PORT; repeatable", cxxopts::value<Strings>())(
      "log", "log file of a gateway, - for standard input; repeatable", cxxopts::value<Strings>())(
      "output", "table, json, or for load csv",
      cxxopts::value<std::string>()->default_value("table"))(
      "wait", "wait until the rules are in force", cxxopts::value<bool>())(
      "entry", "callers' port of an entry, IP:PORT; repeatable", cxxopts::value<Strings>())(
      "mix", "TOML file with the streams of requests", cxxopts::value<std::string>())(
      "seconds", "how long requests are sent, up to 3600",
      cxxopts::value<double>()->default_value("5"))("requests", "maximum number of requests",
                                                    cxxopts::value<int>()->default_value("100000"))(
      "seed", "seed of the arrival times", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "plot", "SVG file to write with service over time",
      cxxopts::value<std::string>()->default_value(""))("help", "print this help")(
      "command", "command", cxxopts::value<Strings>());
  options.parse_positional({"command"});
  return options;
}

int UsageError(const std::string& message) {
  std::cerr << "lagoonctl: " << message << "; see lagoonctl --help\n";
  return ctl::kExitUsage;
}

std::optional<ctl::Output> ParseOutput(const std::string& name) {
  if (name == "table") {
    return ctl::Output::kTable;
  }
  if (name == "json") {
    return ctl::Output::kJson;
  }
  return name == "csv" ? std::optional(ctl::Output::kCsv) : std::nullopt;
}

/// First address that is not IP:PORT; empty if there is none.
std::string FirstInvalidAddress(const Strings& addresses) {
  const auto invalid = std::ranges::find_if(addresses, [](const std::string& address) {
    return !lagoonwind::http::ParseEndpoint(address).ok();
  });
  return invalid == addresses.end() ? "" : *invalid;
}

Strings StringListOption(const cxxopts::ParseResult& parsed, const std::string& name) {
  return parsed.count(name) > 0 ? parsed[name].as<Strings>() : Strings{};
}

int RunRules(const ctl::CommonOptions& common, std::span<const std::string> arguments, bool wait) {
  if (arguments.size() == 1 && arguments[0] == "history") {
    return ctl::RulesHistoryList(common);
  }
  if (arguments.size() != 2) {
    return UsageError("rules needs check, diff or apply with a FILE, or history");
  }
  if (arguments[0] == "check") {
    return ctl::RulesCheck(arguments[1]);
  }
  if (arguments[0] == "diff") {
    return ctl::RulesDiff(common, arguments[1]);
  }
  if (arguments[0] == "apply") {
    return ctl::RulesApply(common, arguments[1], wait);
  }
  return UsageError("unknown command 'rules " + arguments[0] + "'");
}

int RunLoad(const ctl::CommonOptions& common, const cxxopts::ParseResult& parsed) {
  constexpr double kMaxSeconds = 3600;
  const ctl::LoadOptions options{
      .entries = StringListOption(parsed, "entry"),
      .mix = parsed.count("mix") > 0 ? parsed["mix"].as<std::string>() : std::string(),
      .seconds = parsed["seconds"].as<double>(),
      .max_requests = parsed["requests"].as<int>(),
      .seed = parsed["seed"].as<std::uint64_t>(),
      .plot = parsed["plot"].as<std::string>()};
  if (options.entries.empty() || options.mix.empty()) {
    return UsageError("load needs --entry and --mix");
  }
  if (const auto invalid = FirstInvalidAddress(options.entries); !invalid.empty()) {
    return UsageError("--entry " + invalid + " is not a valid address; expected IP:PORT");
  }
  if (!(options.seconds > 0) || options.seconds > kMaxSeconds || options.max_requests < 1) {
    return UsageError("--seconds must be above 0 and up to 3600, --requests at least 1");
  }
  return ctl::Load(common, options);
}

int RunExplain(const ctl::CommonOptions& common, const std::string& subject, const Strings& logs) {
  constexpr std::string_view kRequestPrefix = "request=";
  if (logs.empty()) {
    return ctl::Explain(common, subject);
  }
  if (!subject.starts_with(kRequestPrefix) || subject.size() == kRequestPrefix.size()) {
    return UsageError("explain with --log needs request=ID");
  }
  return ctl::ExplainFromLogs(common, subject.substr(kRequestPrefix.size()), logs);
}

bool NeedsDaemon(const Strings& arguments) {
  return arguments[0] != "load" &&
         !(arguments[0] == "rules" && arguments.size() > 1 && arguments[1] == "check");
}

int Run(const cxxopts::ParseResult& parsed) {
  const Strings arguments = StringListOption(parsed, "command");
  const auto output = ParseOutput(parsed["output"].as<std::string>());
  if (arguments.empty() || !output) {
    return UsageError(arguments.empty() ? "missing command"
                                        : "--output must be table, json or csv");
  }
  const ctl::CommonOptions common{.daemons = StringListOption(parsed, "daemon"), .output = *output};
  if (const auto invalid = FirstInvalidAddress(common.daemons); !invalid.empty()) {
    return UsageError("--daemon " + invalid + " is not a valid address; expected IP:PORT");
  }
  const auto rest = std::span(arguments).subspan(1);
  if (arguments[0] != "rules" && arguments[0] != "status" && arguments[0] != "explain" &&
      arguments[0] != "load") {
    return UsageError("unknown command '" + arguments[0] + "'");
  }
  const Strings logs = StringListOption(parsed, "log");
  const bool reads_logs = arguments[0] == "explain" && !logs.empty();
  if (NeedsDaemon(arguments) && common.daemons.empty() && !reads_logs) {
    return UsageError(arguments[0] + " needs --daemon");
  }
  if (arguments[0] == "rules") {
    return RunRules(common, rest, parsed["wait"].as<bool>());
  }
  if (arguments[0] == "status" && rest.empty()) {
    return ctl::ShowStatus(common);
  }
  if (arguments[0] == "explain" && rest.size() == 1) {
    return RunExplain(common, rest[0], logs);
  }
  if (arguments[0] == "load" && rest.empty()) {
    return RunLoad(common, parsed);
  }
  return UsageError("wrong number of arguments after '" + arguments[0] + "'");
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options = MakeOptions();
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help() << "\n" << kUsage;
      return ctl::kExitDone;
    }
    return Run(parsed);
  } catch (const cxxopts::exceptions::exception& error) {
    return UsageError(error.what());
  }
}
