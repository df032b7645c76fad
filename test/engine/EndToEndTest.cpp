#include "EngineFixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fakes/Damage.h>
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

  /// Whether the instance serves a version, seen on a route that exists only from it on.
  bool ServesMarkedVersion()
  {
    auto answer = this->Connect().Exchange({ .target = "/marked/1", .id = "mark" });
    return answer && answer->result_int() == 200U;
  }

  /// Puts a version with a marked route into force.
  void BringIntoForce(uint64_t aVersion, const std::function<void(Json::Value&)>& aChange)
  {
    this->Configure(aVersion, [&](Json::Value& aRoot) {
      aChange(aRoot);
      Json::Value marked = aRoot["routes"][1];
      marked["name"] = "marked";
      marked["path_prefix"] = "/marked/";
      aRoot["routes"].append(marked);
    });
    BOOST_REQUIRE(Await([this] { return this->ServesMarkedVersion(); }));
  }
};

/// The records that a whole answer to a query must hold.
std::string
ExpectedRecords(const std::string& aTarget, const std::set<std::string>& aWithout = {})
{
  std::vector<std::string> records;
  for (size_t shard = 0; shard < EngineFixture::kShards; ++shard) {
    std::string service = "s" + std::to_string(shard);
    std::string part = fakes::SearchServer::RecordsOf(service, aTarget);
    for (size_t at = 0; aWithout.count(service) == 0 && at + 16 <= part.size(); at += 16) {
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

BOOST_AUTO_TEST_CASE(is_answered_whole_from_all_shards)
{
  auto answer = this->Connect().Exchange({ .target = "/q/1" });
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(answer->result_int() == 200U);
  BOOST_TEST(answer->body() == ExpectedRecords("/q/1"));
  BOOST_TEST(ServicesIn(*answer).size() == kShards);
  BOOST_TEST(Header(*answer, "Sapphirewind-Missing-Parts") == "0");
}

BOOST_AUTO_TEST_SUITE(with_a_shard_that_cannot_answer)

BOOST_AUTO_TEST_CASE(says_so_and_covers_the_others)
{
  this->ForEachServerOf("s3", [](fakes::SearchServer& aServer) { aServer.SetDown(true); });
  auto answer = this->Connect().Exchange({ .target = "/q/2" });
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(answer->result_int() == 200U);
  BOOST_TEST(answer->body() == ExpectedRecords("/q/2", { "s3" }));
  BOOST_TEST(ServicesIn(*answer).count("s3") == 0U);
  BOOST_TEST(Header(*answer, "Sapphirewind-Missing-Parts") == "1");
}

BOOST_AUTO_TEST_CASE(is_no_answer_below_the_least_coverage)
{
  for (const char* shard : { "s1", "s2", "s3" }) {
    this->ForEachServerOf(
      shard, [](fakes::SearchServer& aServer) { aServer.SetBehaviour({ .fail = 1.0 }); });
  }
  auto answer = this->Connect().Exchange({ .target = "/q/3" });
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(answer->result_int() == 502U);
  BOOST_TEST(Header(*answer, "Sapphirewind-Part-Stamps").empty());
}

BOOST_AUTO_TEST_CASE(takes_no_servers_failure_for_a_part)
{
  this->ForEachServerOf(
    "s4", [](fakes::SearchServer& aServer) { aServer.SetBehaviour({ .fail = 1.0 }); });
  auto answer = this->Connect().Exchange({ .target = "/q/4" });
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(answer->result_int() == 200U);
  BOOST_TEST(ServicesIn(*answer).count("s4") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(asks_a_second_server_when_the_first_is_silent)
{
  this->ServerOf("s5", 0).SetBehaviour({ .silent = true });
  auto answer = this->Connect().Exchange({ .target = "/q/5" });
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(ServicesIn(*answer).count("s5") == 1U);
  BOOST_TEST(this->ServerOf("s5", 1).Arrivals() > 0U);
}

BOOST_AUTO_TEST_CASE(survives_broken_off_and_doubled_answers_unmixed)
{
  for (const auto& server : this->servers) {
    server->SetBehaviour({ .truncate = 0.1, .extraAnswer = 0.2 });
  }
  Caller caller = this->Connect();
  for (int query = 0; query < 40; ++query) {
    std::string target = "/q/mixed" + std::to_string(query);
    auto answer = caller.Exchange({ .target = target, .id = "mixed-" + std::to_string(query) });
    BOOST_REQUIRE(answer.has_value());
    if (answer->result_int() != 200) {
      continue;
    }
    std::set<std::string> without;
    std::set<std::string> in = ServicesIn(*answer);
    for (size_t shard = 0; shard < kShards; ++shard) {
      std::string service = "s" + std::to_string(shard);
      if (in.count(service) == 0) {
        without.insert(service);
      }
    }
    BOOST_TEST(answer->body() == ExpectedRecords(target, without));
    BOOST_TEST(Header(*answer, "Sapphirewind-Missing-Parts") == std::to_string(without.size()));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_plain_request, ReadyFixture)

BOOST_AUTO_TEST_CASE(gets_its_servers_answer_unchanged)
{
  auto answer = this->Connect().Exchange({ .target = "/p/1", .id = "plain" });
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(answer->result_int() == 200U);
  BOOST_TEST(answer->body() == fakes::SearchServer::RecordsOf("p", "/p/1"));
  BOOST_TEST(!Header(*answer, "Sapphirewind-Server-Stamp").empty());
}

BOOST_AUTO_TEST_CASE(is_sent_again_after_a_lost_answer_if_it_may_be_repeated)
{
  this->ServerOf("p", 0).SetBehaviour({ .loseAnswer = 1.0 });
  // Servers are chosen by expected latency, so a few requests go by until one meets this server.
  int request = 0;
  auto ranTwice = [&] {
    std::string id = "again-" + std::to_string(request++);
    auto answer = this->Connect().Exchange({ .target = "/p/1", .id = id });
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->result_int() == 200U);
    return this->RunsOf(id) == 2;
  };
  BOOST_TEST(Await(ranTwice));
}

BOOST_AUTO_TEST_CASE(passes_nothing_on_that_is_no_signed_answer_to_it)
{
  // The damage leaves the body's bytes alone, which only the caller can judge by the signature.
  base::Random random = fakes::fuzz::MakeRandom();
  auto damageHead = [&random](const std::string& aAnswer) {
    size_t body = aAnswer.find("\r\n\r\n") + 4;
    return fakes::fuzz::Damage(aAnswer.substr(0, body), random) + aAnswer.substr(body);
  };
  this->ForEachServerOf(
    "p", [&](fakes::SearchServer& aServer) { aServer.SetBehaviour({ .damage = damageHead }); });
  size_t passedOn = 0;
  for (int round = 0; round < fakes::fuzz::Rounds(); ++round) {
    std::string id = "damaged-" + std::to_string(round);
    auto answer = this->Connect().Exchange({ .target = "/p/1", .id = id, .deadlineMs = 100 });
    BOOST_REQUIRE(answer.has_value());
    if (answer->result_int() != 200) {
      continue;
    }
    ++passedOn;
    std::string echoed = Header(*answer, "Sapphirewind-Request-Id");
    BOOST_TEST((echoed.empty() || echoed == id));
    BOOST_TEST(!Header(*answer, "Sapphirewind-Server-Stamp").empty());
    BOOST_TEST(answer->count(http::field::content_encoding) == 0U);
  }
  BOOST_TEST(passedOn > 0U);
  this->ForEachServerOf("p", [](fakes::SearchServer& aServer) { aServer.SetBehaviour({}); });
  BOOST_TEST(Await([this] {
    auto answer = this->Connect().Exchange({ .target = "/p/1", .id = "sound" });
    return answer && answer->body() == fakes::SearchServer::RecordsOf("p", "/p/1");
  }));
}

BOOST_AUTO_TEST_SUITE(that_may_run_once)

BOOST_AUTO_TEST_CASE(runs_once_and_is_told_so_when_its_answer_is_lost)
{
  this->ForEachServerOf(
    "p", [](fakes::SearchServer& aServer) { aServer.SetBehaviour({ .loseAnswer = 1.0 }); });
  auto answer =
    this->Connect().Exchange({ .target = "/b/1", .id = "once", .method = "POST", .body = "two" });
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(answer->result_int() == 502U);
  BOOST_TEST(this->RunsOf("once") == 1);
}

BOOST_AUTO_TEST_CASE(is_refused_truly_when_no_server_ran_it)
{
  this->ForEachServerOf(
    "p", [](fakes::SearchServer& aServer) { aServer.SetBehaviour({ .shed = 1.0 }); });
  auto answer =
    this->Connect().Exchange({ .target = "/b/1", .id = "none", .method = "POST", .body = "two" });
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(answer->result_int() == 503U);
  BOOST_TEST(!Header(*answer, "Retry-After").empty());
  BOOST_TEST(this->RunsOf("none") == 0);
}

BOOST_AUTO_TEST_CASE(is_sent_on_after_a_refusal_that_says_it_did_not_run)
{
  this->ServerOf("p", 0).SetBehaviour({ .shed = 1.0 });
  for (int request = 0; request < 6; ++request) {
    std::string id = "on-" + std::to_string(request);
    auto answer =
      this->Connect().Exchange({ .target = "/b/1", .id = id, .method = "POST", .body = "two" });
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->result_int() == 200U);
    BOOST_TEST(this->RunsOf(id) == 1);
  }
}

BOOST_AUTO_TEST_CASE(is_answered_unknown_at_its_timeout_when_the_server_is_silent)
{
  this->Configure(2, [](Json::Value& aRoot) { aRoot["routes"][2]["timeout_ms"] = 300; });
  this->ForEachServerOf(
    "p", [](fakes::SearchServer& aServer) { aServer.SetBehaviour({ .silent = true }); });
  BOOST_TEST(Await([this] {
    auto answer = this->Connect().Exchange(
      { .target = "/b/1", .id = "late", .method = "POST", .body = "two", .deadlineMs = 60000 });
    return answer && answer->result_int() == 504U;
  }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(is_cancelled_at_the_server_when_its_caller_leaves)
{
  this->BringIntoForce(2, [](Json::Value& aRoot) { aRoot["routes"][1]["timeout_ms"] = 600'000; });
  // Neither the servers nor the request's own end come before the test gives up.
  for (const auto& server : this->servers) {
    server->SetBehaviour({ .work = 10 * Caller::kTimeout });
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

BOOST_AUTO_TEST_CASE(is_not_sent_where_another_server_took_the_address)
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
    auto answer = this->Connect().Exchange({ .target = "/p/1", .id = "moved" });
    return answer && answer->result_int() == 503U;
  }));
  BOOST_TEST(this->ServerOf("s0", 0).Runs().count("moved") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
