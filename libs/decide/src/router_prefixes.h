#ifndef KNAPWEEDSTILE_DECIDE_ROUTER_PREFIXES_H_
#define KNAPWEEDSTILE_DECIDE_ROUTER_PREFIXES_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

#include "base/id.h"

namespace knapweedstile::decide {

// Where prompts with a given prefix went lately, oldest home first: those
// servers may still hold its KV cache.
//
// Load pattern: prompts that share long prefixes (a system prompt, the earlier
// turns of a conversation). Without it each server computes each prefix anew.
//
// A hot prefix gets more homes when its first ones pass the load bound, and
// falls back to the first ones when the load does, since they are tried in
// order. That is the key and tuple split of D-JB (Wang, Feng, Shi 2018, H1 to
// H3) without its routing table being cleared: what is not used expires.
class RouterPrefixes {
 public:
  // The homes of a prefix, oldest first; empty when unknown.
  std::span<const BackendServerId> HomesOf(uint64_t prefix) const;
  // A prompt with these prefixes went to `server`.
  void Note(std::span<const uint64_t> prefixes, BackendServerId server);

 private:
  struct Entry {
    std::vector<BackendServerId> homes;
    std::list<uint64_t>::iterator place;
  };

  std::unordered_map<uint64_t, Entry> entries_;
  std::list<uint64_t> newest_first_;
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_ROUTER_PREFIXES_H_
