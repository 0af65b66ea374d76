// Registrations that describe no usable worker, as a foreign writer could leave them in
// the store.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace dn::testing {

struct OddRegistration {
  std::string name;  // Says what is wrong.
  std::string key;   // Differs for each registration.
  std::string value;
  std::string pointer;  // JSON pointer to the first invalid member; "/": the record itself.
};

// Returns a valid registration of a worker at `address`. `replaced` are JSON texts by
// member name that replace the valid ones; an empty text removes the member.
std::string RegistrationText(const std::string& service, const std::string& address,
                             const std::map<std::string, std::string>& replaced = {});

// Returns registrations that name `service` and `address` unless that is the invalid
// part, so that a reader that accepts one of them would use it.
std::vector<OddRegistration> OddRegistrations(const std::string& service,
                                              const std::string& address);

}  // namespace dn::testing
