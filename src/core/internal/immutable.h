// Defines a wrapper that makes a plain struct an immutable value: its members
// can be read but not modified. `With` creates a modified copy.
#pragma once

#include <compare>
#include <utility>

namespace dn {

// An immutable value whose members are those of FieldsT.
template <class FieldsT>
class Immutable {
 public:
  using Fields = FieldsT;

  Immutable() = default;
  explicit Immutable(FieldsT fields) : fields_(std::move(fields)) {}

  const FieldsT* operator->() const { return &fields_; }
  const FieldsT& operator*() const { return fields_; }

  // Returns a copy to which `edit(FieldsT&)` has been applied.
  template <class Edit>
  Immutable With(Edit edit) const {
    FieldsT copy = fields_;
    edit(copy);
    return Immutable(std::move(copy));
  }

  friend bool operator==(const Immutable&, const Immutable&) = default;
  friend auto operator<=>(const Immutable&, const Immutable&) = default;

 private:
  FieldsT fields_;  // Modified only by assignment of a whole value.
};

}  // namespace dn
