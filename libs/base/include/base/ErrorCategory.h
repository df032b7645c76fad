/// @file A std::error_category for the error enumeration of a library.
#pragma once

#include <string>
#include <system_error>

namespace sapphirewind::base {

/// The error category of one library. Each library describes its errors in one free function and
/// maps errors of the libraries below it to its own.
template<typename Enum>
class EnumCategory final : public std::error_category
{
public:
  using Describe = const char* (*)(Enum);

  EnumCategory(const char* aName, Describe aDescribe)
    : categoryName(aName)
    , describe(aDescribe)
  {
  }

  const char* name() const noexcept override { return this->categoryName; }

  std::string message(int aValue) const override
  {
    return this->describe(static_cast<Enum>(aValue));
  }

private:
  const char* categoryName;
  Describe describe;
};

} // namespace sapphirewind::base
