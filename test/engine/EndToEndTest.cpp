#include "EngineFixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fakes/Mutation.h>
#include <set>
#include <sstream>

using namespace sapphirewind;
using namespace sapphirewind::test;
using namespace std::chrono_literals;
namespace http = engine::http;

namespace {

struct ReadyFixture : EngineFixture
{
  ReadyFixture()
  {
    this->StartInstance();
    BOOST_REQUIRE(this->AwaitReady());
  }

  /// Whether the instance serves the route /marked/, which only ApplyConfiguration adds.
  bool ServesMarkedRoute()
  {
    auto response = this->Connect().Exchange({ .target = "/marked/1", .id = "mark" });
    return response && response->result_int() == 200U;
  }

  /// Stores a configuration with the route /marked/ added and waits until the instance applies it.
  void ApplyConfiguration(uint64_t aVersion, const std::function<void(Json::Value&)>& aChange)
  {
    this->Configure(aVersion, [&](Json::Value& aRoot) {
      aChange(aRoot);
      Json::Value marked = aRoot["routes"][1];
      marked["name"] = "marked";
      marked["path_prefix"] = "/marked/";
      aRoot["routes"].append(marked);
    });
    BOOST_REQUIRE(Await([this] { return this->ServesMarkedRoute(); }));
  }
};

/// The records that a response to a query must contain when all shards but aMissing have answered.
std::string
ExpectedRecords(const std::string& aTarget, const std::set<std::string>& aMissing = {})
{
  std::vector<std::string> records;
  for (size_t shard = 0; shard < EngineFixture::kShards; ++shard) {
    std::string service = "s" + std::to_string(shard);
    std::string part = fakes::SearchServer::RecordsOf(service, aTarget);
    for (size_t at = 0; aMissing.count(service) == 0 && at + 16 <= part.size(); at += 16) {
      records.push_back(part.substr(at, 16));
    }
  }
  std::sort(records.rbegin(), records.rend());
  std::string expected;
  for (size_t index = 0; index < 5; ++index) {
    expected += records[index];
  }
  return expected;
}

std::set<std::string>
ServicesIn(const engine::HttpResponse& aResponse)
{
  std::set<std::string> services;
  std::stringstream stamps(Header(aResponse, "Sapphirewind-Part-Stamps"));
  std::string stamp;
  while (std::getline(stamps, stamp, ',')) {
    size_t from = stamp.find_first_not_of(' ');
    services.insert(stamp.substr(from, stamp.find('.') - from));
  }
  return services;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_query, ReadyFixture)

BOOST_AUTO_TEST_CASE(is_answered_with_full_coverage_from_all_shards)
{
  auto response = this->Connect().Exchange({ .target = "/q/1" });
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->result_int() == 200U);
  BOOST_TEST(response->body() == ExpectedRecords("/q/1"));
  BOOST_TEST(ServicesIn(*response).size() == kShards);
  BOOST_TEST(Header(*response, "Sapphirewind-Missing-Parts") == "0");
}

BOOST_AUTO_TEST_SUITE(with_a_shard_that_cannot_answer)

BOOST_AUTO_TEST_CASE(reports_the_missing_part_and_covers_the_others)
{
  this->ForEachServerOf("s3", [](fakes::SearchServer& aServer) { aServer.SetDown(true); });
  auto response = this->Connect().Exchange({ .target = "/q/2" });
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->result_int() == 200U);
  BOOST_TEST(response->body() == ExpectedRecords("/q/2", { "s3" }));
  BOOST_TEST(ServicesIn(*response).count("s3") == 0U);
  BOOST_TEST(Header(*response, "Sapphirewind-Missing-Parts") == "1");
}

BOOST_AUTO_TEST_CASE(fails_below_the_minimum_coverage)
{
  for (const char* shard : { "s1", "s2", "s3" }) {
    this->ForEachServerOf(shard, [](fakes::SearchServer& aServer) {
      aServer.SetBehaviour({ .failProbability = 1.0 });
    });
  }
  auto response = this->Connect().Exchange({ .target = "/q/3" });
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->result_int() == 502U);
  BOOST_TEST(Header(*response, "Sapphirewind-Part-Stamps").empty());
}

BOOST_AUTO_TEST_CASE(does_not_count_an_error_response_as_a_part)
{
  this->ForEachServerOf(
    "s4", [](fakes::SearchServer& aServer) { aServer.SetBehaviour({ .failProbability = 1.0 }); });
  auto response = this->Connect().Exchange({ .target = "/q/4" });
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->result_int() == 200U);
  BOOST_TEST(ServicesIn(*response).count("s4") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(is_hedged_to_a_second_server_when_the_first_is_unresponsive)
{
  this->ServerOf("s5", 0).SetBehaviour({ .unresponsive = true });
  auto response = this->Connect().Exchange({ .target = "/q/5" });
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(ServicesIn(*response).count("s5") == 1U);
  BOOST_TEST(this->ServerOf("s5", 1).Arrivals() > 0U);
}

BOOST_AUTO_TEST_CASE(merges_no_truncated_or_duplicate_responses)
{
  for (const auto& server : this->servers) {
    server->SetBehaviour({ .truncateProbability = 0.1, .extraAnswerProbability = 0.2 });
  }
  Caller caller = this->Connect();
  for (int query = 0; query < 40; ++query) {
    std::string target = "/q/mixed" + std::to_string(query);
    auto response = caller.Exchange({ .target = target, .id = "mixed-" + std::to_string(query) });
    BOOST_REQUIRE(response.has_value());
    if (response->result_int() != 200) {
      continue;
    }
    std::set<std::string> missing;
    std::set<std::string> covered = ServicesIn(*response);
    for (size_t shard = 0; shard < kShards; ++shard) {
      std::string service = "s" + std::to_string(shard);
      if (covered.count(service) == 0) {
        missing.insert(service);
      }
    }
    BOOST_TEST(response->body() == ExpectedRecords(target, missing));
    BOOST_TEST(Header(*response, "Sapphirewind-Missing-Parts") == std::to_string(missing.size()));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_plain_request, ReadyFixture)

BOOST_AUTO_TEST_CASE(receives_the_response_of_its_server_unchanged)
{
  auto response = this->Connect().Exchange({ .target = "/p/1", .id = "plain" });
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->result_int() == 200U);
  BOOST_TEST(response->body() == fakes::SearchServer::RecordsOf("p", "/p/1"));
  BOOST_TEST(!Header(*response, "Sapphirewind-Server-Stamp").empty());
}

BOOST_AUTO_TEST_CASE(is_retried_after_a_lost_response_if_idempotent)
{
  this->ServerOf("p", 0).SetBehaviour({ .resetProbability = 1.0 });
  // Servers are selected by expected latency, so several requests may pass before one reaches this
  // server.
  int request = 0;
  auto executedTwice = [&] {
    std::string id = "again-" + std::to_string(request++);
    auto response = this->Connect().Exchange({ .target = "/p/1", .id = id });
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->result_int() == 200U);
    return this->RunsOf(id) == 2;
  };
  BOOST_TEST(Await(executedTwice));
}

BOOST_AUTO_TEST_CASE(is_never_answered_with_an_unsigned_or_foreign_response)
{
  // Only the head is damaged: damage to the body is detected by the caller, from the signature.
  base::Random random = fakes::fuzz::MakeRandom();
  auto damageHead = [&random](const std::string& aResponse) {
    size_t body = aResponse.find("\r\n\r\n") + 4;
    return fakes::fuzz::Mutate(aResponse.substr(0, body), random) + aResponse.substr(body);
  };
  this->ForEachServerOf("p", [&](fakes::SearchServer& aServer) {
    aServer.SetBehaviour({ .mutateAnswer = damageHead });
  });
  size_t forwarded = 0;
  for (int round = 0; round < fakes::fuzz::Rounds(); ++round) {
    std::string id = "damaged-" + std::to_string(round);
    auto response = this->Connect().Exchange({ .target = "/p/1", .id = id, .deadlineMs = 100 });
    BOOST_REQUIRE(response.has_value());
    if (response->result_int() != 200) {
      continue;
    }
    ++forwarded;
    std::string echoed = Header(*response, "Sapphirewind-Request-Id");
    BOOST_TEST((echoed.empty() || echoed == id));
    BOOST_TEST(!Header(*response, "Sapphirewind-Server-Stamp").empty());
    BOOST_TEST(response->count(http::field::content_encoding) == 0U);
  }
  BOOST_TEST(forwarded > 0U);
  this->ForEachServerOf("p", [](fakes::SearchServer& aServer) { aServer.SetBehaviour({}); });
  BOOST_TEST(Await([this] {
    auto response = this->Connect().Exchange({ .target = "/p/1", .id = "sound" });
    return response && response->body() == fakes::SearchServer::RecordsOf("p", "/p/1");
  }));
}

BOOST_AUTO_TEST_SUITE(that_is_not_idempotent)

BOOST_AUTO_TEST_CASE(is_executed_once_and_fails_with_502_when_its_response_is_lost)
{
  this->ForEachServerOf(
    "p", [](fakes::SearchServer& aServer) { aServer.SetBehaviour({ .resetProbability = 1.0 }); });
  auto response =
    this->Connect().Exchange({ .target = "/b/1", .id = "once", .method = "POST", .body = "two" });
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->result_int() == 502U);
  BOOST_TEST(this->RunsOf("once") == 1);
}

BOOST_AUTO_TEST_CASE(is_refused_with_retry_after_when_no_server_executed_it)
{
  this->ForEachServerOf(
    "p", [](fakes::SearchServer& aServer) { aServer.SetBehaviour({ .shedProbability = 1.0 }); });
  auto response =
    this->Connect().Exchange({ .target = "/b/1", .id = "none", .method = "POST", .body = "two" });
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->result_int() == 503U);
  BOOST_TEST(!Header(*response, "Retry-After").empty());
  BOOST_TEST(this->RunsOf("none") == 0);
}

BOOST_AUTO_TEST_CASE(is_retried_after_a_not_executed_refusal)
{
  this->ServerOf("p", 0).SetBehaviour({ .shedProbability = 1.0 });
  for (int request = 0; request < 6; ++request) {
    std::string id = "on-" + std::to_string(request);
    auto response =
      this->Connect().Exchange({ .target = "/b/1", .id = id, .method = "POST", .body = "two" });
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->result_int() == 200U);
    BOOST_TEST(this->RunsOf(id) == 1);
  }
}

BOOST_AUTO_TEST_CASE(times_out_with_504_when_the_servers_are_unresponsive)
{
  this->Configure(2, [](Json::Value& aRoot) { aRoot["routes"][2]["timeout_ms"] = 300; });
  this->ForEachServerOf(
    "p", [](fakes::SearchServer& aServer) { aServer.SetBehaviour({ .unresponsive = true }); });
  BOOST_TEST(Await([this] {
    auto response = this->Connect().Exchange(
      { .target = "/b/1", .id = "late", .method = "POST", .body = "two", .deadlineMs = 60000 });
    return response && response->result_int() == 504U;
  }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(is_cancelled_at_the_server_when_its_caller_disconnects)
{
  this->ApplyConfiguration(2,
                           [](Json::Value& aRoot) { aRoot["routes"][1]["timeout_ms"] = 600'000; });
  // Neither a response nor the request's deadline may end the request before the test does.
  for (const auto& server : this->servers) {
    server->SetBehaviour({ .serviceTime = 10 * Caller::kTimeout });
  }
  Caller caller = this->Connect();
  caller.Send(SerializeRequest({ .target = "/p/1", .id = "leaver", .deadlineMs = 600'000 }));
  BOOST_TEST(Await([this] { return this->RunsOf("leaver") >= 1; }));
  caller.Close();
  auto abandoned = [this] {
    return this->ServerOf("p", 0).Abandoned("leaver") + this->ServerOf("p", 1).Abandoned("leaver");
  };
  BOOST_TEST(Await([&] { return abandoned() == this->RunsOf("leaver"); }));
  BOOST_TEST(this->RunsOf("leaver") >= 1);
}

BOOST_AUTO_TEST_CASE(is_not_executed_by_another_server_at_a_reused_address)
{
  this->store.Remove("servers", "p-a");
  this->store.Remove("servers", "p-b");
  Json::Value entry;
  entry["service"] = "p";
  entry["version"] = "v1";
  entry["seq"] = 1;
  entry["address"] = this->ServerOf("s0", 0).Address();
  entry["zone"] = "a";
  entry["slots"] = 1;
  entry["state"] = "ready";
  entry["cold_remaining_ms"] = 0;
  this->store.Put("servers", "p-old", entry);
  BOOST_TEST(Await([this] {
    auto response = this->Connect().Exchange({ .target = "/p/1", .id = "moved" });
    return response && response->result_int() == 503U;
  }));
  BOOST_TEST(this->ServerOf("s0", 0).Runs().count("moved") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
