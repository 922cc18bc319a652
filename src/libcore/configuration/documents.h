#pragma once

// The replicated documents of one instance at one revision.

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

  /// False until a complete state, possibly an empty one, is loaded or
  /// confirmed.
  bool IsLoaded() const { return loaded_; }
  void MarkLoaded() { loaded_ = true; }
  uint64_t revision() const { return revision_; }
  const std::map<std::string, Document>& all() const { return documents_; }
  uint64_t VersionOf(const std::string& key) const;

  /// Applies the change of revision `revision() + 1`; any other revision is
  /// ignored. Returns the keys that changed.
  Keys Apply(uint64_t revision, const Change& change);
  /// Merges a snapshot if its revision is higher. Returns the keys that
  /// changed.
  Keys Replace(uint64_t revision, const std::vector<Document>& documents);

  /// Returns a block of the documents above `version`, of about `max_bytes` but
  /// with at least one version.
  DocumentBlock ChangesSince(uint64_t version, size_t max_bytes) const;
  /// Stages a block of a peer at `sender_revision`. Documents take effect only
  /// once the state is complete. Returns the keys that changed.
  Keys Merge(uint64_t sender_revision, const DocumentBlock& block);
  /// Returns the version up to which all documents are present, applied or
  /// staged.
  uint64_t received_through() const;
  bool IsStaging() const { return staged_through_ > revision_; }
  /// Discards staged documents. The peer that could complete them may have
  /// stopped, and the others may have no newer documents to send.
  void DropStaged();

 private:
  bool Put(const Document& document);

  bool loaded_ = false;
  uint64_t revision_ = 0;
  std::map<std::string, Document> documents_;
  std::set<std::pair<uint64_t, std::string>> by_version_;

  std::vector<Document> staged_;
  uint64_t staged_through_ = 0;
  /// Highest revision of the peers that sent staged documents. A block of a
  /// peer with a lower revision cannot complete the state: documents that the
  /// first peer omitted because they had been overwritten would be missing.
  uint64_t staged_revision_ = 0;
};

/// Returns the approximate size of a document in a message or in the store, in
/// bytes.
size_t EstimateSize(const Document& document);

/// Splits documents into parts of about `max_bytes`.
std::vector<std::vector<Document>> SplitIntoParts(
    const std::map<std::string, Document>& documents, size_t max_bytes);

}  // namespace ryefold::core::configuration
