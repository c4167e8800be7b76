#include "consensus/pending_reads.h"

namespace elderkeel::consensus {

std::vector<uint64_t> PendingReads::TakeConfirmed(uint64_t round) {
  std::vector<uint64_t> confirmed;
  std::vector<Read> rest;
  for (const Read& read : reads_) {
    if (read.round <= round) {
      confirmed.push_back(read.token);
    } else {
      rest.push_back(read);
    }
  }
  reads_.swap(rest);
  return confirmed;
}

}  // namespace elderkeel::consensus
