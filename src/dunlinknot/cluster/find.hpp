// A linear search that returns a pointer, so that the result can be tested directly in a condition.
#pragma once
#include <algorithm>

namespace dunlinknot::cluster {

// The first element of the container that satisfies the predicate, or null.
template <class Container, class Predicate>
auto* find_where(Container& container, Predicate&& predicate) {
  const auto it = std::find_if(container.begin(), container.end(), predicate);
  return it == container.end() ? nullptr : &*it;
}

}  // namespace dunlinknot::cluster
