// Faults on order, and what tests look at.

#include <utility>

#include "testsuite/standins/database/server.h"
#include "testsuite/standins/lib/json.h"

namespace ryefold::standins {
namespace {

std::string_view StepName(core::Step step) {
  constexpr std::string_view kNames[] = {"statement", "begin", "commit",
                                         "rollback"};
  return kNames[static_cast<size_t>(step)];
}

void AppendMember(std::string* out, std::string_view name,
                  std::string_view value) {
  out->append(",\"").append(name).append("\":");
  AppendString(out, value);
}

void AppendCount(std::string* out, std::string_view name, uint64_t value) {
  out->append(",\"").append(name).append("\":");
  AppendUint(out, value);
}

}  // namespace

void DatabaseServer::OnFault(const Exchange& exchange) {
  if (!ChangeFaults(exchange.body(), &faults_)) {
    return exchange.Reply(400, R"({"error":"no such fault"})");
  }
  if (faults_.down) GoDown(exchange.connection());
  if (faults_.cut || !faults_.cut_from.empty()) DropLogWaiters();
  puller_.Restart();
  exchange.Reply(200, "{}");
}

void DatabaseServer::GoDown(ConnectionId except) {
  // Whatever had not taken effect by now never does.
  queue_.clear();
  parked_.clear();
  ++epoch_;
  running_ = 0;
  for (const ConnectionId connection : busy_) database_.Close(connection);
  busy_.clear();
  closing_.clear();
  status_waiters_.clear();
  log_waiters_.clear();
  http_.CloseAll(except);
}

void DatabaseServer::DropLogWaiters() {
  std::erase_if(log_waiters_, [this](const auto& waiting) {
    if (!faults_.CutFrom(waiting.second.call.database)) return false;
    waiting.second.exchange.Drop();
    return true;
  });
}

std::string DatabaseServer::DebugLog() const {
  std::string out = "{\"database\":";
  AppendString(&out, options_.name);
  out.append(",\"entries\":[");
  bool first = true;
  for (const Entry& entry : database_.log().entries()) {
    out.append(first ? "{\"term\":" : ",{\"term\":");
    first = false;
    AppendUint(&out, entry.position.term);
    AppendCount(&out, "index", entry.position.index);
    AppendMember(&out, "request_id", entry.request_id);
    AppendMember(&out, "workspace", entry.workspace);
    AppendMember(&out, "kind", EntryKindName(entry.kind));
    out.push_back('}');
  }
  out.append("]}");
  return out;
}

std::string DatabaseServer::DebugConnections() const {
  std::string out = "{\"database\":";
  AppendString(&out, options_.name);
  AppendMember(&out, "group", options_.group);
  AppendCount(&out, "open", open_.size());
  AppendCount(&out, "peak", peak_open_);
  AppendCount(&out, "limit", options_.connection_limit);
  AppendCount(&out, "refused", refused_);
  AppendCount(&out, "statements_run", statements_run_);
  out.push_back('}');
  return out;
}

std::string DatabaseServer::DebugRunning() const {
  std::string out = "{\"received\":";
  AppendUint(&out, received_count_);
  out.append(",\"calls\":[");
  bool first = true;
  for (const Received& call : received_) {
    out.append(first ? "{\"term\":" : ",{\"term\":");
    first = false;
    AppendUint(&out, call.term);
    AppendCount(&out, "connection", call.connection);
    AppendMember(&out, "step", StepName(call.step));
    AppendMember(&out, "kind",
                 call.kind == core::StatementKind::kRead ? "read" : "write");
    AppendMember(&out, "workspace", call.workspace);
    AppendMember(&out, "request_id", call.request_id);
    out.push_back('}');
  }
  out.append("]}");
  return out;
}

}  // namespace ryefold::standins
