// Anti-entropy: two nodes compare their tables of records by digests and send the records that
// differ.
#include <algorithm>
#include <map>

#include "membership/membership.h"

namespace elderkeel::membership {
namespace {
constexpr base::Millis kMinSendIntervalMs = 300;  // between two messages of a kind to one peer
}  // namespace

// Returns whether a message was sent to `to` less than kMinSendIntervalMs ago. If not, records
// `now` as the time of sending.
bool Membership::RecentlySent(base::Millis now, const base::Address& to, SentTimes* sent_at) {
  base::Millis& sent = (*sent_at)[to];
  if (sent != 0 && now - sent < kMinSendIntervalMs) return true;
  sent = now;
  return false;
}

void Membership::SendPartDigests(base::Millis now, const base::Address& to) {
  if (RecentlySent(now, to, &part_digests_sent_at_)) return;
  effects_.part_digests.emplace_back(to, table_.part_digests());
}

void Membership::OnPartDigests(base::Millis now, const base::Address& from,
                               const PartDigests& digests) {
  now_ = std::max(now_, now);
  uint32_t different = 0;
  for (size_t i = 0; i < kParts; ++i) {
    if (digests.parts[i] != table_.part_digests().parts[i]) different |= uint32_t{1} << i;
  }
  if (different != 0) SendSummary(now, from, different);
}

// Sends a summary of the parts whose bits are set in `parts`.
void Membership::SendSummary(base::Millis now, const base::Address& to, uint32_t parts) {
  if (RecentlySent(now, to, &summary_sent_at_)) return;
  MembershipSummary summary;
  summary.parts = parts;
  for (const auto& [id, node] : table_.nodes()) {
    if (summary.Covers(id)) summary.view_digests.emplace_back(id, node.ViewDigest());
  }
  effects_.summaries.emplace_back(to, std::move(summary));
}

void Membership::OnSummary(base::Millis now, const base::Address& from,
                           const MembershipSummary& summary) {
  now_ = std::max(now_, now);
  MembershipUpdate update;
  std::map<uint64_t, uint32_t> peer_digests(summary.view_digests.begin(),
                                            summary.view_digests.end());
  for (const auto& [id, node] : table_.nodes()) {
    if (!summary.Covers(id)) continue;
    auto digest = peer_digests.find(id);
    bool same = digest != peer_digests.end() && digest->second == node.ViewDigest();
    if (!same) update.nodes.push_back(node);
  }
  for (const auto& [id, digest] : peer_digests) {
    const Node* own = table_.Find(id);
    if (!own || own->ViewDigest() != digest) update.wanted_ids.push_back(id);
  }
  bool different = !update.nodes.empty() || !update.wanted_ids.empty();
  if (different) SendUpdate(from, std::move(update));
}

}  // namespace elderkeel::membership
