#include "prefix_cache.h"

#include "base/hash.h"

namespace knapweedstile::standins {

size_t PrefixCache::Use(const std::vector<std::string>& prompt) {
  uint64_t chain = 0;
  size_t hit_words = 0;
  bool hit = true;
  for (size_t i = 0; i < prompt.size(); ++i) {
    chain = HashCombine(chain, Hash64(prompt[i]));
    if ((i + 1) % kBlockWords != 0) continue;
    hit = hit && held_.contains(chain);
    if (hit) hit_words = i + 1;
    Touch(chain);
  }
  return hit_words;
}

void PrefixCache::Touch(uint64_t block) {
  if (max_blocks_ == 0) return;
  const auto found = held_.find(block);
  if (found != held_.end()) recent_.erase(found->second);
  recent_.push_front(block);
  held_[block] = recent_.begin();
  if (held_.size() <= max_blocks_) return;
  held_.erase(recent_.back());
  recent_.pop_back();
}

}  // namespace knapweedstile::standins
