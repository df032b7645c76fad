/// @file A model of callers that send the same protected request. The model checker explores every
/// interleaving of their steps.
///
/// Each caller follows the booking path and uses claims::Apply of the production code: it reads the
/// bucket, writes it conditionally, sends the request, and settles or releases the claim. A read
/// may return an old version, the response to a write may be lost whether or not the write was
/// applied, a send may fail or lose its response, and a caller may crash at any step. A caller that
/// is not scheduled models a suspended process.
#pragma once

#include <claims/Bucket.h>
#include <cstddef>
#include <string>
#include <vector>

namespace sapphirewind::test {

/// Deliberate faults of the model. They verify that the checks detect violations.
enum class Mutation
{
  None,
  AssumeLostWriteSucceeded, ///< Treats a write with a lost response as granted, without reading it
                            ///< back.
  RetryAfterSend,           ///< Retries after the upstream's response is lost.
  OverwriteForeignClaim,    ///< Replaces another caller's claim.
  ReleaseAfterSend          ///< Releases the claim although the request was sent.
};

struct ModelOptions
{
  size_t callers = 2;
  Mutation mutation = Mutation::None;
};

struct ModelResult
{
  size_t states = 0;
  /// Descriptions of the first violations found.
  std::vector<std::string> violations;
};

/// Explores every reachable state and checks the at-most-once guarantee in each.
ModelResult
ExploreClaims(const ModelOptions& aOptions);

} // namespace sapphirewind::test
