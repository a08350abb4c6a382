#ifndef KNAPWEEDSTILE_DECIDE_SUBSET_H_
#define KNAPWEEDSTILE_DECIDE_SUBSET_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace knapweedstile::decide {

// Servers an entry knows of one target, about: two choices need few, and 64
// heartbeats a second at 100 bytes stay within 12 KB a second.
inline constexpr size_t kSubsetSize = 64;

// Which backend servers of one target an entry keeps connections to: the
// indices into `servers` that fall to `self`, ascending.
//
// Load pattern: 3,200 entries and 10,000 engines; all pairs would be 32 million
// connections. Without agreement, random subsets leave some servers with few
// entries and others with many.
//
// Rule: each server picks its entries, the highest by rendezvous hash, as many
// as give each entry `size` servers on average. So servers differ by one in how
// many entries know them, each has at least two (or all), and a change of one
// node moves only that node's pairs. How many servers an entry gets varies
// about the mean as a random choice does. Every entry computes the same from
// the same two lists; two views differ only in the nodes in which they differ.
//
// Up to `size` servers all entries know all of them.
std::vector<size_t> SubsetOf(std::string_view self,
                             const std::vector<std::string_view>& entries,
                             const std::vector<std::string_view>& servers,
                             size_t size = kSubsetSize);

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_SUBSET_H_
