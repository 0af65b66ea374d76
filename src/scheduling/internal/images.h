// Interns the names of images as small numbers, so that lookups for every task of every worker
// compare no strings.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace dn {

// Identifies an image within one ImageTable; 0 is the empty name.
using ImageId = std::size_t;

class ImageTable {
 public:
  ImageTable() { Of(""); }
  ImageId Of(const std::string& name) {
    const auto [entry, added] = ids_.try_emplace(name, names_.size());
    if (added) names_.push_back(name);
    return entry->second;
  }
  const std::string& NameOf(ImageId id) const { return names_.at(id); }

 private:
  std::map<std::string, ImageId> ids_;
  std::vector<std::string> names_;  // By id.
};

}  // namespace dn
