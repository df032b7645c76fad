#include <boost/test/unit_test.hpp>
#include <claims/Bucket.h>

using namespace sapphirewind;
using namespace sapphirewind::claims;

namespace {

Operation
MakeOperation(OperationKind aKind, const std::string& aNonce, uint64_t aBody = 1)
{
  return Operation{
    .kind = aKind, .key = "k", .nonce = aNonce, .holder = "i1", .bodyHash = aBody, .atMillis = 1000
  };
}

}

BOOST_AUTO_TEST_SUITE(an_idempotency_key)

BOOST_AUTO_TEST_CASE(is_granted_to_one_nonce_however_often_the_operation_is_repeated)
{
  Bucket bucket;
  BOOST_TEST(
    (Apply(bucket, MakeOperation(OperationKind::Acquire, "n1")).verdict == Verdict::Granted));
  BOOST_TEST(
    (Apply(bucket, MakeOperation(OperationKind::Acquire, "n1")).verdict == Verdict::Granted));
  BOOST_TEST((Apply(bucket, MakeOperation(OperationKind::Acquire, "n2")).verdict ==
              Verdict::OutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(is_rejected_with_a_different_body)
{
  Bucket bucket;
  Apply(bucket, MakeOperation(OperationKind::Acquire, "n1", 1));
  BOOST_TEST(
    (Apply(bucket, MakeOperation(OperationKind::Acquire, "n2", 2)).verdict == Verdict::KeyReused));
}

BOOST_AUTO_TEST_CASE(replays_the_receipt_of_a_request_that_ran)
{
  Bucket bucket;
  Apply(bucket, MakeOperation(OperationKind::Acquire, "n1"));
  Operation settle = MakeOperation(OperationKind::Settle, "n1");
  settle.outcome = model::Outcome::Ran;
  settle.receipt = "receipt-1";
  Apply(bucket, settle);
  OperationResult repeated = Apply(bucket, MakeOperation(OperationKind::Acquire, "n2"));
  BOOST_TEST((repeated.verdict == Verdict::Replay));
  BOOST_TEST(repeated.receipt == "receipt-1");
}

BOOST_AUTO_TEST_SUITE(is_released)

BOOST_AUTO_TEST_CASE(by_its_holder_only)
{
  Bucket bucket;
  Apply(bucket, MakeOperation(OperationKind::Acquire, "n1"));
  BOOST_TEST(
    (Apply(bucket, MakeOperation(OperationKind::Release, "n2")).verdict == Verdict::NotHolder));
  BOOST_TEST(
    (Apply(bucket, MakeOperation(OperationKind::Release, "n1")).verdict == Verdict::Recorded));
  BOOST_TEST(
    (Apply(bucket, MakeOperation(OperationKind::Acquire, "n2")).verdict == Verdict::Granted));
}

BOOST_AUTO_TEST_CASE(never_after_it_is_settled)
{
  Bucket bucket;
  Apply(bucket, MakeOperation(OperationKind::Acquire, "n1"));
  Apply(bucket, MakeOperation(OperationKind::Settle, "n1"));
  BOOST_TEST(
    (Apply(bucket, MakeOperation(OperationKind::Release, "n1")).verdict == Verdict::NotHolder));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(is_kept_for_the_retention_period_even_when_the_bucket_is_full)
{
  Bucket bucket;
  for (size_t index = 0; index < kMaxClaimsPerBucket; ++index) {
    Operation acquire = MakeOperation(OperationKind::Acquire, "n");
    acquire.key = "k" + std::to_string(index);
    Apply(bucket, acquire);
  }
  Operation oneMore = MakeOperation(OperationKind::Acquire, "n");
  oneMore.key = "one more";
  Prune(bucket, 1000 + kRetentionMillis);
  BOOST_TEST((Apply(bucket, oneMore).verdict == Verdict::Full));
  Prune(bucket, 1001 + kRetentionMillis);
  BOOST_TEST((Apply(bucket, oneMore).verdict == Verdict::Granted));
}

BOOST_AUTO_TEST_CASE(round_trips_through_json)
{
  Bucket bucket;
  Operation acquire = MakeOperation(OperationKind::Acquire, "n1", 0xFFFFFFFFFFFFFFFFULL);
  Apply(bucket, acquire);
  BOOST_TEST((BucketFromJson(ToJson(bucket)) == bucket));
  BOOST_TEST((OperationFromJson(ToJson(acquire)) == acquire));
  BOOST_TEST(!BucketFromJson(Json::Value("text")));
}

BOOST_AUTO_TEST_SUITE_END()
