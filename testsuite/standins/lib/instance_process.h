#pragma once

// One ryefoldd daemon as a child process.

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace ryefold::standins {

/// Program, addresses and folders of an instance.
struct InstanceConfig {
  std::string program;
  std::string name;
  /// Folder for settings and logs.
  std::string folder;
  std::string failure_domain;
  /// Loopback address of its ports, which no other run uses.
  std::string host;
  uint16_t session_port = 0;
  uint16_t ready_port = 0;
  uint16_t peer_port = 0;
  uint16_t store_port = 0;
  uint16_t promotion_port = 0;
  /// Time from SIGTERM until the platform would kill the process.
  std::chrono::seconds stop_grace{2};
};

/// Starts, signals and kills one child process, always by its process id.
class InstanceProcess {
 public:
  explicit InstanceProcess(InstanceConfig config);
  ~InstanceProcess();
  InstanceProcess(const InstanceProcess&) = delete;
  InstanceProcess& operator=(const InstanceProcess&) = delete;

  void Start();
  void SendSignal(int signal) const;
  /// Sends SIGKILL and waits for the process to exit.
  void Kill();
  /// Returns whether the process is running; records its exit status if it has
  /// ended.
  bool IsRunning();
  /// Returns whether the process ever ended by a signal other than that of
  /// `Kill` or with a nonzero status.
  bool crashed() const { return crashed_; }
  pid_t pid() const { return pid_; }
  const InstanceConfig& config() const { return config_; }

 private:
  const InstanceConfig config_;
  pid_t pid_ = 0;
  bool crashed_ = false;
};

}  // namespace ryefold::standins
