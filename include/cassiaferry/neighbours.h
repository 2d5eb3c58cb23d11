// Which entries a sidecar keeps streams to.
//
// With few entries: all of them. With more, streams between all pairs would
// grow with entries times sidecars, so a sidecar chooses a bounded number, its
// neighbours, by rendezvous hashing: a change of one entry moves few streams,
// and sidecars with older lists choose nearly the same. Most neighbours are in
// the sidecar's own failure domain, as traffic between domains is slower; some
// are not, so that news and capacity reach every domain.
//
// An entry whose neighbours don't suffice says so in its row of the directory
// (directory.h): it asks for a multiple of the usual streams, or for the
// workers with a label.
//
// Pure: no thread, clock or socket.
//
// Contents
//   [1] Options
//   [2] Candidates
//   [3] Choice

#ifndef CASSIAFERRY_NEIGHBOURS_H_
#define CASSIAFERRY_NEIGHBOURS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "cassiaferry/ids.h"

namespace cassiaferry {

// ---- [1] Options ------------------------------------------------------------

struct neighbour_options {
  size_t all_up_to = 40;  // with so many entries or fewer all are neighbours
  // Neighbours in the sidecar's own failure domain, and in others. What the own
  // domain lacks is added to the others.
  size_t near = 12;
  size_t far = 4;
  // How long an entry is no neighbour before its stream is given back.
  micros release_after = Millis(10'000);
  // Dials of a sidecar to entries that don't answer, all together.
  micros dial_interval = Millis(10);
};

// ---- [2] Candidates ---------------------------------------------------------

// An entry as a possible neighbour of one sidecar.
struct neighbour_candidate {
  uint64_t rank = 0;      // lower comes first
  bool near = false;      // in the sidecar's failure domain
  bool reachable = true;  // has not been out of reach for long
  bool required = false;  // a neighbour whatever its rank
  uint32_t reach = 1;     // multiple of the usual streams that it asks for
};

// Rank of an entry at a sidecar: the same in each process, and different at
// each sidecar.
uint64_t NeighbourRank(const std::string& sidecar, const std::string& address);

// ---- [3] Choice -------------------------------------------------------------

// By index: whether the candidate is a neighbour. An unreachable entry within
// its rank stays one, and the next is taken as well, up to twice the number:
// while all entries are down, dials don't grow with their number.
std::vector<bool> ChooseNeighbours(
    const std::vector<neighbour_candidate>& candidates,
    const neighbour_options& options);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_NEIGHBOURS_H_
