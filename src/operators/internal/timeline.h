// Timeline: the events of all instances in one order.
#pragma once

#include <string>
#include <vector>

#include "core/core.h"

namespace dn {

// Selects events. An empty member matches every event.
struct TimelineFilter {
  std::string instance;
  std::string kind;
  std::string subject;  // Substring of the subject.

  auto operator<=>(const TimelineFilter&) const = default;
};

// Returns the events that match `filter`, in order of their hybrid logical time, then of their
// instance.
std::vector<Event> MergeEvents(std::vector<std::vector<Event>> sources,
                               const TimelineFilter& filter);

// Text with one event per line.
std::string TimelineText(const std::vector<Event>& events);
// HTML page with a table of one row per event and one column per instance.
std::string TimelineHtml(const std::vector<Event>& events);

}  // namespace dn
