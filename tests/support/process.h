#pragma once

#include <sys/types.h>

#include <filesystem>
#include <string>
#include <vector>

namespace lagoonwind::testing {

/// A child process, killed when the object goes. Not thread safe.
class Process {
 public:
  Process() = default;
  /// Starts a program; its output goes to `log`.
  Process(std::string name, std::vector<std::string> command, const std::filesystem::path& log);
  ~Process();
  Process(Process&& other) noexcept;
  Process& operator=(Process&& other) noexcept;

  [[nodiscard]] pid_t pid() const { return pid_; }
  [[nodiscard]] const std::string& name() const { return name_; }
  [[nodiscard]] bool running() const { return pid_ > 0; }

  void Signal(int signal) const;
  /// True if it was started and has ended, whether by itself or not.
  [[nodiscard]] bool HasExited() const;
  /// Waits for the end. \return Exit code, or 128 and the signal that ended it.
  int Wait();
  /// Kills with SIGKILL and waits.
  void Kill();

 private:
  std::string name_;
  pid_t pid_ = -1;
};

}  // namespace lagoonwind::testing
