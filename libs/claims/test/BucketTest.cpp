#include <boost/test/unit_test.hpp>
#include <claims/Bucket.h>

using namespace sapphirewind;
using namespace sapphirewind::claims;

namespace {

Operation
Make(OperationKind aKind, const std::string& aNonce, uint64_t aBody = 1)
{
  return Operation{
    .kind = aKind, .key = "k", .nonce = aNonce, .holder = "i1", .bodyHash = aBody, .atMillis = 1000
  };
}

}

BOOST_AUTO_TEST_SUITE(a_key)

BOOST_AUTO_TEST_CASE(is_granted_once_however_often_the_same_try_is_repeated)
{
  Bucket bucket;
  BOOST_TEST((Apply(bucket, Make(OperationKind::Acquire, "n1")).verdict == Verdict::Granted));
  BOOST_TEST((Apply(bucket, Make(OperationKind::Acquire, "n1")).verdict == Verdict::Granted));
  BOOST_TEST(
    (Apply(bucket, Make(OperationKind::Acquire, "n2")).verdict == Verdict::OutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(with_another_body_is_refused)
{
  Bucket bucket;
  Apply(bucket, Make(OperationKind::Acquire, "n1", 1));
  BOOST_TEST((Apply(bucket, Make(OperationKind::Acquire, "n2", 2)).verdict == Verdict::KeyReused));
}

BOOST_AUTO_TEST_CASE(that_ran_replays_its_receipt)
{
  Bucket bucket;
  Apply(bucket, Make(OperationKind::Acquire, "n1"));
  Operation settle = Make(OperationKind::Settle, "n1");
  settle.outcome = model::Outcome::Ran;
  settle.receipt = "paper";
  Apply(bucket, settle);
  OperationResult again = Apply(bucket, Make(OperationKind::Acquire, "n2"));
  BOOST_TEST((again.verdict == Verdict::Replay));
  BOOST_TEST(again.receipt == "paper");
}

BOOST_AUTO_TEST_SUITE(is_given_up)

BOOST_AUTO_TEST_CASE(by_its_holder_only)
{
  Bucket bucket;
  Apply(bucket, Make(OperationKind::Acquire, "n1"));
  BOOST_TEST((Apply(bucket, Make(OperationKind::Release, "n2")).verdict == Verdict::NotHolder));
  BOOST_TEST((Apply(bucket, Make(OperationKind::Release, "n1")).verdict == Verdict::Recorded));
  BOOST_TEST((Apply(bucket, Make(OperationKind::Acquire, "n2")).verdict == Verdict::Granted));
}

BOOST_AUTO_TEST_CASE(never_once_it_is_settled)
{
  Bucket bucket;
  Apply(bucket, Make(OperationKind::Acquire, "n1"));
  Apply(bucket, Make(OperationKind::Settle, "n1"));
  BOOST_TEST((Apply(bucket, Make(OperationKind::Release, "n1")).verdict == Verdict::NotHolder));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(is_remembered_for_the_stated_time_and_a_full_bucket_forgets_nothing_early)
{
  Bucket bucket;
  for (size_t index = 0; index < kMaxClaimsPerBucket; ++index) {
    Operation take = Make(OperationKind::Acquire, "n");
    take.key = "k" + std::to_string(index);
    Apply(bucket, take);
  }
  Operation more = Make(OperationKind::Acquire, "n");
  more.key = "one more";
  Prune(bucket, 1000 + kRetentionMillis);
  BOOST_TEST((Apply(bucket, more).verdict == Verdict::Full));
  Prune(bucket, 1001 + kRetentionMillis);
  BOOST_TEST((Apply(bucket, more).verdict == Verdict::Granted));
}

BOOST_AUTO_TEST_CASE(survives_being_written_and_read)
{
  Bucket bucket;
  Operation take = Make(OperationKind::Acquire, "n1", 0xFFFFFFFFFFFFFFFFULL);
  Apply(bucket, take);
  BOOST_TEST((BucketFromJson(ToJson(bucket)) == bucket));
  BOOST_TEST((OperationFromJson(ToJson(take)) == take));
  BOOST_TEST(!BucketFromJson(Json::Value("text")));
}

BOOST_AUTO_TEST_SUITE_END()
