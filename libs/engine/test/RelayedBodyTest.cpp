#include <boost/test/unit_test.hpp>
#include <engine/RelayedBody.h>

using namespace sapphirewind::engine;

BOOST_AUTO_TEST_SUITE(a_relayed_body)

BOOST_AUTO_TEST_CASE(keeps_the_bytes_that_it_was_received_in)
{
  std::string text(100'000, 'r');
  RelayedBody first(text);
  BOOST_REQUIRE(first.Compressed() != nullptr);
  auto second = RelayedBody::FromCompressed(*first.Compressed());
  BOOST_REQUIRE(second);
  BOOST_TEST((second->Text() == text));
  BOOST_TEST((*second->Compressed() == *first.Compressed()));
}

BOOST_AUTO_TEST_CASE(is_not_compressed_when_it_is_small)
{
  BOOST_TEST(RelayedBody("small").Compressed() == nullptr);
}

BOOST_AUTO_TEST_SUITE(is_rejected)

BOOST_AUTO_TEST_CASE(if_its_bytes_are_cut_short_or_changed)
{
  std::string bytes = *RelayedBody(std::string(100'000, 'r')).Compressed();
  BOOST_TEST(!RelayedBody::FromCompressed(bytes.substr(0, bytes.size() / 2)));
  BOOST_TEST(!RelayedBody::FromCompressed(""));
  BOOST_TEST(!RelayedBody::FromCompressed("not gzip"));
  bytes[bytes.size() - 5] ^= 1;
  BOOST_TEST(!RelayedBody::FromCompressed(bytes));
}

BOOST_AUTO_TEST_CASE(if_it_would_fill_the_memory)
{
  constexpr size_t kTooLarge = 64 * 1024 * 1024;
  std::string bytes = *RelayedBody(std::string(kTooLarge, 'r')).Compressed();
  BOOST_TEST(!RelayedBody::FromCompressed(bytes));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
