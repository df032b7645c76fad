/// @file A value or an error, for functions that can fail.
#pragma once

#include <cassert>
#include <optional>
#include <string>
#include <system_error>
#include <utility>

namespace sapphirewind::base {

/// An error code with a sentence that says what was being done.
struct Failure
{
  std::error_code code;
  std::string detail;

  bool operator==(const Failure&) const = default;
};

/// Holds either a value or a Failure.
template<typename Value>
class Result
{
public:
  Result(Value aValue)
    : value(std::move(aValue))
  {
  }

  Result(Failure aFailure)
    : failure(std::move(aFailure))
  {
    assert(this->failure.code && "a failure needs a code");
  }

  explicit operator bool() const { return this->value.has_value(); }

  /// The value. Precondition: the result holds one.
  const Value& operator*() const
  {
    assert(this->value);
    return *this->value;
  }

  Value& operator*()
  {
    assert(this->value);
    return *this->value;
  }

  const Value* operator->() const { return &**this; }
  Value* operator->() { return &**this; }

  /// The failure. Precondition: the result holds none of Value.
  const Failure& Error() const
  {
    assert(!this->value);
    return this->failure;
  }

private:
  std::optional<Value> value;
  Failure failure;
};

} // namespace sapphirewind::base
