// Summarises the attempts to reach the owner of a shard.
#include "node/internal/owner_call.h"

namespace dn {
namespace {

// Time after which a call at the first attempt is logged: several round trips between regions
// and the processing time of a busy owner stay below it.
constexpr Duration kSlowCall{500};

std::string NameOfOwner(const OwnerAttempt& attempt) {
  if (!attempt.owner) return "none";
  return attempt.owner->ToString() + (attempt.local ? "/local" : "/remote");
}

std::string Milliseconds(Duration duration) { return std::to_string(duration.count()); }

}  // namespace

void OwnerCall::Add(const OwnerAttempt& attempt) {
  ++attempts_;
  lookups_ += attempt.lookup;
  last_ = attempt;
  if (attempt.error && (!failed_ || attempt.took() > failed_->took())) failed_ = attempt;
}

bool OwnerCall::IsNotable(Duration took) const {
  return attempts_ > 1 || last_.error || took > kSlowCall;
}

std::string OwnerCall::ToText(Duration took) const {
  std::string text = "answered=" + std::string(last_.error ? "no" : "yes") +
                     " attempts=" + std::to_string(attempts_) + " took_ms=" + Milliseconds(took) +
                     " lookups_ms=" + Milliseconds(lookups_) + " last=" + NameOfOwner(last_) +
                     " last_ms=" + Milliseconds(last_.call);
  if (!failed_) return text;
  return text + " longest_failed=" + NameOfOwner(*failed_) +
         " failed_lookup_ms=" + Milliseconds(failed_->lookup) +
         " failed_ms=" + Milliseconds(failed_->call) + " error=" + failed_->error.message();
}

}  // namespace dn
