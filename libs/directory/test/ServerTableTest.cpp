#include <boost/test/unit_test.hpp>
#include <directory/ServerTable.h>

using namespace sapphirewind;
using namespace sapphirewind::directory;
using namespace std::chrono_literals;

namespace {

const base::Instant kStart{ 100s };

Server
MakeServer(const std::string& aId, bool aDraining = false)
{
  return Server{
    .id = aId, .service = "s", .address = "127.0.0.1:1", .zone = "a", .draining = aDraining
  };
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_server_table)

BOOST_AUTO_TEST_SUITE(while_the_store_is_available)

BOOST_AUTO_TEST_CASE(drops_an_entry_as_soon_as_it_is_removed)
{
  ServerTable table;
  BOOST_TEST(Upsert(table, MakeServer("a"), 5));
  BOOST_TEST(Remove(table, "a", 6, kStart));
  BOOST_TEST(table.entries.empty());
}

BOOST_AUTO_TEST_CASE(ignores_older_revisions)
{
  ServerTable table;
  Upsert(table, MakeServer("a", true), 7);
  BOOST_TEST(!Upsert(table, MakeServer("a", false), 6));
  BOOST_TEST(table.entries.at("a").server.draining);
  BOOST_TEST(!Remove(table, "a", 6, kStart));
  BOOST_TEST(table.entries.count("a") == 1U);
}

BOOST_AUTO_TEST_CASE(drops_entries_missing_from_a_full_listing_unless_they_are_newer)
{
  ServerTable table;
  Upsert(table, MakeServer("gone"), 3);
  Upsert(table, MakeServer("newer"), 9);
  BOOST_TEST(ReplaceAll(table, { { .server = MakeServer("kept"), .revision = 4 } }, 8, kStart));
  BOOST_TEST(table.entries.count("gone") == 0U);
  BOOST_TEST(table.entries.count("newer") == 1U);
  BOOST_TEST(table.entries.count("kept") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(around_an_outage_of_the_store)

BOOST_AUTO_TEST_CASE(keeps_a_removed_entry_until_the_grace_period_ends)
{
  ServerTable table;
  Upsert(table, MakeServer("a"), 5);
  OnStoreUnavailable(table);
  OnStoreRecovered(table, kStart);
  BOOST_TEST(!Remove(table, "a", 6, kStart + 100ms));
  BOOST_TEST(RemoveExpired(table, kStart + kReregistrationGrace - 1ms).empty());
  BOOST_TEST(table.entries.count("a") == 1U);
  BOOST_TEST(RemoveExpired(table, kStart + kReregistrationGrace) ==
             std::vector<std::string>{ "a" });
  BOOST_TEST(table.entries.empty());
}

BOOST_AUTO_TEST_CASE(starts_the_grace_period_at_the_recovery_of_the_store)
{
  ServerTable table;
  Upsert(table, MakeServer("a"), 5);
  OnStoreUnavailable(table);
  Remove(table, "a", 6, kStart - 10s);
  OnStoreRecovered(table, kStart);
  BOOST_TEST(RemoveExpired(table, kStart + kReregistrationGrace - 1ms).empty());
  BOOST_TEST(RemoveExpired(table, kStart + kReregistrationGrace) ==
             std::vector<std::string>{ "a" });
}

BOOST_AUTO_TEST_CASE(keeps_an_entry_that_was_registered_again_in_time)
{
  ServerTable table;
  Upsert(table, MakeServer("a"), 5);
  OnStoreUnavailable(table);
  OnStoreRecovered(table, kStart);
  Remove(table, "a", 6, kStart);
  Upsert(table, MakeServer("a"), 7);
  BOOST_TEST(RemoveExpired(table, kStart + 10s).empty());
  BOOST_TEST(table.entries.count("a") == 1U);
}

BOOST_AUTO_TEST_CASE(drops_a_draining_server_without_grace_period)
{
  ServerTable table;
  Upsert(table, MakeServer("a", true), 5);
  OnStoreUnavailable(table);
  OnStoreRecovered(table, kStart);
  BOOST_TEST(Remove(table, "a", 6, kStart));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
