/// @file A value or an error, for functions that can fail.
#pragma once

#include <cassert>
#include <optional>
#include <string>
#include <system_error>
#include <utility>

namespace sapphirewind::base {

/// An error code with the context of the failed operation.
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
    assert(this->failure.code && "a failure requires an error code");
  }

  explicit operator bool() const { return this->value.has_value(); }

  /// The value. Precondition: the result holds a value.
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

  /// The failure. Precondition: the result holds no value.
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
