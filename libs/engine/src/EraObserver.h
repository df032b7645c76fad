/// @file Looks at the era of each answer of the store, and of the instances that mirror it.
#pragma once

#include <directory/StoreEra.h>
#include <engine/Wire.h>
#include <functional>

namespace sapphirewind::engine {

class EraObserver
{
public:
  struct Options
  {
    const StoreCodec& codec;
    /// Called when an answer is the first of a new era.
    std::function<void()> onNewEra;
  };

  explicit EraObserver(Options aOptions);

  /// Records the era of an answer, whatever its status. aSource and aCall are for the log. An
  /// answer of a new or an earlier era must not be used: after a new one all is read again.
  directory::EraChange Observe(const HttpResponse& aAnswer,
                               const std::string& aSource,
                               const char* aCall);

  uint64_t Current() const { return this->era.Current(); }

  /// Whether the store names its eras.
  bool IsNamed() const { return this->era.known.has_value(); }

  /// The headers that name the current era to a mirror; none if the store names none.
  http::fields Headers() const;

private:
  Options options;
  directory::StoreEra era;
  /// Whether the last answer named none after others had, which is logged once.
  bool isMissing = false;
};

} // namespace sapphirewind::engine
