/// @file A std::error_category over a layer's own error enumeration.
#pragma once

#include <string>
#include <system_error>

namespace sapphirewind::base {

/// The category of one layer. Each layer describes its errors in one free function and turns
/// errors of the layers below into its own.
template<typename Enum>
class EnumCategory final : public std::error_category
{
public:
  using Describe = const char* (*)(Enum);

  EnumCategory(const char* aName, Describe aDescribe)
    : layer(aName)
    , describe(aDescribe)
  {
  }

  const char* name() const noexcept override { return this->layer; }

  std::string message(int aValue) const override
  {
    return this->describe(static_cast<Enum>(aValue));
  }

private:
  const char* layer;
  Describe describe;
};

} // namespace sapphirewind::base
