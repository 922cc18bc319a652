// ryefoldd: the daemon that every instance runs.

#include <glog/logging.h>
#include <signal.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <thread>

#include "ryefold/settings/gateway.h"
#include "ryefold/settings/instance.h"
#include "ryefold/task/supervisor.h"
#include "ryefoldd/gateway_task.h"
#include "ryefoldd/keeper_task.h"
#include "ryefoldd/messages.h"
#include "ryefoldd/tree.h"

namespace ryefold::ryefoldd {
namespace {

using std::chrono::milliseconds;

constexpr int kExitOk = 0;
constexpr int kExitFindings = 1;
constexpr int kExitUsage = 2;
constexpr int kExitGaveUp = 3;
/// How long the daemon waits for its tasks to listen.
constexpr milliseconds kStartBound{10000};
constexpr milliseconds kPoll{20};
/// How long a draining daemon waits for requests in progress: the longest
/// deadline that a caller may state, and a little more.
constexpr milliseconds kDrainBound{65000};
/// Requests that peers were sending while the leave was being announced.
constexpr milliseconds kDrainSettle{500};

struct Flags {
  std::string settings;
  /// Serve interactive sessions before the platform's databases.
  bool sessions = false;
  bool check = false;
};

/// Blocks the signals in this thread and all it starts, so that only `Serve`
/// takes them.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

bool ReadFile(const std::string& path, std::string* text) {
  std::ifstream file(path);
  if (!file) return false;
  std::ostringstream content;
  content << file.rdbuf();
  *text = content.str();
  return true;
}

/// True when a signal arrived within `wait`.
bool SignalArrived(const sigset_t& signals, milliseconds wait) {
  timespec timeout{};
  timeout.tv_sec = wait.count() / 1000;
  timeout.tv_nsec = (wait.count() % 1000) * 1000000;
  return sigtimedwait(&signals, nullptr, &timeout) > 0;
}

/// Leaves in an order that cuts nothing off: say so to the balancer and the
/// peers, hand the groups over, then wait for what is in progress.
void Drain(Wiring* wiring) {
  LOG(INFO) << "event=drain_begin instance=" << wiring->settings.name;
  wiring->leaving = true;
  wiring->control.Send(BeginDrain{});
  std::this_thread::sleep_for(wiring->settings.drain_notice);
  wiring->keeper.Send(BeginDrain{});
  wiring->entry.Send(BeginDrain{});
  std::this_thread::sleep_for(kDrainSettle);
  const auto bound = std::chrono::steady_clock::now() + kDrainBound;
  while (std::chrono::steady_clock::now() < bound) {
    const uint64_t left = wiring->entry_in_progress +
                          wiring->keeper_in_progress + wiring->keepers_open;
    if (left == 0) break;
    std::this_thread::sleep_for(kPoll);
  }
  LOG(INFO) << "event=drain_end entry_in_progress=" << wiring->entry_in_progress
            << " keeper_in_progress=" << wiring->keeper_in_progress;
}

bool WaitUntilListening(const Wiring& wiring,
                        const std::atomic<bool>& gave_up) {
  const auto bound = std::chrono::steady_clock::now() + kStartBound;
  while (!(wiring.entry_listening && wiring.peers_listening)) {
    if (gave_up || std::chrono::steady_clock::now() > bound) return false;
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

int Serve(const settings::InstanceSettings& instance) {
  const sigset_t signals = BlockSignals();
  Wiring wiring(instance);
  task::Supervisor supervisor("ryefoldd", task::RestartLimit{});
  FillTree(&supervisor, &wiring,
           [&wiring] { return std::make_unique<KeeperTask>(&wiring); });
  supervisor.Start();
  std::atomic<bool> gave_up{false};
  std::thread watcher(
      [&supervisor, &gave_up] { gave_up = !supervisor.Wait(); });
  if (WaitUntilListening(wiring, gave_up)) {
    std::cout << "listening callers=" << instance.caller_address
              << " peers=" << instance.peer_address << std::endl;
    LOG(INFO) << "event=started instance=" << instance.name
              << " failure_domain=" << instance.failure_domain;
    while (!gave_up && !SignalArrived(signals, milliseconds(200))) {
    }
    if (!gave_up) Drain(&wiring);
  }
  const bool failed = gave_up || !wiring.entry_listening;
  supervisor.Shutdown();
  watcher.join();
  if (failed) LOG(ERROR) << "event=gave_up instance=" << instance.name;
  return failed ? kExitGaveUp : kExitOk;
}

/// Runs the one task of a gateway; it takes the signals itself.
int ServeSessions(const settings::GatewaySettings& gateway,
                  const std::string& path) {
  signal(SIGPIPE, SIG_IGN);
  task::Supervisor supervisor("ryefoldd", task::RestartLimit{});
  supervisor.SetChildListener([](const task::ChildEvent& event) {
    if (event.failure.empty()) return;
    LOG(ERROR) << "event=task_failed task=" << event.child
               << " restarted=" << event.restarted << " failure=\""
               << event.failure << "\"";
  });
  supervisor.Add("gateway", [&supervisor, &gateway, &path] {
    return std::make_unique<GatewayTask>(
        gateway, path, [&supervisor] { supervisor.RequestShutdown(); });
  });
  supervisor.Start();
  const bool ended = supervisor.Wait();
  supervisor.Shutdown();
  return ended ? kExitOk : kExitGaveUp;
}

int Run(const Flags& flags) {
  std::string text;
  if (!ReadFile(flags.settings, &text)) {
    std::cerr << flags.settings << ": cannot be read: " << std::strerror(errno)
              << "\n";
    return kExitUsage;
  }
  wire::Findings findings;
  settings::InstanceSettings instance;
  settings::GatewaySettings gateway;
  if (flags.sessions) {
    gateway = settings::ParseGatewaySettings(flags.settings, text, &findings);
  } else {
    instance = settings::ParseInstanceSettings(flags.settings, text, &findings);
  }
  for (const wire::Finding& finding : findings) {
    std::cerr << wire::ToText(finding) << "\n";
  }
  if (!findings.empty()) return kExitFindings;
  if (flags.check) {
    std::cout << flags.settings << ": no findings\n";
    return kExitOk;
  }
  return flags.sessions ? ServeSessions(gateway, flags.settings)
                        : Serve(instance);
}

}  // namespace
}  // namespace ryefold::ryefoldd

int main(int argc, char** argv) {
  cxxopts::Options options("ryefoldd",
                           "Database proxy with session consistency.");
  options.add_options()("settings",
                        "settings file, JSON with comments (docs/SETTINGS.md)",
                        cxxopts::value<std::string>())(
      "settings-env", "environment variable that holds the settings' path",
      cxxopts::value<std::string>())(
      "sessions", "serve interactive sessions on the platform")(
      "check-settings", "report every finding in the settings file and exit")(
      "h,help", "show this text");
  ryefold::ryefoldd::Flags flags;
  try {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout
          << options.help()
          << "\nExit codes: 0 ended in order, 1 findings in the settings, "
             "2 usage, 3 a task kept failing.\n";
      return 0;
    }
    if (parsed.count("settings-env") > 0) {
      const auto name = parsed["settings-env"].as<std::string>();
      const char* path = std::getenv(name.c_str());
      if (path != nullptr) flags.settings = path;
    }
    if (parsed.count("settings") > 0) {
      flags.settings = parsed["settings"].as<std::string>();
    }
    if (flags.settings.empty()) {
      std::cerr << "ryefoldd: --settings FILE is needed; see --help\n";
      return ryefold::ryefoldd::kExitUsage;
    }
    flags.sessions = parsed.count("sessions") > 0;
    flags.check = parsed.count("check-settings") > 0;
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "ryefoldd: " << error.what() << "; see --help\n";
    return ryefold::ryefoldd::kExitUsage;
  }
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  return ryefold::ryefoldd::Run(flags);
}
