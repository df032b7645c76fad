/// @file A small model of callers that send the same protected request, explored in every
/// interleaving.
///
/// Each caller follows the booking path over the real claims::Apply: read the bucket, write it
/// conditionally, send, settle or give up. Every read may be of an old version, every write's
/// answer may be lost with or without effect, every send may fail or lose its answer, every caller
/// may stop for good at any step, and a caller that is not scheduled is a frozen one.
#pragma once

#include <claims/Bucket.h>
#include <cstddef>
#include <string>
#include <vector>

namespace sapphirewind::test {

/// Faults built into the model on purpose, to show that the check can fail.
enum class Mutation
{
  None,
  TrustLostWrite, ///< A write whose answer was lost counts as granted, without reading back.
  RetryAfterSend, ///< A caller that lost the upstream's answer sends again.
  TakeOverStale,  ///< A claim of another caller is taken over.
  GiveUpAfterSend ///< A claim is given up although the request was sent.
};

struct ModelOptions
{
  size_t callers = 2;
  Mutation mutation = Mutation::None;
};

struct ModelResult
{
  size_t states = 0;
  /// The first violations found, each with what was broken.
  std::vector<std::string> violations;
};

/// Explores every reachable state.
ModelResult
ExploreClaims(const ModelOptions& aOptions);

} // namespace sapphirewind::test
