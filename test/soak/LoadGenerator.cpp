#include "LoadGenerator.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace sapphirewind::test {

namespace {

constexpr base::Duration kBetweenRequests = std::chrono::milliseconds(4);
constexpr size_t kTopRecords = 5;
constexpr size_t kRecordBytes = 16;

std::string
WrongWithQuery(const TestRequest& aRequest, const engine::HttpResponse& aAnswer)
{
  std::set<std::string> services;
  std::stringstream stamps(Header(aAnswer, "Sapphirewind-Part-Stamps"));
  std::string stamp;
  std::vector<std::string> records;
  while (std::getline(stamps, stamp, ',')) {
    stamp.erase(0, stamp.find_first_not_of(' '));
    std::string service = stamp.substr(0, stamp.find('.'));
    bool own = stamp.find("." + aRequest.id + ".") != std::string::npos;
    if (!own || !services.insert(service).second) {
      return "a part that is not its own: " + stamp;
    }
    std::string part = fakes::SearchServer::RecordsOf(service, aRequest.target);
    for (size_t at = 0; at + kRecordBytes <= part.size(); at += kRecordBytes) {
      records.push_back(part.substr(at, kRecordBytes));
    }
  }
  std::sort(records.rbegin(), records.rend());
  std::string expected;
  for (size_t index = 0; index < std::min(kTopRecords, records.size()); ++index) {
    expected += records[index];
  }
  size_t missing = std::stoul("0" + Header(aAnswer, "Sapphirewind-Missing-Parts"));
  if (services.size() + missing != ProcessCluster::kShards ||
      services.size() * 2 < ProcessCluster::kShards) {
    return "untrue coverage";
  }
  return aAnswer.body() == expected ? "" : "not the greatest records of its parts";
}

} // namespace

std::string
WrongWith(const TestRequest& aRequest, const engine::HttpResponse& aAnswer)
{
  if (aRequest.target.compare(0, 3, "/q/") == 0) {
    return WrongWithQuery(aRequest, aAnswer);
  }
  bool own =
    Header(aAnswer, "Sapphirewind-Server-Stamp").find("." + aRequest.id + ".") != std::string::npos;
  bool whole = aAnswer.body() == fakes::SearchServer::RecordsOf("p", aRequest.target);
  return own && whole ? "" : "another answer than its server's";
}

LoadGenerator::LoadGenerator(const ProcessCluster& aFleet, uint64_t aSeed, size_t aCallers)
{
  for (const InstanceProcess& instance : aFleet.instances) {
    this->addresses.push_back(instance.callerAddress);
  }
  for (size_t caller = 0; caller < aCallers; ++caller) {
    this->callers.emplace_back([this, aSeed, caller] { this->Run(aSeed * 100 + caller); });
  }
}

LoadGenerator::~LoadGenerator()
{
  this->Finish();
}

LoadResult
LoadGenerator::Finish()
{
  this->ending = true;
  for (std::thread& caller : this->callers) {
    if (caller.joinable()) {
      caller.join();
    }
  }
  return this->record;
}

void
LoadGenerator::Run(uint64_t aSeed)
{
  base::Random random(aSeed);
  std::unique_ptr<Caller> caller;
  for (size_t number = 0; !this->ending; ++number) {
    // Callers keep a connection for as long as it serves, whatever happens to its instance.
    if (!caller) {
      size_t instance = base::UniformIndex(random, this->addresses.size());
      caller = std::make_unique<Caller>(this->addresses[instance], std::chrono::seconds(4));
    }
    std::string id = std::to_string(aSeed) + "-" + std::to_string(number);
    TestRequest ask{ .id = id, .deadlineMs = 1000 };
    switch (base::UniformIndex(random, 3)) {
      case 0:
        ask.target = "/q/" + id;
        break;
      case 1:
        ask.target = "/p/" + id;
        break;
      default:
        ask.target = "/b/" + id;
        ask.method = "POST";
        ask.body = "booking";
        break;
    }
    auto answer = caller->Exchange(ask);
    this->Check(ask, answer);
    if (!answer || !answer->keep_alive()) {
      caller.reset();
    }
    std::this_thread::sleep_for(kBetweenRequests);
  }
}

void
LoadGenerator::Check(const TestRequest& aRequest,
                     const std::optional<engine::HttpResponse>& aAnswer)
{
  std::lock_guard guard(this->lock);
  ++this->record.asked;
  bool booking = aRequest.method == "POST";
  if (booking) {
    this->record.bookings.push_back(aRequest.id);
  }
  if (!aAnswer) {
    return;
  }
  unsigned status = aAnswer->result_int();
  if (status == 200) {
    ++this->record.served;
    std::string wrong = WrongWith(aRequest, *aAnswer);
    if (!wrong.empty()) {
      this->record.violations.push_back(aRequest.target + ": " + wrong);
    }
  } else if (status == 404) {
    this->record.violations.push_back(aRequest.target +
                                      ": 404 though every configuration routes it");
  } else if (booking && (status == 503 || status == 429 || status == 408 || status == 421)) {
    this->record.refusedBookings.push_back(aRequest.id);
  }
}

} // namespace sapphirewind::test
