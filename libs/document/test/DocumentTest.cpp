#include <boost/test/unit_test.hpp>
#include <document/Document.h>

using namespace sapphirewind::document;

BOOST_AUTO_TEST_SUITE(a_document)

BOOST_AUTO_TEST_SUITE(with_comments)

BOOST_AUTO_TEST_CASE(knows_the_line_of_each_value)
{
  Problems problems;
  auto document = Document::Parse("// first\n{\n  /* x */ \"a\": 1,\n  \"b\": 2\n}\n", problems);
  BOOST_REQUIRE(document);
  BOOST_TEST(document->LineOf(document->Root()["a"]) == 3U);
  BOOST_TEST(document->LineOf(document->Root()["b"]) == 4U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_is_wrong)

BOOST_AUTO_TEST_CASE(is_refused_with_a_line)
{
  struct Wrong
  {
    std::string text;
    size_t line;
  };
  for (const Wrong& wrong : { Wrong{ "{\n \"a\": 1,\n \"a\": 2}", 3 },
                              Wrong{ "{\n \"a\" 1}", 2 },
                              Wrong{ "{\"a\": 1} trailing", 1 },
                              Wrong{ std::string(200, '['), 1 },
                              Wrong{ "{\"a\": \"\xff\"}", 1 } }) {
    Problems problems;
    BOOST_TEST(!Document::Parse(wrong.text, problems));
    BOOST_REQUIRE(!problems.empty());
    BOOST_TEST(problems.front().line == wrong.line);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(read_by_an_object_reader)

BOOST_AUTO_TEST_CASE(notes_every_problem_at_once)
{
  Problems problems;
  auto document = Document::Parse(
    "{\"time\": \"5 parsecs\", \"share\": \"120%\", \"count\": 99, \"odd\": 1}", problems);
  ObjectReader reader(*document, document->Root(), "top", problems);
  reader.RequiredDuration("time");
  reader.RequiredPercent("share");
  reader.RequiredInteger("count", 1, 10);
  reader.RequiredString("absent");
  reader.RejectUnknown();
  BOOST_TEST(problems.size() == 5U);
  BOOST_TEST(problems.back().path == "top.odd");
}

BOOST_AUTO_TEST_CASE(reads_units)
{
  BOOST_TEST(ParseDuration("1.5s")->count() == 1'500'000);
  BOOST_TEST(ParseDuration("2min")->count() == 120'000'000);
  BOOST_TEST(!ParseDuration("120"));
  BOOST_TEST(*ParsePercent("99.9%") == 0.999, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(!ParsePercent("0.99"));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
