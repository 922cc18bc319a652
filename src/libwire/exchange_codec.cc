#include "ryefold/wire/exchange_codec.h"

#include <algorithm>
#include <chrono>
#include <msgpack.hpp>
#include <utility>

namespace ryefold::wire {
namespace {

using namespace core::configuration;  // NOLINT(google-build-using-namespace)
using core::membership::Member;
using core::membership::MemberKind;
using core::membership::MemberState;

// ---- writing ----

template <class T>
std::string Pack(const T& value) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, value);
  return {buffer.data(), buffer.size()};
}

/// Collects the members of one map. Members that have their default are left
/// out: the reader fills them in, and most messages consist of those.
class MapWriter {
 public:
  template <class T>
  void Put(const char* key, const T& value) {
    if (value == T()) return;
    Raw(key, Pack(value));
  }
  /// A value that is encoded already.
  void Raw(const char* key, const std::string& encoded) {
    body_ += Pack(std::string(key));
    body_ += encoded;
    ++members_;
  }
  std::string Take() const {
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_map(members_);
    return std::string(buffer.data(), buffer.size()) + body_;
  }

 private:
  std::string body_;
  uint32_t members_ = 0;
};

std::string Encode(const Document& document) {
  MapWriter map;
  map.Put("key", document.key);
  map.Put("version", document.version);
  if (document.text) map.Raw("text", Pack(*document.text));
  map.Put("change", document.change_id);
  map.Put("author", document.author);
  map.Put("time", int64_t{document.time.time_since_epoch().count()});
  return map.Take();
}

std::string Encode(const Member& member) {
  MapWriter map;
  map.Put("name", member.name);
  map.Put("database", member.kind == MemberKind::kDatabase);
  map.Put("leaving", member.state == MemberState::kLeaving);
  map.Put("address", member.address);
  map.Put("peer", member.peer_address);
  map.Put("group", member.group);
  map.Put("domain", member.failure_domain);
  map.Put("region", member.region);
  return map.Take();
}

std::string Encode(const Notice& notice) {
  MapWriter map;
  map.Raw("member", Encode(notice.member));
  map.Put("sequence", notice.sequence);
  return map.Take();
}

template <class T>
void PutAll(MapWriter* map, const char* key, const std::vector<T>& all) {
  if (all.empty()) return;
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(static_cast<uint32_t>(all.size()));
  std::string encoded(buffer.data(), buffer.size());
  for (const T& one : all) encoded += Encode(one);
  map->Raw(key, encoded);
}

std::string Encode(const DocumentBlock& block) {
  MapWriter map;
  PutAll(&map, "documents", block.documents);
  map.Put("after", block.after);
  map.Put("through", block.through);
  map.Put("complete", block.complete);
  return map.Take();
}

std::string Encode(const MemberBlock& block) {
  MapWriter map;
  PutAll(&map, "changed", block.changed);
  map.Put("removed", block.removed);
  map.Put("after", block.after);
  map.Put("full", block.full);
  return map.Take();
}

void PutStanding(MapWriter* map, const SyncState& standing) {
  map->Put("rev", standing.revision);
  map->Put("list", standing.list_version);
  map->Put("known", standing.known);
  map->Put("ready", standing.ready);
  map->Put("age", int64_t{standing.store_age.count()});
  // Equal to the revision unless documents are on their way.
  if (standing.have_documents != standing.revision) {
    map->Raw("have", Pack(standing.have_documents));
  }
  map->Put("docs?", standing.want_documents);
  map->Put("list?", standing.want_members);
}

void PutBlocks(MapWriter* map, const DocumentBlock& documents,
               const MemberBlock& members) {
  const bool filled = !documents.documents.empty() || documents.complete;
  if (filled) map->Raw("docs", Encode(documents));
  const bool listed =
      members.full || !members.changed.empty() || !members.removed.empty();
  if (listed) map->Raw("members", Encode(members));
}

std::string Encode(const Exchange& exchange) {
  MapWriter map;
  map.Put("from", exchange.from);
  PutStanding(&map, exchange.sync_state);
  PutBlocks(&map, exchange.documents, exchange.members);
  PutAll(&map, "notices", exchange.notices);
  return map.Take();
}

std::string Encode(const ExchangeReply& reply) {
  MapWriter map;
  PutStanding(&map, reply.sync_state);
  PutBlocks(&map, reply.documents, reply.members);
  return map.Take();
}

std::string Encode(const InForceQuery& query) {
  MapWriter map;
  map.Put("rev", query.revision);
  map.Put("others", query.others);
  return map.Take();
}

std::string Encode(const InForceReply& reply) {
  MapWriter map;
  map.Put("in_force", reply.in_force);
  map.Put("missing", reply.missing);
  return map.Take();
}

std::string Encode(const DutyCheck& check) {
  MapWriter map;
  map.Put("groups", check.groups);
  return map.Take();
}

std::string Encode(const DutyReply& reply) {
  MapWriter map;
  map.Put("keeping", reply.keeping);
  return map.Take();
}

// ---- reading ----

/// Looks up members of one map. A member of the wrong type throws, which the
/// entry points below turn into "cannot be read".
class MapReader {
 public:
  explicit MapReader(const msgpack::object& object) : object_(object) {
    if (object.type != msgpack::type::MAP) throw msgpack::type_error();
  }

  const msgpack::object* Find(std::string_view key) const {
    const auto& map = object_.via.map;
    for (uint32_t i = 0; i < map.size; ++i) {
      const msgpack::object& name = map.ptr[i].key;
      if (name.type != msgpack::type::STR) continue;
      if (std::string_view(name.via.str.ptr, name.via.str.size) == key) {
        return &map.ptr[i].val;
      }
    }
    return nullptr;
  }
  template <class T>
  void Get(std::string_view key, T* value) const {
    if (const msgpack::object* found = Find(key)) found->convert(*value);
  }

 private:
  const msgpack::object& object_;
};

void Decode(const msgpack::object& object, Document* document) {
  const MapReader map(object);
  map.Get("key", &document->key);
  map.Get("version", &document->version);
  if (map.Find("text") != nullptr) map.Get("text", &document->text.emplace());
  map.Get("change", &document->change_id);
  map.Get("author", &document->author);
  int64_t seconds = 0;
  map.Get("time", &seconds);
  document->time = std::chrono::sys_seconds(std::chrono::seconds(seconds));
}

void Decode(const msgpack::object& object, Member* member) {
  const MapReader map(object);
  bool database = false;
  bool leaving = false;
  map.Get("name", &member->name);
  map.Get("database", &database);
  map.Get("leaving", &leaving);
  map.Get("address", &member->address);
  map.Get("peer", &member->peer_address);
  map.Get("group", &member->group);
  map.Get("domain", &member->failure_domain);
  map.Get("region", &member->region);
  member->kind = database ? MemberKind::kDatabase : MemberKind::kInstance;
  member->state = leaving ? MemberState::kLeaving : MemberState::kLive;
}

void Decode(const msgpack::object& object, Notice* notice) {
  const MapReader map(object);
  if (const auto* member = map.Find("member")) {
    Decode(*member, &notice->member);
  }
  map.Get("sequence", &notice->sequence);
}

template <class T>
void GetAll(const MapReader& map, std::string_view key, std::vector<T>* all) {
  const msgpack::object* found = map.Find(key);
  if (found == nullptr) return;
  if (found->type != msgpack::type::ARRAY) throw msgpack::type_error();
  all->resize(found->via.array.size);
  for (uint32_t i = 0; i < found->via.array.size; ++i) {
    Decode(found->via.array.ptr[i], &(*all)[i]);
  }
}

void Decode(const msgpack::object& object, DocumentBlock* block) {
  const MapReader map(object);
  GetAll(map, "documents", &block->documents);
  map.Get("after", &block->after);
  map.Get("through", &block->through);
  map.Get("complete", &block->complete);
}

void Decode(const msgpack::object& object, MemberBlock* block) {
  const MapReader map(object);
  GetAll(map, "changed", &block->changed);
  map.Get("removed", &block->removed);
  map.Get("after", &block->after);
  map.Get("full", &block->full);
}

void GetStanding(const MapReader& map, SyncState* standing) {
  map.Get("rev", &standing->revision);
  map.Get("list", &standing->list_version);
  map.Get("known", &standing->known);
  map.Get("ready", &standing->ready);
  int64_t age = 0;
  map.Get("age", &age);
  standing->store_age = std::chrono::milliseconds(std::max(age, int64_t{0}));
  standing->have_documents = standing->revision;
  map.Get("have", &standing->have_documents);
  map.Get("docs?", &standing->want_documents);
  map.Get("list?", &standing->want_members);
}

void GetBlocks(const MapReader& map, DocumentBlock* documents,
               MemberBlock* members) {
  if (const auto* found = map.Find("docs")) Decode(*found, documents);
  if (const auto* found = map.Find("members")) Decode(*found, members);
}

void Decode(const msgpack::object& object, Exchange* exchange) {
  const MapReader map(object);
  map.Get("from", &exchange->from);
  GetStanding(map, &exchange->sync_state);
  GetBlocks(map, &exchange->documents, &exchange->members);
  GetAll(map, "notices", &exchange->notices);
}

void Decode(const msgpack::object& object, ExchangeReply* reply) {
  const MapReader map(object);
  GetStanding(map, &reply->sync_state);
  GetBlocks(map, &reply->documents, &reply->members);
}

void Decode(const msgpack::object& object, InForceQuery* query) {
  const MapReader map(object);
  map.Get("rev", &query->revision);
  map.Get("others", &query->others);
}

void Decode(const msgpack::object& object, InForceReply* reply) {
  const MapReader map(object);
  map.Get("in_force", &reply->in_force);
  map.Get("missing", &reply->missing);
}

void Decode(const msgpack::object& object, DutyCheck* check) {
  MapReader(object).Get("groups", &check->groups);
}

void Decode(const msgpack::object& object, DutyReply* reply) {
  MapReader(object).Get("keeping", &reply->keeping);
}

/// Reads a body as `Message`; nothing when it is damaged.
template <class Message, class Variant>
std::optional<Variant> Read(std::string_view body) {
  try {
    const msgpack::object_handle handle =
        msgpack::unpack(body.data(), body.size());
    Message message;
    Decode(handle.get(), &message);
    return Variant(std::move(message));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::string_view PathOf(const PeerRequest& request) {
  if (std::holds_alternative<Exchange>(request)) return kPeerExchange;
  if (std::holds_alternative<InForceQuery>(request)) return kPeerForce;
  return kPeerDuty;
}

std::string WritePeerRequest(const PeerRequest& request) {
  return std::visit([](const auto& r) { return Encode(r); }, request);
}

std::optional<PeerRequest> ReadPeerControlRequest(std::string_view path,
                                                  std::string_view body) {
  if (path == kPeerExchange) return Read<Exchange, PeerRequest>(body);
  if (path == kPeerForce) return Read<InForceQuery, PeerRequest>(body);
  if (path == kPeerDuty) return Read<DutyCheck, PeerRequest>(body);
  return std::nullopt;
}

std::string WritePeerAnswer(const PeerAnswer& answer) {
  return std::visit([](const auto& a) { return Encode(a); }, answer);
}

std::optional<PeerAnswer> ReadPeerControlAnswer(std::string_view path,
                                                std::string_view body) {
  if (path == kPeerExchange) return Read<ExchangeReply, PeerAnswer>(body);
  if (path == kPeerForce) return Read<InForceReply, PeerAnswer>(body);
  if (path == kPeerDuty) return Read<DutyReply, PeerAnswer>(body);
  return std::nullopt;
}

}  // namespace ryefold::wire
