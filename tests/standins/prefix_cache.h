#ifndef KNAPWEEDSTILE_STANDINS_PREFIX_CACHE_H_
#define KNAPWEEDSTILE_STANDINS_PREFIX_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace knapweedstile::standins {

// Which prompt prefixes an engine still holds, in blocks of words; the least
// recently used blocks go first when the memory is full.
class PrefixCache {
 public:
  explicit PrefixCache(size_t max_blocks) : max_blocks_(max_blocks) {}

  // Words at the start of `prompt` that need no prefill; all of its whole
  // blocks are held afterwards.
  size_t Use(const std::vector<std::string>& prompt);
  size_t blocks() const noexcept { return held_.size(); }
  size_t max_blocks() const noexcept { return max_blocks_; }

  static constexpr size_t kBlockWords = 16;

 private:
  void Touch(uint64_t block);

  size_t max_blocks_;
  std::list<uint64_t> recent_;  // the most recently used first
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> held_;
};

}  // namespace knapweedstile::standins

#endif  // KNAPWEEDSTILE_STANDINS_PREFIX_CACHE_H_
