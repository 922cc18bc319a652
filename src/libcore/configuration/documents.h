#pragma once

// The replicated documents of one instance, at one revision.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "ryefold/core/configuration/document.h"
#include "ryefold/core/configuration/messages.h"

namespace ryefold::core::configuration {

class Documents {
 public:
  using Keys = std::vector<std::string>;

  /// False until a whole state, possibly an empty one, has been learned.
  bool known() const { return known_; }
  void MarkKnown() { known_ = true; }
  uint64_t revision() const { return revision_; }
  const std::map<std::string, Document>& all() const { return documents_; }
  uint64_t VersionOf(const std::string& key) const;

  /// Applies the change of revision `revision() + 1`; any other revision is
  /// left alone. Returns the keys that changed.
  Keys Apply(uint64_t revision, const Change& change);
  /// Puts a snapshot in place if its revision is higher.
  Keys Replace(uint64_t revision, const std::vector<Document>& documents);

  /// Documents above `version`, at least one and about `max_bytes`.
  DocumentBlock Since(uint64_t version, size_t max_bytes) const;
  /// Takes a block from a peer at `sender_revision`. Nothing comes into force
  /// before the state is whole.
  Keys Merge(uint64_t sender_revision, const DocumentBlock& block);
  /// Everything up to this version is here, in force or kept aside.
  uint64_t have() const;
  bool staging() const { return staged_through_ > revision_; }
  /// Forgets what is kept aside. The peer that could complete it may be gone,
  /// and the others have nothing newer to send.
  void DropStaged();

 private:
  bool Put(const Document& document);

  bool known_ = false;
  uint64_t revision_ = 0;
  std::map<std::string, Document> documents_;
  std::set<std::pair<uint64_t, std::string>> by_version_;

  std::vector<Document> staged_;
  uint64_t staged_through_ = 0;
  /// Highest revision of a peer that has sent any of what is staged. A block
  /// from one further behind can't complete the state: documents that the
  /// first had already seen overwritten would be missing.
  uint64_t staged_target_ = 0;
};

/// Rough size of a document in a message or in the store.
size_t SizeOf(const Document& document);

/// Cuts documents into parts of about `max_bytes`.
std::vector<std::vector<Document>> Split(
    const std::map<std::string, Document>& documents, size_t max_bytes);

}  // namespace ryefold::core::configuration
