#ifndef KNAPWEEDSTILE_GATEWAY_PEERS_READER_CHOICE_H_
#define KNAPWEEDSTILE_GATEWAY_PEERS_READER_CHOICE_H_

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace knapweedstile::gateway {

// Gateways of a cell that follow the store on behalf of the others. With two,
// the other one covers for a stalled reader before the stall is detected.
inline constexpr size_t kReadersPerCell = 2;
// In a divided fleet, which has many cells: a second reader in each would
// double the store calls.
inline constexpr size_t kReadersPerDividedCell = 1;

// Gateways of a cell that watch the configuration by themselves, readers
// included. A change that none of them sees in time is late everywhere, and a
// gateway that gets no response from the store finds out seconds later; few
// calls are needed, since configurations change rarely.
inline constexpr size_t kConfigurationWatchersPerCell = 8;
// In a fleet of several cells, which advertise versions to each other.
inline constexpr size_t kConfigurationWatchersPerSmallCell = 3;

// Chooses at most `max_readers` readers of a cell from its healthy gateways
// that reach the store. The choice depends only on the candidates, so gateways
// that see the same candidates agree without an election. While views differ,
// both choices read the store.
//
// Gateways with at least half the cores of the strongest come first.
std::vector<std::string> ChooseReaders(
    std::vector<std::string> gateways, size_t max_readers,
    const std::function<double(const std::string& gateway)>& cores);

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_PEERS_READER_CHOICE_H_
