#include "EngineFixture.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

using namespace sapphirewind;
using namespace sapphirewind::test;

namespace {

/// The metric names on a metrics page and the values of their labels with a fixed set of values.
std::set<std::string>
ServedSeries(const std::string& aPage)
{
  std::set<std::string> series;
  std::regex type("# TYPE (\\w+) ");
  for (std::sregex_iterator at(aPage.begin(), aPage.end(), type), end; at != end; ++at) {
    series.insert((*at)[1].str());
  }
  std::regex labelled("(\\w+)\\{(event|of|state)=\"(\\w+)\"\\}");
  for (std::sregex_iterator at(aPage.begin(), aPage.end(), labelled), end; at != end; ++at) {
    series.insert((*at)[1].str() + " " + (*at)[3].str());
  }
  return series;
}

/// The same from the table in docs/METRICS.md.
std::set<std::string>
DocumentedSeries()
{
  std::ifstream file(std::string(SOURCE_ROOT) + "/docs/METRICS.md");
  std::set<std::string> series;
  std::string line;
  std::regex row("\\| (sapphirewind_\\w+) \\| [\\w, ]*\\| (\\w*) ?\\|.*");
  std::smatch match;
  while (std::getline(file, line)) {
    if (std::regex_match(line, match, row)) {
      series.insert(match[1].str());
      if (match[2].length() > 0) {
        series.insert(match[1].str() + " " + match[2].str());
      }
    }
  }
  return series;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(the_metrics_page, EngineFixture)

BOOST_AUTO_TEST_CASE(lists_exactly_the_documented_series)
{
  this->StartInstance();
  BOOST_REQUIRE(this->AwaitReady());
  BOOST_REQUIRE(this->Connect().Exchange({ .target = "/p/1" }).has_value());
  Caller reader(this->MetricsAddress());
  reader.Send("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
  auto page = reader.Receive();
  BOOST_REQUIRE(page.has_value());
  BOOST_TEST(ServedSeries(page->body()) == DocumentedSeries(), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
