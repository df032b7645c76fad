#include <boost/test/unit_test.hpp>
#include <document/Document.h>

using namespace sapphirewind::document;

BOOST_AUTO_TEST_SUITE(document_parsing)

BOOST_AUTO_TEST_SUITE(with_comments)

BOOST_AUTO_TEST_CASE(reports_the_line_of_each_value)
{
  Problems problems;
  auto document = Document::Parse("// first\n{\n  /* x */ \"a\": 1,\n  \"b\": 2\n}\n", problems);
  BOOST_REQUIRE(document);
  BOOST_TEST(document->LineOf(document->Root()["a"]) == 3U);
  BOOST_TEST(document->LineOf(document->Root()["b"]) == 4U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_invalid_text)

BOOST_AUTO_TEST_CASE(reports_the_line_of_the_error)
{
  struct InvalidText
  {
    std::string text;
    size_t line;
  };
  for (const InvalidText& invalid : { InvalidText{ "{\n \"a\": 1,\n \"a\": 2}", 3 },
                                      InvalidText{ "{\n \"a\" 1}", 2 },
                                      InvalidText{ "{\"a\": 1} trailing", 1 },
                                      InvalidText{ std::string(200, '['), 1 },
                                      InvalidText{ "{\"a\": \"\xff\"}", 1 } }) {
    Problems problems;
    BOOST_TEST(!Document::Parse(invalid.text, problems));
    BOOST_REQUIRE(!problems.empty());
    BOOST_TEST(problems.front().line == invalid.line);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(object_reader)

BOOST_AUTO_TEST_CASE(reports_all_problems_together)
{
  Problems problems;
  auto document = Document::Parse(
    "{\"time\": \"5 bytes\", \"share\": \"120%\", \"count\": 99, \"extra\": 1}", problems);
  ObjectReader reader(*document, document->Root(), "top", problems);
  reader.RequiredDuration("time");
  reader.RequiredPercent("share");
  reader.RequiredInteger("count", 1, 10);
  reader.RequiredString("absent");
  reader.RejectUnknown();
  BOOST_TEST(problems.size() == 5U);
  BOOST_TEST(problems.back().path == "top.extra");
}

BOOST_AUTO_TEST_CASE(parses_durations_and_percentages)
{
  BOOST_TEST(ParseDuration("1.5s")->count() == 1'500'000);
  BOOST_TEST(ParseDuration("2min")->count() == 120'000'000);
  BOOST_TEST(!ParseDuration("120"));
  BOOST_TEST(*ParsePercent("99.9%") == 0.999, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(!ParsePercent("0.99"));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
