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

/// An outage of the store that ends at a time.
void
EndOutage(ServerTable& aTable, base::Instant aEnd)
{
  OnStoreUnavailable(aTable, aEnd - 5s);
  OnStoreRecovered(aTable, aEnd);
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
  EndOutage(table, kStart);
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
  OnStoreUnavailable(table, kStart - 20s);
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
  EndOutage(table, kStart);
  Remove(table, "a", 6, kStart);
  Upsert(table, MakeServer("a"), 7);
  BOOST_TEST(RemoveExpired(table, kStart + 10s).empty());
  BOOST_TEST(table.entries.count("a") == 1U);
}

BOOST_AUTO_TEST_CASE(drops_a_draining_server_without_grace_period)
{
  ServerTable table;
  Upsert(table, MakeServer("a", true), 5);
  EndOutage(table, kStart);
  BOOST_TEST(Remove(table, "a", 6, kStart));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(through_outages_in_a_row)

// Guards against a grace period that each further outage starts anew.
BOOST_AUTO_TEST_CASE(keeps_a_removed_entry_no_longer_than_one_grace_period_of_an_available_store)
{
  ServerTable table;
  Upsert(table, MakeServer("a"), 5);
  EndOutage(table, kStart);
  Remove(table, "a", 6, kStart);
  base::Instant now = kStart;
  base::Duration available{ 0 };
  constexpr auto kBetweenOutages = 300ms;
  while (table.entries.count("a") == 1U && available < 10s) {
    now += kBetweenOutages;
    available += kBetweenOutages;
    RemoveExpired(table, now);
    OnStoreUnavailable(table, now);
    now += 1s;
    BOOST_TEST(RemoveExpired(table, now).empty());
    OnStoreRecovered(table, now);
  }
  BOOST_TEST(table.entries.empty());
  BOOST_TEST((available < kReregistrationGrace + kBetweenOutages));
  BOOST_TEST((available >= kReregistrationGrace));
}

// Guards against a removal that is read twice and starts the grace period anew.
BOOST_AUTO_TEST_CASE(does_not_extend_the_grace_period_of_an_entry_removed_again)
{
  ServerTable table;
  Upsert(table, MakeServer("a"), 5);
  EndOutage(table, kStart);
  Remove(table, "a", 6, kStart);
  OnStoreUnavailable(table, kStart + 1s);
  OnStoreRecovered(table, kStart + 2s);
  BOOST_TEST(!Remove(table, "a", 7, kStart + 2s));
  BOOST_TEST(RemoveExpired(table, kStart + 1s + kReregistrationGrace - 1ms).empty());
  BOOST_TEST(RemoveExpired(table, kStart + 1s + kReregistrationGrace).size() == 1U);
}

// Guards against an outage that lasts while its start is reported again.
BOOST_AUTO_TEST_CASE(counts_an_outage_from_its_first_report)
{
  ServerTable table;
  Upsert(table, MakeServer("a"), 5);
  EndOutage(table, kStart);
  Remove(table, "a", 6, kStart);
  OnStoreUnavailable(table, kStart + 1s);
  OnStoreUnavailable(table, kStart + 4s);
  OnStoreRecovered(table, kStart + 5s);
  BOOST_TEST(RemoveExpired(table, kStart + 5999ms).empty());
  BOOST_TEST(RemoveExpired(table, kStart + 6s).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
