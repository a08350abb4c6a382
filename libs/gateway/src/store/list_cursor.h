#ifndef KNAPWEEDSTILE_GATEWAY_LIST_CURSOR_H_
#define KNAPWEEDSTILE_GATEWAY_LIST_CURSOR_H_

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "platform/store_answer.h"

namespace knapweedstile::gateway {

// Position in a list of all objects of a kind that is read page by page, by
// name, while the kind changes. Pure logic: no I/O, no clock, no threads.
//
// A list that is begun anew goes on at the current position, to the last name
// and on from the first to that position, so that an interrupted list of many
// pages makes progress.
class ListCursor {
 public:
  // Requires all objects to be listed anew, from the current position on.
  void Begin();
  // Adds the page that follows `after()`. `more`: another one follows it.
  void AddPage(const std::vector<platform::StoredObject>& page, bool more);
  // A change that was made since Begin().
  void AddChange(const platform::StoredObject& object);

  // The name that the next page follows; empty: it is the first page.
  const std::string& after() const noexcept { return after_; }
  // Whether every object was listed since Begin().
  bool complete() const noexcept { return complete_; }
  // Names of the objects that were listed or created since Begin() and not
  // deleted since.
  const std::set<std::string>& names() const noexcept { return names_; }
  // Returns names(), which are empty then.
  std::set<std::string> TakeNames() { return std::exchange(names_, {}); }

 private:
  std::string began_after_;
  std::string after_;
  bool past_last_name_ = false;  // continued at the first name
  bool complete_ = false;
  std::set<std::string> names_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_LIST_CURSOR_H_
