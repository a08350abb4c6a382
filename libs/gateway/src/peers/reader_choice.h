#ifndef KNAPWEEDSTILE_GATEWAY_PEERS_READER_CHOICE_H_
#define KNAPWEEDSTILE_GATEWAY_PEERS_READER_CHOICE_H_

#include <cstddef>
#include <string>
#include <vector>

namespace knapweedstile::gateway {

// Entries of a cell that follow the store for the others: with two, one that
// stalls is made up for before it is noticed.
inline constexpr size_t kReadersPerCell = 2;

// The readers of a cell, from its entries that are heard and reach the store;
// all who see the same entries choose the same. No election: two that disagree
// for a moment read twice.
std::vector<std::string> ChooseReaders(std::vector<std::string> entries);

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_PEERS_READER_CHOICE_H_
