#include "testsuite/standins/lib/line_databases.h"

#include <event2/event.h>
#include <event2/listener.h>

#include <utility>

#include "platform/line_codec.h"
#include "ryefold/wire/net.h"

namespace ryefold::standins {
namespace {

using core::session::BackendCall;
using core::session::CallKind;
using core::session::Reply;
using std::chrono::milliseconds;
using testsuite::ErrorCode;

/// How closely the virtual clock follows the real one.
constexpr milliseconds kStep{1};
/// Promoting takes this long.
constexpr milliseconds kPromotion{200};
constexpr uint64_t kSeed = 7;

std::string TakeWord(std::string* rest) {
  const size_t blank = rest->find(' ');
  std::string word = rest->substr(0, blank);
  *rest = blank == std::string::npos ? "" : rest->substr(blank + 1);
  return word;
}

/// What a database makes of "ID TEXT".
BackendCall DecodeCall(std::string rest) {
  BackendCall call;
  call.id = TakeWord(&rest);
  if (rest.rfind("SINCE ", 0) == 0) {
    TakeWord(&rest);
    call.since = platform::DecodePosition(TakeWord(&rest));
  }
  call.text = rest;
  const std::string word = TakeWord(&rest);
  if (word == "BEGIN") {
    call.kind = rest == "READ" ? CallKind::kBeginRead : CallKind::kBegin;
  } else if (word == "ROLLBACK") {
    call.kind = CallKind::kRollback;
  } else if (word == "DISCARD") {
    call.kind = CallKind::kDiscard;
  } else if (word == "STATUS") {
    call.kind = CallKind::kStatus;
  } else if (word == "PAUSE") {
    call.kind = CallKind::kPauseReplication;
    call.term = std::strtoull(rest.c_str(), nullptr, 10);
  } else if (word == "RESUME") {
    call.kind = CallKind::kResumeReplication;
  } else if (word == "STEPDOWN") {
    call.kind = CallKind::kStepDown;
    call.term = std::strtoull(rest.c_str(), nullptr, 10);
  } else if (word == "SET" || word == "PARSE") {
    call.kind = word == "SET" ? CallKind::kSet : CallKind::kPrepare;
    call.name = TakeWord(&rest);
    if (word == "PARSE") call.writes = TakeWord(&rest) == "WRITE";
    call.text = rest;
  } else if (word == "EXECUTE") {
    call.kind = CallKind::kExecute;
    call.name = TakeWord(&rest);
    call.text = rest;
  } else {
    call.kind = CallKind::kVerbatim;
  }
  return call;
}

std::string StatusRow(const core::session::StatusReport& status) {
  return std::string(status.primary ? "primary " : "replica ") +
         std::to_string(status.term) + " " +
         std::to_string(status.received.term) + "." +
         std::to_string(status.received.index) + " " +
         std::to_string(status.paused_term) + " " +
         std::to_string(status.lag.value_or(milliseconds(0)).count()) + " " +
         std::to_string(status.busy_slots.value_or(0)) + " 1";
}

}  // namespace

class LineDatabases::Link : public platform::LineHandler {
 public:
  Link(LineDatabases* owner, std::string database, int fd)
      : owner_(owner),
        database_(std::move(database)),
        channel_(owner->base_, fd, this) {}

  void OnConnected() override {}
  void OnBatchEnd() override { channel_.Flush(); }
  void OnBroken(const std::string& /*why*/) override { Close(); }
  void OnLine(std::string_view line) override {
    std::string rest(line);
    const std::string verb = TakeWord(&rest);
    if (verb == "START") {
      Start(rest);
    } else if (verb == "QUERY" && session_.has_value()) {
      BackendCall call = DecodeCall(rest);
      owner_->received_.insert(call.id);
      owner_->cluster_.Call(*session_, call,
                            [this](const Reply& reply) { Answer(reply); });
    } else {
      Close();
    }
  }

  void Start(std::string rest) {
    const std::string group = TakeWord(&rest);
    TakeWord(&rest);
    ErrorCode error = ErrorCode::kNone;
    const bool right = group == owner_->group_ && rest == database_;
    if (right) session_ = owner_->cluster_.Connect(database_, &error);
    if (!right) error = ErrorCode::kWrongDatabase;
    if (session_.has_value()) {
      channel_.output()->append("READY I 1.0\r\n");
      return;
    }
    platform::EncodeError(error, "", channel_.output());
    Close();
  }

  void Answer(Reply reply) {
    if (reply.status.has_value()) reply.rows = {StatusRow(*reply.status)};
    platform::EncodeReply(reply, channel_.output());
    channel_.Flush();
  }

  void CutInMidLine() {
    channel_.output()->append("ROW half of a li");
    Close();
  }
  void Close() {
    if (session_.has_value()) owner_->cluster_.Disconnect(*session_);
    session_.reset();
    channel_.Close();
  }
  const std::string& database() const { return database_; }
  bool closed() const { return channel_.closed(); }

 private:
  LineDatabases* owner_;
  const std::string database_;
  platform::LineChannel channel_;
  std::optional<uint64_t> session_;
};

LineDatabases::LineDatabases(event_base* base, KeyValueStandin* store,
                             std::string group, const std::string& prefix)
    : base_(base),
      store_(store),
      group_(std::move(group)),
      cluster_(&clock_, kSeed, group_, prefix),
      started_(std::chrono::steady_clock::now()),
      virtual_start_(clock_.now()) {
  const timeval pace{0, std::chrono::microseconds(kStep).count()};
  timer_ = event_new(
      base_, -1, EV_PERSIST,
      [](evutil_socket_t, int16_t, void* self) {
        auto* owner = static_cast<LineDatabases*>(self);
        owner->clock_.RunUntil(
            owner->virtual_start_ +
            (std::chrono::steady_clock::now() - owner->started_));
        owner->Reap();
      },
      this);
  event_add(timer_, &pace);
}

LineDatabases::~LineDatabases() {
  for (auto& [id, server] : servers_) {
    if (server.listener != nullptr) evconnlistener_free(server.listener);
  }
  event_free(timer_);
}

std::string LineDatabases::Start() {
  for (const std::string& id : cluster_.ids()) {
    Server& server = servers_[id];
    std::string error;
    server.id = id;
    server.owner = this;
    server.listener = wire::Bind(base_, "127.0.0.1:0", &error);
    if (server.listener == nullptr) return error;
    server.port = wire::PortOf(evconnlistener_get_fd(server.listener));
    server.advertised = server.port;
    evconnlistener_set_cb(
        server.listener,
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
          auto* accepting = static_cast<Server*>(self);
          accepting->owner->Accept(accepting->id, fd);
        },
        &server);
  }
  Register();
  return "";
}

void LineDatabases::Register() {
  for (const auto& [id, server] : servers_) {
    if (!cluster_.database(id).up) continue;
    const testsuite::FakeDatabase& database = cluster_.database(id);
    const char* role = database.primary ? "primary" : "replica";
    const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
        database.started_at.time_since_epoch());
    store_->Put(
        "servers/" + id,
        "{\"service\":\"" + group_ +
            "\",\"address\":\"127.0.0.1:" + std::to_string(server.advertised) +
            "\",\"zone\":\"" + id.substr(3) +
            "\",\"slots\":3,\"state\":\"ready\",\"db_role\":\"" + role +
            "\",\"sequence\":1,\"born\":" + std::to_string(born.count()) + "}");
  }
}

void LineDatabases::Accept(const std::string& id, int fd) {
  links_.push_back(std::make_unique<Link>(this, id, fd));
}

void LineDatabases::Reap() {
  std::erase_if(
      links_, [](const std::unique_ptr<Link>& link) { return link->closed(); });
}

void LineDatabases::Crash(const std::string& id) {
  Server& server = servers_.at(id);
  if (server.listener != nullptr) evconnlistener_free(server.listener);
  server.listener = nullptr;
  cluster_.Crash(id);
  for (const std::unique_ptr<Link>& link : links_) {
    if (link->database() == id) link->Close();
  }
  store_->Delete("servers/" + id);
}

void LineDatabases::StartAnew(const std::string& id) {
  for (const std::unique_ptr<Link>& link : links_) {
    if (link->database() == id) link->Close();
  }
  cluster_.RestartEmpty(id);
  Register();
}

int LineDatabases::Promote(const std::string& id, uint64_t token) {
  constexpr int kOk = 200;
  constexpr int kConflict = 409;
  if (token < highest_token_) return kConflict;
  highest_token_ = token;
  if (servers_.count(id) == 0 || !cluster_.database(id).up) return kConflict;
  if (cluster_.primary() == id) return kOk;
  clock_.After(kPromotion, [this, id] {
    cluster_.Promote(id);
    Register();
  });
  return kOk;
}

void LineDatabases::CutInMidLine() {
  for (const std::unique_ptr<Link>& link : links_) link->CutInMidLine();
}

}  // namespace ryefold::standins
