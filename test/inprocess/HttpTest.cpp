#include <atomic>
#include <boost/test/unit_test.hpp>
#include <net/Connection.h>
#include <net/Server.h>
#include <rpc/JsonRpc.h>
#include <thread>
#include <tier/CallerApi.h>
#include <tier/Freshness.h>
#include <tier/PeerClient.h>

using namespace sapphirewind;
using namespace std::chrono_literals;

namespace {

net::Endpoint
Loopback(uint16_t aPort)
{
  return net::Endpoint{ .address = "127.0.0.1", .port = aPort };
}

}

BOOST_AUTO_TEST_SUITE(a_connection)

BOOST_AUTO_TEST_SUITE(whose_server_reads_the_request_and_resets)

BOOST_AUTO_TEST_CASE(sends_it_once_fresh_or_kept_alive)
{
  std::atomic<int> seen{ 0 };
  std::atomic<bool> cut{ false };
  net::Server server(net::ServerOptions{ .listen = Loopback(0) });
  server.Route("POST", "/run", [&](const net::Request&) {
    ++seen;
    net::Response response;
    response.dropConnection = cut;
    return response;
  });
  BOOST_REQUIRE(!server.Start());
  net::Request request{ .method = "POST", .path = "/run", .body = "{}" };
  for (bool warm : { false, true }) {
    seen = 0;
    cut = false;
    net::Connection connection(Loopback(server.Port()), net::ConnectionOptions{});
    if (warm) {
      BOOST_REQUIRE(connection.Send(request, 1s));
    }
    int before = seen;
    cut = true;
    base::Result<net::Response> answer = connection.Send(request, 1s);
    BOOST_REQUIRE(!answer);
    BOOST_TEST((answer.Error().code == net::Errc::ConnectionLost));
    BOOST_TEST(!net::FailedBeforeSending(answer.Error().code));
    std::this_thread::sleep_for(50ms);
    BOOST_TEST(seen == before + 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(to_nobody_proves_that_nothing_was_sent)
{
  net::Connection connection(Loopback(1), net::ConnectionOptions{});
  base::Result<net::Response> answer = connection.Send(net::Request{}, 1s);
  BOOST_REQUIRE(!answer);
  BOOST_TEST(net::FailedBeforeSending(answer.Error().code));
}

BOOST_AUTO_TEST_CASE(that_waits_in_vain_is_late_not_broken)
{
  net::Server server(net::ServerOptions{ .listen = Loopback(0) });
  server.Route("GET", "/slow", [](const net::Request&) {
    std::this_thread::sleep_for(400ms);
    return net::Response{};
  });
  BOOST_REQUIRE(!server.Start());
  for (int millis = 20; millis < 60; ++millis) {
    net::Connection connection(Loopback(server.Port()), net::ConnectionOptions{});
    base::Result<net::Response> answer = connection.Send(
      net::Request{ .path = "/slow" }, std::chrono::microseconds(millis * 1000 + 737));
    BOOST_REQUIRE(!answer);
    BOOST_TEST((answer.Error().code == net::Errc::TimedOut));
  }
}

BOOST_AUTO_TEST_CASE(can_be_given_up_from_another_thread)
{
  net::Server server(net::ServerOptions{ .listen = Loopback(0) });
  server.Route("GET", "/slow", [](const net::Request&) {
    std::this_thread::sleep_for(300ms);
    return net::Response{};
  });
  BOOST_REQUIRE(!server.Start());
  net::Connection connection(Loopback(server.Port()), net::ConnectionOptions{});
  std::thread other([&] {
    std::this_thread::sleep_for(50ms);
    connection.Abort();
  });
  base::Result<net::Response> answer = connection.Send(net::Request{ .path = "/slow" }, 5s);
  other.join();
  BOOST_REQUIRE(!answer);
  BOOST_TEST((answer.Error().code == net::Errc::Aborted));
  BOOST_TEST(!connection.IsReusable());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_server)

BOOST_AUTO_TEST_CASE(refuses_connections_above_its_limit_without_running_them)
{
  std::atomic<int> ran{ 0 };
  std::atomic<int> refused{ 0 };
  net::Server server(net::ServerOptions{ .listen = Loopback(0), .maxConnections = 1 });
  server.Route("GET", "/", [&](const net::Request&) {
    ++ran;
    return net::Response{};
  });
  server.OnConnectionRefused([&] { ++refused; });
  BOOST_REQUIRE(!server.Start());
  net::Connection first(Loopback(server.Port()), net::ConnectionOptions{});
  net::Connection second(Loopback(server.Port()), net::ConnectionOptions{});
  BOOST_REQUIRE(first.Send(net::Request{ .path = "/" }, 1s));
  base::Result<net::Response> answer = second.Send(net::Request{ .path = "/" }, 1s);
  BOOST_REQUIRE(answer);
  BOOST_TEST(answer->status == 503);
  BOOST_TEST(ran == 1);
  BOOST_TEST(refused == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_call_to_a_peer)

BOOST_AUTO_TEST_CASE(that_is_refused_is_told_from_one_that_was_lost)
{
  rpc::Dispatcher dispatcher;
  dispatcher.Register("echo", [](const Json::Value& aIn) { return aIn; });
  dispatcher.Register(
    "no", [](const Json::Value&) -> Json::Value { throw rpc::CallRefused("stopping"); });
  net::Server server(net::ServerOptions{ .listen = Loopback(0) });
  std::atomic<bool> cut{ false };
  server.Route("POST", "/rpc", [&](const net::Request& aIn) {
    net::Response response{ .status = 200, .body = dispatcher.Handle(aIn.body) };
    response.dropConnection = cut;
    return response;
  });
  BOOST_REQUIRE(!server.Start());
  std::string address = net::ToString(Loopback(server.Port()));
  tier::PeerClient peers;
  Json::Value body;
  body["x"] = 1;
  base::Result<Json::Value> echoed = peers.Call(address, "echo", body, {});
  BOOST_REQUIRE(echoed);
  BOOST_TEST((*echoed == body));
  BOOST_TEST((peers.Call(address, "no", body, {}).Error().code == tier::PeerErrc::Refused));
  BOOST_TEST((peers.Call(address, "unknown", body, {}).Error().code == tier::PeerErrc::Refused));
  cut = true;
  BOOST_TEST((peers.Call(address, "echo", body, {}).Error().code == tier::PeerErrc::Lost));
  BOOST_TEST(
    (peers.Call("127.0.0.1:1", "echo", body, {}).Error().code == tier::PeerErrc::Unreachable));
}

BOOST_AUTO_TEST_CASE(that_is_malformed_gets_the_standard_error)
{
  rpc::Dispatcher dispatcher;
  for (const char* text : { "", "{", "[]", "{\"jsonrpc\":\"2.0\"}", "\xff", "null" }) {
    BOOST_TEST(dispatcher.Handle(text).find("error") != std::string::npos);
  }
  BOOST_TEST(dispatcher.Handle(std::string(5000, '[')).find("error") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_callers_request)

BOOST_AUTO_TEST_CASE(that_cannot_be_read_is_refused_with_advice)
{
  struct Bad
  {
    std::string body;
    std::string advice;
  };
  for (const Bad& bad :
       { Bad{ "", "one JSON object" },
         Bad{ "[]", "one JSON object" },
         Bad{ std::string(300, '['), "one JSON object" },
         Bad{ "{\"query\":\"x\"}", "class" },
         Bad{ "{\"class\":\"c\",\"query\":\"\"}", "query" },
         Bad{ "{\"class\":\"c\",\"query\":\"q\",\"limit\":0}", "limit" },
         Bad{ "{\"class\":\"c\",\"query\":\"q\",\"offset\":99999}", "offset" },
         Bad{ "{\"class\":\"c\",\"query\":\"q\",\"weight\":1}", "unknown field" } }) {
    tier::BadRequest refused;
    BOOST_TEST(!tier::ParseSearch(net::Request{ .method = "POST", .body = bad.body }, refused));
    BOOST_TEST(refused.detail.find(bad.advice) != std::string::npos, refused.detail);
    net::Response response = tier::ToResponse(refused);
    BOOST_TEST(response.status == 400);
    BOOST_TEST(response.body.find("\"not_run\"") != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(with_side_effects_needs_a_key)
{
  tier::BadRequest refused;
  net::Request request{ .method = "POST",
                        .body = "{\"class\":\"c\",\"subject\":\"s\",\"booking\":{\"slot\":1}}" };
  BOOST_TEST(!tier::ParseBooking(request, refused));
  BOOST_TEST((refused.error == model::Errc::MissingKey));
  request.headers.push_back({ "idempotency-key", "k" });
  BOOST_TEST(tier::ParseBooking(request, refused).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_process_that_stood_still)

BOOST_AUTO_TEST_CASE(holds_its_work_until_it_has_asked_anew)
{
  base::Instant start = base::Now() - 10s;
  tier::Freshness freshness(start);
  BOOST_TEST(freshness.Tick(base::Now()));
  BOOST_TEST(freshness.IsStale());
  freshness.OnRefreshed(tier::Source::Peers, start);
  freshness.OnRefreshed(tier::Source::Servers, start);
  BOOST_TEST(freshness.IsStale());
  freshness.OnRefreshed(tier::Source::Peers, base::Now());
  BOOST_TEST(freshness.IsStale());
  freshness.OnRefreshed(tier::Source::Servers, base::Now());
  BOOST_TEST(!freshness.IsStale());
  BOOST_TEST(!freshness.Pass());
  // A thread that chose a server before the freeze and is scheduled only now sees that it must
  // choose anew.
  BOOST_TEST(freshness.Epoch() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
