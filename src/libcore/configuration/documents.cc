#include "documents.h"

#include <algorithm>

namespace ryefold::core::configuration {

uint64_t Documents::VersionOf(const std::string& key) const {
  const auto found = documents_.find(key);
  return found == documents_.end() ? 0 : found->second.version;
}

bool Documents::Put(const Document& document) {
  Document& present = documents_[document.key];
  if (present.version >= document.version) return false;
  if (present.version > 0) by_version_.erase({present.version, document.key});
  present = document;
  by_version_.insert({document.version, document.key});
  return true;
}

Documents::Keys Documents::Apply(uint64_t revision, const Change& change) {
  Keys changed;
  if (revision != revision_ + 1) return changed;
  for (const Edit& edit : change.edits) {
    Document document;
    document.key = edit.key;
    document.version = revision;
    document.text = edit.text;
    document.change_id = change.change_id;
    document.author = change.author;
    document.time = change.time;
    if (Put(document)) changed.push_back(edit.key);
  }
  revision_ = revision;
  return changed;
}

Documents::Keys Documents::Replace(uint64_t revision,
                                   const std::vector<Document>& documents) {
  Keys changed;
  // A lower revision would restore documents that operators have since
  // replaced.
  if (revision <= revision_) return changed;
  for (const Document& document : documents) {
    if (Put(document)) changed.push_back(document.key);
  }
  revision_ = revision;
  return changed;
}

DocumentBlock Documents::ChangesSince(uint64_t version,
                                      size_t max_bytes) const {
  DocumentBlock block;
  block.after = version;
  block.through = version;
  size_t bytes = 0;
  auto next = by_version_.lower_bound({version + 1, std::string()});
  while (next != by_version_.end()) {
    // A version is never split across blocks, because its edits take effect
    // atomically.
    if (bytes >= max_bytes && next->first != block.through) return block;
    const Document& document = documents_.at(next->second);
    block.documents.push_back(document);
    block.through = next->first;
    bytes += EstimateSize(document);
    ++next;
  }
  block.through = std::max(version, revision_);
  block.complete = true;
  return block;
}

uint64_t Documents::received_through() const {
  return std::max(revision_, staged_through_);
}

void Documents::DropStaged() {
  staged_.clear();
  staged_through_ = 0;
  staged_revision_ = 0;
}

Documents::Keys Documents::Merge(uint64_t sender_revision,
                                 const DocumentBlock& block) {
  Keys changed;
  const bool adds_data =
      block.through > received_through() || (block.complete && !loaded_);
  if (!adds_data || block.after > received_through()) return changed;
  if (staged_through_ < revision_) DropStaged();
  staged_.insert(staged_.end(), block.documents.begin(), block.documents.end());
  staged_through_ = block.through;
  staged_revision_ = std::max(staged_revision_, sender_revision);
  if (!block.complete || sender_revision < staged_revision_) return changed;
  changed = Replace(sender_revision, staged_);
  loaded_ = true;
  DropStaged();
  return changed;
}

size_t EstimateSize(const Document& document) {
  constexpr size_t kOverhead = 96;
  const size_t text = document.text ? document.text->size() : 0;
  return kOverhead + document.key.size() + document.author.size() + text;
}

std::vector<std::vector<Document>> SplitIntoParts(
    const std::map<std::string, Document>& documents, size_t max_bytes) {
  std::vector<std::vector<Document>> parts(1);
  size_t bytes = 0;
  for (const auto& [key, document] : documents) {
    if (bytes > 0 && bytes + EstimateSize(document) > max_bytes) {
      parts.emplace_back();
      bytes = 0;
    }
    parts.back().push_back(document);
    bytes += EstimateSize(document);
  }
  return parts;
}

}  // namespace ryefold::core::configuration
