// Merging and formatting of events.
#include "operators/internal/timeline.h"

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <set>
#include <sstream>

namespace dn {
namespace {

bool Matches(const Event& event, const TimelineFilter& filter) {
  return (filter.instance.empty() || event->instance.value == filter.instance) &&
         (filter.kind.empty() || NameOf(event->kind) == filter.kind) &&
         event->subject.find(filter.subject) != std::string::npos;
}

std::string FormatWallTime(std::int64_t wall_us) {
  const auto seconds = static_cast<std::time_t>(wall_us / 1'000'000);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::ostringstream out;
  out << std::put_time(&utc, "%H:%M:%S") << '.' << std::setw(6) << std::setfill('0')
      << wall_us % 1'000'000;
  return out.str();
}

std::string EscapeHtml(const std::string& text) {
  std::string out;
  for (const char c : text) {
    switch (c) {
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '&':
        out += "&amp;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        out += c;
    }
  }
  return out;
}

}  // namespace

std::vector<Event> MergeEvents(std::vector<std::vector<Event>> sources,
                               const TimelineFilter& filter) {
  std::vector<Event> merged;
  for (auto& source : sources) {
    for (Event& event : source) {
      if (Matches(event, filter)) merged.push_back(std::move(event));
    }
  }
  std::stable_sort(merged.begin(), merged.end(), [](const Event& a, const Event& b) {
    return std::tie(a->logical, a->instance) < std::tie(b->logical, b->instance);
  });
  return merged;
}

std::string TimelineText(const std::vector<Event>& events) {
  std::ostringstream out;
  for (const Event& event : events) {
    out << FormatWallTime(event->wall_us) << ' ' << std::left << std::setw(22)
        << event->instance.value << ' ' << std::setw(24) << NameOf(event->kind) << ' '
        << event->subject << (event->detail.empty() ? "" : " ") << event->detail << '\n';
  }
  return out.str();
}

std::string TimelineHtml(const std::vector<Event>& events) {
  std::set<InstanceId> columns;
  for (const Event& event : events) columns.insert(event->instance);
  std::ostringstream out;
  out << "<!doctype html><meta charset=utf-8><title>Timeline</title><style>"
         "body{font:13px sans-serif}table{border-collapse:collapse}"
         "td,th{border:1px solid #ddd;padding:2px 6px;vertical-align:top}"
         "th{position:sticky;top:0;background:#f4f4f4}b{color:#246}</style>"
         "<table><tr><th>time</th>";
  for (const InstanceId& column : columns) out << "<th>" << EscapeHtml(column.value) << "</th>";
  out << "</tr>\n";
  for (const Event& event : events) {
    out << "<tr><td>" << FormatWallTime(event->wall_us) << "</td>";
    for (const InstanceId& column : columns) {
      out << "<td>";
      if (column == event->instance) {
        out << "<b>" << NameOf(event->kind) << "</b> " << EscapeHtml(event->subject) << ' '
            << EscapeHtml(event->detail);
      }
      out << "</td>";
    }
    out << "</tr>\n";
  }
  out << "</table>\n";
  return out.str();
}

}  // namespace dn
