#include <boost/test/unit_test.hpp>
#include <directory/RouteTable.h>

using namespace sapphirewind::directory;

namespace {

Configuration
TwoHosts()
{
  return Configuration{ .version = 3,
                        .routes = { { .name = "short", .host = "a.example", .pathPrefix = "/x/" },
                                    { .name = "long", .host = "a.example", .pathPrefix = "/x/y/" },
                                    { .name = "other", .host = "b.example", .pathPrefix = "/" } },
                        .services = { { "s", { .name = "s", .maxConnections = 30 } } } };
}

std::string
NameOf(const Route* aRoute)
{
  return aRoute == nullptr ? "none" : aRoute->name;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_route_table)

BOOST_AUTO_TEST_SUITE(finds_a_route)

BOOST_AUTO_TEST_CASE(by_the_longest_prefix_of_the_host)
{
  RouteTable table(TwoHosts());
  BOOST_TEST(NameOf(table.Find("a.example", "/x/y/z")) == "long");
  BOOST_TEST(NameOf(table.Find("a.example", "/x/z/y/")) == "short");
  BOOST_TEST(NameOf(table.Find("b.example", "/x/y/")) == "other");
}

BOOST_AUTO_TEST_CASE(ignoring_case_and_port_of_the_host)
{
  RouteTable table(TwoHosts());
  BOOST_TEST(NameOf(table.Find("A.Example:8080", "/x/1")) == "short");
}

BOOST_AUTO_TEST_CASE(ignoring_the_query_string)
{
  RouteTable table(TwoHosts());
  BOOST_TEST(NameOf(table.Find("a.example", "/x/1?q=/x/y/")) == "short");
  BOOST_TEST(NameOf(table.Find("a.example", "/x?/x/y/")) == "none");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(finds_nothing_for_unknown_hosts_and_prefixes_without_trailing_slash)
{
  RouteTable table(TwoHosts());
  BOOST_TEST(NameOf(table.Find("c.example", "/x/y/")) == "none");
  BOOST_TEST(NameOf(table.Find("a.example", "/x")) == "none");
  BOOST_TEST(NameOf(table.Find("a.example", "")) == "none");
  BOOST_TEST(table.FindService("t") == nullptr);
  BOOST_TEST(table.FindService("s")->maxConnections == 30U);
}

BOOST_AUTO_TEST_SUITE_END()
